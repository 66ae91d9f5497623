package main

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bamboostep/bamboostep"
)

// A resend to another entry gets the recorded answer of the first sending, whether
// the request is identified by a header, a body field or its body.
func TestResendGetsRecordedAnswer(t *testing.T) {
	tests := map[string]struct {
		body   string
		header []string
	}{
		"header": {"any", []string{"X-Order", "17"}},
		"field":  {`{"order": 17}`, nil},
		"body":   {"three sheets", nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int64
			app := func(o bamboostep.Offer, yield func(bamboostep.Answer) error) error {
				runs.Add(1)
				return yield(bamboostep.Answer{Attempt: o.Attempt, Status: 201, Data: []byte("order 17"), Last: true})
			}
			f := newTestFleet(2, nil, app)
			l := &fakeLedger{}
			first := startHandler(t, newTestHandler(f, l))
			second := startHandler(t, newTestHandler(f, l))
			for _, s := range []string{"first", "second"} {
				at := first
				if s == "second" {
					at = second
				}
				got := call(t, at, "POST", "/orders", tt.body, tt.header...)
				if got.status != 201 || got.body != "order 17" {
					t.Errorf("%s entry answered %d %q", s, got.status, got.body)
				}
			}
			if got := runs.Load(); got != 1 {
				t.Errorf("application ran the request %d times, want 1", got)
			}
		})
	}
}

// A non-idempotent request gets another attempt only if the previous one is
// guaranteed not to have run.
func TestNonIdempotentRequestIsRetriedOnlyIfNotRun(t *testing.T) {
	tests := map[string]struct {
		outcome bamboostep.Outcome
		offers  int
		status  int
		resend  string
	}{
		"not run": {bamboostep.NotRun, 2, 200, "done"},
		"unknown": {bamboostep.Unknown, 1, 504, "outcome_unknown"},
		"ran":     {bamboostep.Ran, 1, 504, "outcome_unknown"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var offers atomic.Int64
			app := func(o bamboostep.Offer, yield func(bamboostep.Answer) error) error {
				if offers.Add(1) == 1 {
					return failure(tt.outcome, "trouble")
				}
				return yield(bamboostep.Answer{Attempt: o.Attempt, Status: 200, Data: []byte("done"), Last: true})
			}
			s := startHandler(t, newTestHandler(newTestFleet(2, nil, app), &fakeLedger{}))
			got := call(t, s, "POST", "/orders", "one")
			if got.status != tt.status {
				t.Errorf("got status %d %q, want %d", got.status, got.body, tt.status)
			}
			got = call(t, s, "POST", "/orders", "one")
			if !strings.Contains(got.body, tt.resend) {
				t.Errorf("resend got %q, want %q", got.body, tt.resend)
			}
			if got := int(offers.Load()); got != tt.offers {
				t.Errorf("offers = %d, want %d", got, tt.offers)
			}
		})
	}
}

// unreachableLedger never answers a claim.
type unreachableLedger struct{ bamboostep.Ledger }

func (unreachableLedger) Claim(ctx context.Context, _ bamboostep.Claim) (bamboostep.ClaimResult, error) {
	<-ctx.Done()
	return bamboostep.ClaimResult{}, &bamboostep.UnavailableError{Operation: "claim", NotApplied: true, Cause: ctx.Err()}
}

// Requests wait for a ledger that was lost a moment ago, since a new leader may be
// elected. Once it has been unreachable for longer, they are refused quickly with
// Retry-After.
func TestNonIdempotentRequestFailsFastWithoutLedger(t *testing.T) {
	const atOnce = 200 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		lost := time.Now()
		c := newTestHandler(newTestFleet(1, nil, nil), unreachableLedger{})
		c.LedgerReachableAt = func() time.Time { return lost }
		c.Limits.ClaimTimeout = defaultClaimTimeout
		for _, want := range []time.Duration{defaultClaimTimeout, defaultClaimTimeout, atOnce, atOnce} {
			r := httptest.NewRequest("POST", "/orders", strings.NewReader("three sheets"))
			rec := httptest.NewRecorder()
			began := time.Now()
			c.ServeHTTP(rec, r)
			if got := time.Since(began); got > want {
				t.Errorf("order was refused after %v, want within %v", got, want)
			}
			if rec.Code != 503 || rec.Header().Get("Retry-After") == "" {
				t.Errorf("got status %d, Retry-After %q, want 503 with Retry-After", rec.Code, rec.Header().Get("Retry-After"))
			}
			time.Sleep(time.Second)
		}
	})
}
