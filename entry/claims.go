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
	"github.com/google/uuid"

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
// safe, and Retry-After says when. A ledger that has just been lost is waited for,
// since a new leader comes soon; one that has been out of reach for longer is not,
// so that its callers hear at once.

const (
	claimPollInterval      = 200 * time.Millisecond
	inProgressRetryAfter   = 2 * time.Second
	noLedgerRetryAfter     = 2 * time.Second
	maxClockSkew           = 10 * time.Second // between the clocks of two entries
	maxKeyBytes            = 1024
	settleRetryInterval    = 100 * time.Millisecond
	ledgerLostAfter        = 4 * time.Second        // without a proof, the ledger counts as out of reach
	ledgerLostClaimTimeout = 100 * time.Millisecond // of a claim or settlement while the ledger is out of reach
	settleRetryLimit       = time.Minute            // a settlement is tried again for so long
)

func (x *exchange) serveNonIdempotent(s bamboostep.Service, j *job) {
	// The request goes on when its caller has gone, so that the end is recorded.
	ctx := context.WithoutCancel(x.r.Context())
	claims, refused := x.newClaimSet(s)
	if refused != nil {
		x.refuse(refused)
		return
	}
	result, refused := x.claimAll(ctx, claims)
	if refused != nil {
		x.refuse(refused)
		return
	}
	if result.State == bamboostep.ClaimSettled {
		x.replayAnswer(result.Settlement)
		return
	}
	var buffer bufferedAnswer
	refused = x.runAttempts(ctx, j, func(p bamboostep.Answer) error {
		buffer.add(p)
		return nil
	})
	x.settleAll(ctx, claims, newSettlement(&buffer, refused, x.Limits.MaxRecordedBytes))
	if refused != nil {
		x.refuse(refused)
		return
	}
	a := &serviceAnswer{exchange: x, job: j, buffer: buffer}
	a.finishAnswer(nil)
}

// holding is what one request claims.
type claimSet struct {
	names     []string // claimed in this order
	attempt   bamboostep.AttemptID
	retention time.Duration
}

// claimNames returns the names of the request over all entries.
//
// A device that sends no name is known by its address, and its request by the
// body, for the declared window. The window cannot be left to the time that the
// ledger keeps a settled name, because a name whose outcome is unknown stays taken
// for good, and the device may send the same words next week and mean it. So time
// is cut into windows, and the name holds the number of its window. A request
// claims the names of its window and of the one before, and holds both until it
// ends: two sendings less than a window apart then always share a name.
func (x *exchange) newClaimSet(s bamboostep.Service) (claimSet, *bamboostep.RefusedError) {
	claims := claimSet{attempt: attemptID(x.id, 1), retention: x.Limits.ClaimRetention}
	if key := x.idempotencyKey(s); key != "" {
		if len(key) > maxKeyBytes {
			return claims, clientError(http.StatusBadRequest, "name_too_long", fmt.Sprintf("the name of the request is longer than %d bytes", maxKeyBytes))
		}
		claims.names = []string{s.Name + "/name/" + key}
		return claims, nil
	}
	windowLength := x.Limits.DedupWindow
	if s.NameWindowS > 0 {
		windowLength = time.Duration(s.NameWindowS) * time.Second
	}
	claims.retention = 2 * windowLength
	digest := xxhash.New()
	digest.WriteString(x.r.Method + "\x00" + x.r.URL.RequestURI() + "\x00")
	digest.Write(x.body)
	window := x.started.UnixNano() / int64(windowLength)
	for _, number := range []int64{window - 1, window} {
		claims.names = append(claims.names, fmt.Sprintf("%s/body/%s/%016x/%d", s.Name, x.callerAddress(), digest.Sum64(), number))
	}
	return claims, nil
}

