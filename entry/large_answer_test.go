package main

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep"
)

// Guards against an entry that holds answers of any size whole, since requests that must not run twice are settled before they are answered. A large answer is passed on as
// it comes, and settled before its first part is: whatever becomes of it, the request does not run again and its resend is told so.
func TestLargeAnswerToOrderIsNotHeld(t *testing.T) {
	const parts = 40
	part := bytes.Repeat([]byte("x"), 32<<10)
	for name, c := range map[string]struct {
		breaks bool // after half of the answer
		leaves bool // the caller, after the first part
	}{
		"whole":       {},
		"breaks off":  {breaks: true},
		"caller left": {leaves: true},
	} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int32
			begun := make(chan struct{})  // the caller has the first part
			ended := make(chan error, 10) // of each run
			app := func(o bamboostep.Offer, yield func(bamboostep.Answer) error) error {
				runs.Add(1)
				var err error
				for n := range parts {
					a := bamboostep.Answer{Attempt: o.Attempt, Data: part, Last: n == parts-1}
					if n == 0 {
						a.Status = http.StatusOK
					}
					if n == parts/2 {
						<-begun
						if c.breaks {
							err = failure(bamboostep.Ran, "connection_lost")
							break
						}
					}
					if err = yield(a); err != nil {
						break
					}
				}
				ended <- err
				return err
			}
			s := startHandler(t, newTestHandler(newTestFleet(1, nil, app), &fakeLedger{}))
			resp, err := http.Post(s.URL+"/orders", "text/plain", strings.NewReader("three sheets"))
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if _, err := io.ReadFull(resp.Body, make([]byte, len(part))); err != nil {
				t.Fatalf("first part, before the answer is whole: %v", err)
			}
			resend := call(t, s, "POST", "/orders", "three sheets")
			if resend.status != http.StatusConflict || !strings.Contains(resend.body, "answer_not_kept") {
				t.Errorf("resend meanwhile: got %d %q, want 409 answer_not_kept", resend.status, resend.body)
			}
			if c.leaves {
				resp.Body.Close()
			}
			close(begun)
			select {
			case err := <-ended:
				if (err != nil) != c.breaks {
					t.Errorf("end of the run: got %v, want that it goes on to its end", err)
				}
			case <-time.After(20 * time.Second):
				t.Fatal("the run did not end")
			}
			if !c.leaves {
				rest, err := io.Copy(io.Discard, resp.Body)
				if whole := rest == int64((parts-1)*len(part)); whole == c.breaks || (err != nil) != c.breaks {
					t.Errorf("rest of the answer: got %d bytes and %v, breaks off %v", rest, err, c.breaks)
				}
			}
			if got := runs.Load(); got != 1 {
				t.Errorf("runs: got %d, want 1", got)
			}
		})
	}
}
