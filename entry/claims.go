package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/timeline"
)

// This file holds requests that must not run twice: orders, material draws,
// bookings. They are the only ones that need the ledger.
//
// A request's name is claimed in the ledger before anything is offered; the
// holder of the claim is the only attempt that may run it, over all entries. An
// attempt that is promised not to have run may be followed by another under the
// same claim. The end is settled in the ledger before the caller is told of it:
// that costs one commit of latency, and in return a caller whose answer was lost
// gets the recorded answer from whichever entry it asks again, also when this one
// is killed right after. An entry that is killed while it holds a claim leaves it
// held; a resend then hears that the outcome is unknown, and nothing runs again.
//
// The hard point is "not run". Refusing a resend as not run would be false if the
// first sending ran, wherever it was sent. So the claim comes before every other
// check that may differ between two sendings, and a claim that was granted and
// not used is settled as not run. While the ledger cannot be reached this entry
// cannot know of earlier sendings, and the outcome is unknown; sending again is
// safe, and Retry-After says when.

const (
	heldPause          = 200 * time.Millisecond
	heldRetryAfter     = 2 * time.Second
	noLedgerRetryAfter = 2 * time.Second
	settlePause        = 100 * time.Millisecond
	settleTime         = time.Minute // a settlement is tried again for so long
)

func (x *exchange) serveClaimed(s bamboostep.Service, j *job) {
	// The request goes on when its caller has gone, so that the end is recorded.
	ctx := context.WithoutCancel(x.r.Context())
	claim := bamboostep.Claim{Name: x.claimName(s), Attempt: attemptID(x.id, 1), Keep: x.keepFor(s)}
	result, refused := x.claim(ctx, claim)
	if refused != nil {
		x.refuse(refused)
		return
	}
	if result.State == bamboostep.ClaimSettled {
		x.repeat(result.Settlement)
		return
	}
	var held heldAnswer
	refused = x.runAdmitted(ctx, j, func(p bamboostep.Answer) error {
		held.add(p)
		return nil
	})
	x.settle(ctx, settlementOf(claim, &held, refused, x.Limits.RecordBytes))
	if refused != nil {
		x.refuse(refused)
		return
	}
	a := &serviceAnswer{exchange: x, held: held}
	a.end(nil)
}

// claimName returns the name of the request over all entries.
func (x *exchange) claimName(s bamboostep.Service) string {
	if name := x.givenName(s); name != "" {
		return s.Name + "/name/" + name
	}
	d := xxhash.New()
	d.WriteString(x.r.Method + "\x00" + x.r.URL.RequestURI() + "\x00")
	d.Write(x.body)
	return fmt.Sprintf("%s/body/%s/%016x", s.Name, x.caller(), d.Sum64())
}

