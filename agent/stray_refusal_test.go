package main

import (
	"errors"
	"testing"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/internal/rawserver"
)

// TestEarlierRefusalIsNotTakenForNext guards against a refusal that an engine writes once more on a kept connection, and
// that is reported as the outcome not_run of a request which has run (issue 34).
func TestEarlierRefusalIsNotTakenForNext(t *testing.T) {
	const refusal = "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 21\r\n\r\n{\"code\":\"queue_full\"}"
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 28\r\n\r\n{\"text\":\"word\",\"done\": true}"
	address, _ := rawserver.StartScript(t, func(e rawserver.Exchange) (string, bool) {
		switch {
		case e.Conn == 1 && e.Number == 1:
			return refusal, false
		case e.Number > 1:
			return refusal + answer, false
		}
		return answer, false
	})
	e := newEngine("http://"+address, "vm")
	offer := newOffer("1", bamboostep.Request{Model: "m", Body: []byte("{}")})
	var refused *bamboostep.AttemptError
	if err := e.Generate(t.Context(), offer, func(bamboostep.Answer) error { return nil }); !errors.As(err, &refused) || refused.Failure.Outcome != bamboostep.NotRun {
		t.Fatalf("first request: got %v, want a refusal", err)
	}
	text := ""
	err := e.Generate(t.Context(), offer, func(a bamboostep.Answer) error {
		text += string(a.Data)
		return nil
	})
	if err != nil || text != "word" {
		t.Errorf("second request, which ran: got %q, %v, want its answer", text, err)
	}
}