// givenName returns the name that the caller gave the request, or "".
func (x *exchange) idempotencyKey(s bamboostep.Service) string {
	if s.NameHeader != "" {
		if key := x.r.Header.Get(s.NameHeader); key != "" {
			return key
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

// claimAll claims the names one after another. Unless all are granted it gives
// back those that were.
func (x *exchange) claimAll(ctx context.Context, claims claimSet) (bamboostep.ClaimResult, *bamboostep.RefusedError) {
	var result bamboostep.ClaimResult
	for i, name := range claims.names {
		var refused *bamboostep.RefusedError
		result, refused = x.claim(ctx, bamboostep.Claim{Name: name, Attempt: claims.attempt, Keep: claims.retention})
		if refused != nil || result.State == bamboostep.ClaimSettled {
			granted := claimSet{names: claims.names[:i], attempt: claims.attempt}
			x.settleAll(ctx, granted, bamboostep.Settlement{Outcome: bamboostep.NotRun})
			return result, refused
		}
	}
	return result, nil
}

// claim claims a name. The result is granted or settled; a name that another
// attempt holds is waited for a short while.
func (x *exchange) claim(ctx context.Context, claim bamboostep.Claim) (bamboostep.ClaimResult, *bamboostep.RefusedError) {
	deadline := x.Clock.Now().Add(x.Limits.HeldClaimWait)
	for {
		result, err := x.claimOnce(ctx, claim)
		if err != nil {
			return result, x.claimErrorRefusal(claim, err)
		}
		if result.State != bamboostep.ClaimHeld {
			x.recordEvent(timeline.Event{Kind: "claimed", Attempt: claim.Attempt, Detail: string(result.State)})
			return result, nil
		}
		if !x.Clock.Now().Before(deadline) {
			return result, x.heldRefusal(result)
		}
		time.Sleep(claimPollInterval)
	}
}

func (x *exchange) claimOnce(ctx context.Context, claim bamboostep.Claim) (bamboostep.ClaimResult, error) {
	ctx, cancel := context.WithTimeout(ctx, x.claimTimeout())
	defer cancel()
	return x.Ledger.Claim(ctx, claim)
}

// claimTime returns how long a claim or settlement may take: short once the ledger
// has been out of reach for longer than an election takes.
func (c *callerHandler) claimTimeout() time.Duration {
	if c.LedgerReachableAt == nil {
		return c.Limits.ClaimTimeout
	}
	lost := c.Clock.Now().Sub(laterOf(c.firstRequestAt, c.LedgerReachableAt()))
	if lost > ledgerLostAfter {
		return min(c.Limits.ClaimTimeout, ledgerLostClaimTimeout)
	}
	return c.Limits.ClaimTimeout
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// heldRefusal answers a resend while the name is held. The holder ends within a
// bounded time; after that it must have died, and coming back does not help.
func (x *exchange) heldRefusal(result bamboostep.ClaimResult) *bamboostep.RefusedError {
	x.recordEvent(timeline.Event{Kind: "claim_held", Attempt: result.Holder})
	maxDuration := x.Limits.AnswerTimeout + x.Limits.ClaimTimeout + maxClockSkew
	if receivedAt, ok := attemptReceivedAt(result.Holder); ok && x.Clock.Now().Sub(receivedAt) > maxDuration {
		return outcomeUnknownRefusal
	}
	return &bamboostep.RefusedError{Status: http.StatusConflict, Code: "in_progress", Outcome: bamboostep.Unknown,
		Message: "this request was sent before and has not ended; it will not be run again", RetryAfter: inProgressRetryAfter}
}

// sentBefore is the final answer to a request whose outcome will never be known.
var outcomeUnknownRefusal = &bamboostep.RefusedError{Status: http.StatusGatewayTimeout, Code: "outcome_unknown", Outcome: bamboostep.Unknown,
	Message: "this request was sent before and may have run; it will not be run again"}

// attemptTime returns when the request of an attempt arrived.
func attemptReceivedAt(id bamboostep.AttemptID) (time.Time, bool) {
	request, _, _ := strings.Cut(string(id), ".")
	u, err := uuid.Parse(request)
	if err != nil || u.Version() != 7 {
		return time.Time{}, false
	}
	sec, nsec := u.Time().UnixTime()
	return time.Unix(sec, nsec), true
}

// claimFailed answers a request whose name could not be claimed.
func (x *exchange) claimErrorRefusal(claim bamboostep.Claim, err error) *bamboostep.RefusedError {
	x.recordEvent(timeline.Event{Kind: "claim_failed", Attempt: claim.Attempt, Detail: err.Error()})
	known, unavailable := isUnavailable(err)
	if !unavailable {
		// The ledger refused the claim, so nobody holds the name.
		return &bamboostep.RefusedError{Status: http.StatusServiceUnavailable, Code: "claim_refused", Outcome: bamboostep.NotRun,
			Message: err.Error(), RetryAfter: noLedgerRetryAfter}
	}
	if !known {
		// The claim may be granted, and nothing will be offered under it.
		go x.settleWithRetry(bamboostep.Settlement{Name: claim.Name, Attempt: claim.Attempt, Outcome: bamboostep.NotRun})
	}
	return &bamboostep.RefusedError{Status: http.StatusServiceUnavailable, Code: "ledger_unavailable", Outcome: bamboostep.Unknown,
		Message: "this sending was not run, but whether an earlier one was cannot be told now; sending it again is safe", RetryAfter: noLedgerRetryAfter}
}

// isUnavailable reports whether the ledger could not be reached, and whether it is
// certain that the command was not and will not be applied.
func isUnavailable(err error) (known, unavailable bool) {
	var u *bamboostep.UnavailableError
	if errors.As(err, &u) {
		return u.Known, true
	}
	return false, errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
}

// settlementOf returns how a claimed request ended.
func newSettlement(answer *bufferedAnswer, refused *bamboostep.RefusedError, limit int) bamboostep.Settlement {
	s := bamboostep.Settlement{Outcome: bamboostep.Ran}
	switch {
	case refused != nil && refused.Outcome == bamboostep.NotRun:
		s.Outcome = bamboostep.NotRun
	case refused != nil:
		s.Outcome = bamboostep.Unknown
	case len(answer.body) <= limit:
		s.Status = answer.status
		s.Header = withoutHopByHop(answer.header)
		s.Body = answer.body
	}
	return s
}

// settleAll records the end of a claimed request under all its names. Where the
// ledger does not answer in time it is tried again in the background, and the
// caller is answered meanwhile.
func (x *exchange) settleAll(ctx context.Context, claims claimSet, s bamboostep.Settlement) {
	for _, name := range claims.names {
		s.Name = name
		s.Attempt = claims.attempt
		err := x.settleOnce(ctx, s)
		if err == nil {
			x.recordEvent(timeline.Event{Kind: "settled", Attempt: s.Attempt, Detail: string(s.Outcome)})
			continue
		}
		x.recordEvent(timeline.Event{Kind: "settle_failed", Attempt: s.Attempt, Detail: string(s.Outcome) + ": " + err.Error()})
		go x.settleWithRetry(s)
	}
}

func (x *exchange) settleOnce(ctx context.Context, s bamboostep.Settlement) error {
	ctx, cancel := context.WithTimeout(ctx, x.claimTimeout())
	defer cancel()
	return x.Ledger.Settle(ctx, s)
}

func (x *exchange) settleWithRetry(s bamboostep.Settlement) {
	for deadline := time.Now().Add(settleRetryLimit); time.Now().Before(deadline); {
		err := x.settleOnce(context.Background(), s)
		if _, unavailable := isUnavailable(err); !unavailable {
			return
		}
		time.Sleep(settleRetryInterval)
	}
}

// repeat gives the recorded end of a request to a caller that sent it again.
func (x *exchange) replayAnswer(s bamboostep.Settlement) {
	x.recordEvent(timeline.Event{Kind: "answer_repeated", Attempt: s.Attempt, Detail: string(s.Outcome)})
	switch {
	case s.Outcome != bamboostep.Ran:
		x.refuse(outcomeUnknownRefusal)
	case s.Status == 0:
		x.refuse(&bamboostep.RefusedError{Status: http.StatusConflict, Code: "answer_not_kept", Outcome: bamboostep.Ran,
			Message: "this request was sent before and ran; its answer was too large to keep"})
	default:
		a := &serviceAnswer{exchange: x, job: &job{}, buffer: bufferedAnswer{status: s.Status, header: s.Header, body: s.Body}}
		a.finishAnswer(nil)
	}
}
