package main

import (
	"context"
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

// This file serves non-idempotent requests such as orders, material withdrawals
// and bookings. They are the only requests that need the ledger.
//
// The idempotency key of a request is claimed in the ledger before the first
// attempt. Among all entries, only the holder of the claim may run the request.
// Further attempts under the same claim are made only if the previous one is
// guaranteed not to have run. The outcome is settled in the ledger before the
// caller is answered. An answer that is too large to buffer is settled, without its
// body, before its first part is passed on. That costs one commit of latency, but a caller that lost the
// answer can get the recorded one from any entry, even if this one is killed right
// afterwards. If an entry is killed while it holds a claim, the claim stays held:
// resends are told that the outcome is unknown, and the request is not run again.
//
// A resend must not be refused as not_run if an earlier sending ran, through
// whichever entry. So the claim precedes every check that may differ between two
// sendings, and a claim that was granted but not used is settled as not_run. While
// the ledger is unreachable, this entry cannot know about earlier sendings and
// answers that the outcome is unknown; resending is safe, and Retry-After states
// when. When the ledger has just been lost, requests wait for it, since a new
// leader is usually elected soon. When it has been unreachable for longer than
// ledgerLostAfter, they are refused quickly.

const (
	claimPollInterval      = 200 * time.Millisecond
	inProgressRetryAfter   = 2 * time.Second
	noLedgerRetryAfter     = 2 * time.Second
	maxClockSkew           = 10 * time.Second // between the clocks of two entries
	maxKeyBytes            = 1024
	settleRetryInterval    = 100 * time.Millisecond
	ledgerLostAfter        = 4 * time.Second        // time without proof after which the ledger counts as unreachable
	ledgerLostClaimTimeout = 100 * time.Millisecond // for a claim or settlement while the ledger counts as unreachable
	settleRetryLimit       = time.Minute            // how long a settlement is retried in the background
)

func (x *exchange) serveNonIdempotent(service bamboostep.Service, j *job) {
	// Continue if the caller disconnects, so that the outcome is recorded.
	ctx := context.WithoutCancel(x.r.Context())
	claims, refused := x.newClaimSet(service)
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
	a := &serviceAnswer{exchange: x, job: j, ran: func() { x.settleAll(ctx, claims, bamboostep.Settlement{Outcome: bamboostep.Ran}) }}
	refused = x.runAttempts(ctx, j, a.handlePiece)
	if !a.headerSent {
		x.settleAll(ctx, claims, newSettlement(&a.buffer, refused, x.Limits.MaxRecordedBytes))
	}
	a.finishAnswer(refused)
}

// claimSet is the set of claims of one request.
type claimSet struct {
	names     []string // in the order in which they are claimed
	attempt   bamboostep.AttemptID
	retention time.Duration
}

// newClaimSet returns the names that the request claims, which are the same at all
// entries.
//
// Without an idempotency key, a request is identified by the caller's address, the
// method, the URL and the body, within the deduplication window. The window cannot be replaced by the
// retention of settled claims: a claim with an unknown outcome is kept forever,
// but the device may send the same body next week as a new request. So time is
// divided into numbered windows, and the claim name contains the number. A request
// claims the names of the current and the previous window and holds both until it
// ends. Two sendings less than a window apart then always share a name.
func (x *exchange) newClaimSet(service bamboostep.Service) (claimSet, *bamboostep.RequestError) {
	claims := claimSet{attempt: attemptID(x.id, 1), retention: x.Limits.ClaimRetention}
	if key := x.idempotencyKey(service); key != "" {
		if len(key) > maxKeyBytes {
			return claims, clientError(http.StatusBadRequest, "name_too_long", fmt.Sprintf("the name of the request is longer than %d bytes", maxKeyBytes))
		}
		claims.names = []string{service.Name + "/name/" + key}
		return claims, nil
	}
	windowLength := x.Limits.DedupWindow
	if service.NameWindowS > 0 {
		windowLength = time.Duration(service.NameWindowS) * time.Second
	}
	claims.retention = 2 * windowLength
	digest := xxhash.New()
	digest.WriteString(x.r.Method + "\x00" + x.r.URL.RequestURI() + "\x00")
	digest.Write(x.body)
	window := x.started.UnixNano() / int64(windowLength)
	for _, number := range []int64{window - 1, window} {
		claims.names = append(claims.names, fmt.Sprintf("%s/body/%s/%016x/%d", service.Name, x.callerAddress(), digest.Sum64(), number))
	}
	return claims, nil
}

// idempotencyKey returns the key that the caller sent in the service's header or
// JSON field, or "".
func (x *exchange) idempotencyKey(service bamboostep.Service) string {
	if service.NameHeader != "" {
		if key := x.r.Header.Get(service.NameHeader); key != "" {
			return key
		}
	}
	if service.NameField == "" {
		return ""
	}
	value := topLevelField(x.body, service.NameField)
	if value == "null" || value == `""` {
		return ""
	}
	return strings.Trim(value, `"`)
}

// claimAll claims the names in order. If one is not granted, it releases those
// granted before.
func (x *exchange) claimAll(ctx context.Context, claims claimSet) (bamboostep.ClaimResult, *bamboostep.RequestError) {
	var result bamboostep.ClaimResult
	for i, name := range claims.names {
		var refused *bamboostep.RequestError
		result, refused = x.claim(ctx, bamboostep.Claim{Name: name, Attempt: claims.attempt, Retention: claims.retention})
		if refused != nil || result.State == bamboostep.ClaimSettled {
			granted := claimSet{names: claims.names[:i], attempt: claims.attempt}
			x.settleAll(ctx, granted, bamboostep.Settlement{Outcome: bamboostep.NotRun})
			return result, refused
		}
	}
	return result, nil
}

// claim claims one name. The state of the result is granted or settled. If another
// attempt holds the name, claim polls for up to Limits.HeldClaimWait.
func (x *exchange) claim(ctx context.Context, claim bamboostep.Claim) (bamboostep.ClaimResult, *bamboostep.RequestError) {
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

// claimTimeout returns the timeout of a claim or settlement. It is short if the
// ledger has been unreachable for longer than an election takes.
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

// heldRefusal answers a resend while another attempt holds the claim. The holder
// finishes within a bounded time. After that its entry must have died, and
// retrying is pointless.
func (x *exchange) heldRefusal(result bamboostep.ClaimResult) *bamboostep.RequestError {
	x.recordEvent(timeline.Event{Kind: "claim_held", Attempt: result.Holder})
	maxDuration := x.Limits.AnswerTimeout + x.Limits.ClaimTimeout + maxClockSkew
	if receivedAt, ok := attemptReceivedAt(result.Holder); ok && x.Clock.Now().Sub(receivedAt) > maxDuration {
		return outcomeUnknownRefusal
	}
	return &bamboostep.RequestError{Status: http.StatusConflict, Code: "in_progress", Outcome: bamboostep.Unknown,
		Message: "this request was sent before and has not ended; it will not be run again", RetryAfter: inProgressRetryAfter}
}

// outcomeUnknownRefusal is the final answer to a request whose outcome cannot be
// determined any more.
var outcomeUnknownRefusal = &bamboostep.RequestError{Status: http.StatusGatewayTimeout, Code: "outcome_unknown", Outcome: bamboostep.Unknown,
	Message: "this request was sent before and may have run; it will not be run again"}

// attemptReceivedAt returns when the request of an attempt was received, taken
// from its ID.
func attemptReceivedAt(id bamboostep.AttemptID) (time.Time, bool) {
	request, _, _ := strings.Cut(string(id), ".")
	u, err := uuid.Parse(request)
	if err != nil || u.Version() != 7 {
		return time.Time{}, false
	}
	sec, nsec := u.Time().UnixTime()
	return time.Unix(sec, nsec), true
}

// claimErrorRefusal answers a request for which the claim command failed.
func (x *exchange) claimErrorRefusal(claim bamboostep.Claim, err error) *bamboostep.RequestError {
	x.recordEvent(timeline.Event{Kind: "claim_failed", Attempt: claim.Attempt, Detail: err.Error()})
	known, unavailable := isUnavailable(err)
	if !unavailable {
		// The ledger rejected the claim, so no attempt holds the name.
		return &bamboostep.RequestError{Status: http.StatusServiceUnavailable, Code: "claim_refused", Outcome: bamboostep.NotRun,
			Message: err.Error(), RetryAfter: noLedgerRetryAfter}
	}
	if !known {
		// The claim may still be granted, but will not be used.
		go x.settleWithRetry(bamboostep.Settlement{Name: claim.Name, Attempt: claim.Attempt, Outcome: bamboostep.NotRun})
	}
	return &bamboostep.RequestError{Status: http.StatusServiceUnavailable, Code: "ledger_unavailable", Outcome: bamboostep.Unknown,
		Message: "this sending was not run, but whether an earlier one was cannot be told now; sending it again is safe", RetryAfter: noLedgerRetryAfter}
}

// isUnavailable reports whether err means that the ledger could not be reached,
// and whether the command is known not to be applied, now or later.
func isUnavailable(err error) (known, unavailable bool) {
	var u *bamboostep.UnavailableError
	if errors.As(err, &u) {
		return u.NotApplied, true
	}
	return false, errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
}

// newSettlement returns the outcome to record for a claimed request. Answers
// larger than limit are recorded without their body.
func newSettlement(answer *bufferedAnswer, refused *bamboostep.RequestError, limit int) bamboostep.Settlement {
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

// settleAll records the outcome of a request under all its names. If the ledger
// does not answer in time, it continues in the background and the caller is
// answered meanwhile.
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

// replayAnswer answers a resend with the recorded outcome.
func (x *exchange) replayAnswer(s bamboostep.Settlement) {
	x.recordEvent(timeline.Event{Kind: "answer_repeated", Attempt: s.Attempt, Detail: string(s.Outcome)})
	switch {
	case s.Outcome != bamboostep.Ran:
		x.refuse(outcomeUnknownRefusal)
	case s.Status == 0:
		x.refuse(&bamboostep.RequestError{Status: http.StatusConflict, Code: "answer_not_kept", Outcome: bamboostep.Ran,
			Message: "this request was sent before and ran; its answer was too large to keep"})
	default:
		a := &serviceAnswer{exchange: x, job: &job{}, buffer: bufferedAnswer{status: s.Status, header: s.Header, body: s.Body}}
		a.finishAnswer(nil)
	}
}
