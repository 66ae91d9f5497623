package dispatch

import (
	_ "embed"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/chart"
)

// RequestState is the state machine of one request: it tracks the attempts and decides
// whether a failed one is retried. Its lifecycle is declared in request.toml.
//
// The final answer must say whether the request ran. The outcome of an attempt is
// not run, ran or unknown; the outcome of the request is not run only if that of
// every attempt is. A request that is not repeatable is retried only if the failed
// attempt certainly did not run. A repeatable one is retried after any failure, as
// long as the deadline, the number of attempts and the retry budget allow.
//
// A RequestState is not safe for concurrent use.
type RequestState struct {
	Repeatable  bool         // the request may run more than once
	Deadline    time.Time    // no attempt starts after it; the caller may extend it once the answer has begun
	MaxAttempts int          // attempts that may run; those that did not run are not counted
	Budget      *RetryBudget // shared by all requests of the entry

	state           chart.State
	outcome         bamboostep.Outcome
	attemptsStarted int      // attempts that ran or may have run, counted from the last one with a partial answer
	attemptsMade    int      // attempts made
	failedVMs       []string // VMs where an attempt failed, oldest first
	lastFailure     bamboostep.Failure
}

//go:embed request.toml
var requestChartText []byte

var requestChart = chart.MustParse(requestChartText)

const (
	defaultMaxAttempts = 4
	maxAttemptsMade    = 64
	defaultRetryAfter  = 2 * time.Second

	stateAnswering chart.State = "answering"

	// Codes of failures that other backend servers would repeat.
	codeBadRequest = "bad_request"
	codeQueueFull  = "queue_full"
	codeFull       = "full"
)

// applyEvent moves the state machine. It returns an error for an event that the
// current state does not accept, which is a bug in the calling code.
func (c *RequestState) applyEvent(e chart.Event) error {
	if c.state == "" {
		c.state = requestChart.Initial()
		c.outcome = bamboostep.NotRun
	}
	next, err := requestChart.Next(c.state, e)
	c.state = next
	return err
}

// StartAttempt records that an attempt is made and returns its number, from 1.
func (c *RequestState) StartAttempt() (int, error) {
	if err := c.applyEvent("offer"); err != nil {
		return 0, err
	}
	c.attemptsMade++
	return c.attemptsMade, nil
}

// PieceReceived records that a part of the answer arrived.
func (c *RequestState) PieceReceived() error { return c.applyEvent("piece") }

// Complete records that the answer is complete.
func (c *RequestState) Complete() error {
	c.outcome = bamboostep.Ran
	return c.applyEvent("whole")
}

// AttemptMoved records that the attempt was ended to continue on another backend server.
func (c *RequestState) AttemptMoved() error { return c.applyEvent("retry") }

// Outcome returns whether the request ran, as far as is known.
func (c *RequestState) Outcome() bamboostep.Outcome {
	if c.outcome == "" {
		return bamboostep.NotRun
	}
	return c.outcome
}

// FailedOn reports whether an attempt at the VM has failed.
func (c *RequestState) FailedOn(vm string) bool { return slices.Contains(c.failedVMs, vm) }

// AnyAttemptFailed reports whether an attempt at any VM has failed.
func (c *RequestState) AnyAttemptFailed() bool { return len(c.failedVMs) > 0 }

// ResetFailedVMs makes all VMs eligible again, for use when every one has failed.
func (c *RequestState) ResetFailedVMs() { c.failedVMs = c.failedVMs[:0] }

// QueueWasFull reports whether the last attempt was refused because the queue was full.
// If that is so on every backend server, the request should be refused rather than
// wait in yet another queue.
func (c *RequestState) QueueWasFull() bool {
	return c.lastFailure.Outcome == bamboostep.NotRun && (c.lastFailure.Code == codeQueueFull || c.lastFailure.Code == codeFull)
}

// GiveUpFull refuses the request because all queues are full.
func (c *RequestState) GiveUpFull() *bamboostep.RequestError {
	return c.GiveUp(http.StatusServiceUnavailable, "overloaded", retryAfterOf(c.lastFailure), "the queue of every backend server is full")
}

