package main

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/bamboostep/bamboostep"
)

// TestEarlierRefusalIsNotTakenForNext guards against a refusal that an engine writes once more on a kept connection, and
// that is reported as the outcome not_run of a request which has run (issue 34).
func TestEarlierRefusalIsNotTakenForNext(t *testing.T) {
	const refusal = "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 21\r\n\r\n{\"code\":\"queue_full\"}"
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 28\r\n\r\n{\"text\":\"word\",\"done\": true}"
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for first := true; ; first = false {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				r := bufio.NewReader(nc)
				for n := 0; ; n++ {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					switch {
					case first && n == 0:
						_, _ = io.WriteString(nc, refusal)
					case n > 0:
						_, _ = io.WriteString(nc, refusal+answer)
					default:
						_, _ = io.WriteString(nc, answer)
					}
				}
			}()
		}
	}()
	e := newEngine("http://"+l.Addr().String(), "vm")
	offer := newOffer("1", bamboostep.Request{Model: "m", Body: []byte("{}")})
	var refused *bamboostep.AttemptError
	if err := e.Generate(t.Context(), offer, func(bamboostep.Answer) error { return nil }); !errors.As(err, &refused) || refused.Failure.Outcome != bamboostep.NotRun {
		t.Fatalf("first request: got %v, want a refusal", err)
	}
	text := ""
	err = e.Generate(t.Context(), offer, func(a bamboostep.Answer) error {
		text += string(a.Data)
		return nil
	})
	if err != nil || text != "word" {
		t.Errorf("second request, which ran: got %q, %v, want its answer", text, err)
	}
}