// givenName returns the name that the caller gave the request, or "".
func (x *exchange) givenName(s bamboostep.Service) string {
	if s.NameHeader != "" {
		if name := x.r.Header.Get(s.NameHeader); name != "" {
			return name
		}
	}
	if s.NameField == "" {
		return ""
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(x.body, &fields) != nil {
		return ""
	}
	value := string(fields[s.NameField])
	if value == "null" || value == `""` {
		return ""
	}
	return strings.Trim(value, `"`)
}

func (x *exchange) keepFor(s bamboostep.Service) time.Duration {
	if s.NameWindowS > 0 {
		return time.Duration(s.NameWindowS) * time.Second
	}
	return x.Limits.ClaimKeep
}

// claim claims a name. The result is granted or settled; a name that another
// attempt holds is waited for a short while.
func (x *exchange) claim(ctx context.Context, claim bamboostep.Claim) (bamboostep.ClaimResult, *bamboostep.RefusedError) {
	until := x.Clock.Now().Add(x.Limits.HeldWait)
	for {
		result, err := x.claimOnce(ctx, claim)
		if err != nil {
			x.releaseLost(claim, err)
			return result, &bamboostep.RefusedError{Status: http.StatusServiceUnavailable, Code: "ledger_unavailable", Outcome: bamboostep.Unknown,
				Message: "whether this request was sent before cannot be told now; this sending was not run, and sending it again is safe", RetryAfter: noLedgerRetryAfter}
		}
		if result.State != bamboostep.ClaimHeld {
			x.note(timeline.Event{Kind: "claimed", Attempt: claim.Attempt, Detail: string(result.State)})
			return result, nil
		}
		if !x.Clock.Now().Before(until) {
			return result, x.heldRefusal(result)
		}
		time.Sleep(heldPause)
	}
}

func (x *exchange) claimOnce(ctx context.Context, claim bamboostep.Claim) (bamboostep.ClaimResult, error) {
	ctx, cancel := context.WithTimeout(ctx, x.Limits.ClaimTime)
	defer cancel()
	return x.Ledger.Claim(ctx, claim)
}

func (x *exchange) heldRefusal(result bamboostep.ClaimResult) *bamboostep.RefusedError {
	x.note(timeline.Event{Kind: "claim_held", Attempt: result.Holder})
	return &bamboostep.RefusedError{Status: http.StatusConflict, Code: "in_progress", Outcome: bamboostep.Unknown,
		Message: "this request was sent before and has not ended; it will not be run again", RetryAfter: heldRetryAfter}
}

// releaseLost gives back a claim whose answer was lost: it may have been granted,
// and nothing will be offered under it.
func (x *exchange) releaseLost(claim bamboostep.Claim, err error) {
	x.note(timeline.Event{Kind: "claim_failed", Attempt: claim.Attempt, Detail: err.Error()})
	var unavailable *bamboostep.UnavailableError
	if errors.As(err, &unavailable) && unavailable.Known {
		return
	}
	go x.settleUntilDone(bamboostep.Settlement{Name: claim.Name, Attempt: claim.Attempt, Outcome: bamboostep.NotRun})
}

// settlementOf returns how a claimed request ended.
func settlementOf(claim bamboostep.Claim, held *heldAnswer, refused *bamboostep.RefusedError, limit int) bamboostep.Settlement {
	s := bamboostep.Settlement{Name: claim.Name, Attempt: claim.Attempt, Outcome: bamboostep.Ran}
	switch {
	case refused != nil && refused.Outcome == bamboostep.NotRun:
		s.Outcome = bamboostep.NotRun
	case refused != nil:
		s.Outcome = bamboostep.Unknown
	case len(held.body) <= limit:
		s.Status = held.status
		s.Header = withoutHopByHop(held.header)
		s.Body = held.body
	}
	return s
}

// settle records the end of a claimed request. Where the ledger does not answer in
// time it is tried again in the background, and the caller is answered meanwhile.
func (x *exchange) settle(ctx context.Context, s bamboostep.Settlement) {
	if x.settleOnce(ctx, s) == nil {
		x.note(timeline.Event{Kind: "settled", Attempt: s.Attempt, Detail: string(s.Outcome)})
		return
	}
	x.note(timeline.Event{Kind: "settle_failed", Attempt: s.Attempt, Detail: string(s.Outcome)})
	go x.settleUntilDone(s)
}

func (x *exchange) settleOnce(ctx context.Context, s bamboostep.Settlement) error {
	ctx, cancel := context.WithTimeout(ctx, x.Limits.ClaimTime)
	defer cancel()
	return x.Ledger.Settle(ctx, s)
}

func (x *exchange) settleUntilDone(s bamboostep.Settlement) {
	for end := time.Now().Add(settleTime); time.Now().Before(end); {
		if x.settleOnce(context.Background(), s) == nil {
			return
		}
		time.Sleep(settlePause)
	}
}

// repeat gives the recorded end of a request to a caller that sent it again.
func (x *exchange) repeat(s bamboostep.Settlement) {
	x.note(timeline.Event{Kind: "answer_repeated", Attempt: s.Attempt, Detail: string(s.Outcome)})
	switch {
	case s.Outcome != bamboostep.Ran:
		x.refuse(&bamboostep.RefusedError{Status: http.StatusGatewayTimeout, Code: "outcome_unknown", Outcome: bamboostep.Unknown,
			Message: "this request was sent before and may have run; it will not be run again"})
	case s.Status == 0:
		x.refuse(&bamboostep.RefusedError{Status: http.StatusConflict, Code: "answer_not_kept", Outcome: bamboostep.Ran,
			Message: "this request was sent before and ran; its answer was too large to keep"})
	default:
		a := &serviceAnswer{exchange: x, held: heldAnswer{status: s.Status, header: s.Header, body: s.Body}}
		a.end(nil)
	}
}