// NoAttemptYet reports whether no attempt has been made.
func (c *RequestState) NoAttemptYet() bool { return c.attemptsMade == 0 }

// AttemptFailed records the failure of an attempt. It returns nil if another attempt should
// follow, or else the refusal that ends the request.
func (c *RequestState) AttemptFailed(now time.Time, vm string, f bamboostep.Failure) *bamboostep.RequestError {
	c.failedVMs = append(c.failedVMs, vm)
	c.lastFailure = f
	c.recordOutcome(f.Outcome)
	if refused := c.refusalAfter(now, f); refused != nil {
		return c.refuse(refused)
	}
	if err := c.applyEvent("retry"); err != nil {
		return c.refuse(internalError(err, c.Outcome()))
	}
	return nil
}

func (c *RequestState) recordOutcome(o bamboostep.Outcome) {
	if o == bamboostep.NotRun {
		return
	}
	if c.state == stateAnswering {
		c.attemptsStarted = 0 // the request made progress, so it is not failing permanently
	}
	c.attemptsStarted++
	c.outcome = bamboostep.Unknown
}

// refusalAfter returns the refusal after a failed attempt, or nil if the request may be
// retried. A failure that may have run takes a retry from the budget.
func (c *RequestState) refusalAfter(now time.Time, f bamboostep.Failure) *bamboostep.RequestError {
	max := c.MaxAttempts
	if max == 0 {
		max = defaultMaxAttempts
	}
	switch {
	case f.Code == codeBadRequest && f.Outcome == bamboostep.NotRun:
		return c.newRefusal(http.StatusBadRequest, "bad_request", 0, f.Message)
	case !c.Repeatable && f.Outcome != bamboostep.NotRun:
		return c.newRefusal(http.StatusGatewayTimeout, "outcome_unknown", 0,
			"the request may have run; it will not be run again")
	case !now.Before(c.Deadline):
		return c.newRefusal(http.StatusGatewayTimeout, "deadline", defaultRetryAfter, "no answer in time")
	case c.attemptsStarted >= max:
		return c.newRefusal(http.StatusBadGateway, "attempts_failed", defaultRetryAfter,
			fmt.Sprintf("%d attempts failed, the last with %q", c.attemptsStarted, f.Code))
	case c.attemptsMade >= maxAttemptsMade:
		return c.newRefusal(http.StatusServiceUnavailable, "not_accepted", retryAfterOf(f),
			fmt.Sprintf("no backend server took the request, the last answered %q", f.Code))
	case f.Outcome != bamboostep.NotRun && c.Budget != nil && !c.Budget.TakeRetry(now):
		return c.newRefusal(http.StatusServiceUnavailable, "retry_budget", defaultRetryAfter, "too many requests are being retried")
	}
	return nil
}

func retryAfterOf(f bamboostep.Failure) time.Duration {
	if f.RetryAfter > 0 {
		return f.RetryAfter
	}
	return defaultRetryAfter
}

// GiveUp refuses the request, for the given reason, while no attempt is in flight.
func (c *RequestState) GiveUp(status int, code string, after time.Duration, message string) *bamboostep.RequestError {
	return c.refuse(c.newRefusal(status, code, after, message))
}

func (c *RequestState) newRefusal(status int, code string, after time.Duration, message string) *bamboostep.RequestError {
	return &bamboostep.RequestError{Status: status, Code: code, Message: message, Outcome: c.Outcome(), RetryAfter: after}
}

func (c *RequestState) refuse(r *bamboostep.RequestError) *bamboostep.RequestError {
	if err := c.applyEvent("give_up"); err != nil {
		return internalError(err, c.Outcome())
	}
	return r
}

func internalError(err error, o bamboostep.Outcome) *bamboostep.RequestError {
	return &bamboostep.RequestError{Status: http.StatusInternalServerError, Code: "internal", Message: err.Error(), Outcome: o}
}
