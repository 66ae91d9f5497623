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

// Course is the state machine of one request: which attempts were made, how they
// ended, and whether another follows. Its lifecycle is declared in request.toml.
//
// The hard point is what a request's end says about whether it ran. Each attempt
// ends as not run, ran or unknown; the request did not run only if none of its
// attempts did. A request that may not be repeated gets another attempt only
// after one that promises it did not run. One that may be repeated gets another
// attempt after any failure, as long as the deadline, the number of attempts and
// the retry budget allow.
type Course struct {
	Repeatable  bool      // the request may run more than once
	Deadline    time.Time // nothing is begun after it; later once the answer has begun
	MaxAttempts int       // attempts that may start; those refused unstarted do not count
	Budget      *Budget   // shared by all requests of the entry

	state           chart.State
	outcome         bamboostep.Outcome
	attemptsStarted int      // attempts that ran or may have run
	attemptsMade    int      // attempts made
	failedVMs       []string // VMs that failed this request, oldest first
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

// applyEvent moves the machine; an event that its state does not list is a fault of the
// caller, which gets the error.
func (c *Course) applyEvent(e chart.Event) error {
	if c.state == "" {
		c.state = requestChart.Initial()
		c.outcome = bamboostep.NotRun
	}
	next, err := requestChart.Next(c.state, e)
	c.state = next
	return err
}

// Offered notes that an attempt is made and returns its number, from 1.
func (c *Course) Offered() (int, error) {
	if err := c.applyEvent("offer"); err != nil {
		return 0, err
	}
	c.attemptsMade++
	return c.attemptsMade, nil
}

// Piece notes that a part of the answer came.
func (c *Course) Piece() error { return c.applyEvent("piece") }

// Whole notes that the answer is whole.
func (c *Course) Whole() error {
	c.outcome = bamboostep.Ran
	return c.applyEvent("whole")
}

// Moved notes that the attempt was ended in order to go on elsewhere.
func (c *Course) Moved() error { return c.applyEvent("retry") }

// Outcome says whether the request ran, as far as is known.
func (c *Course) Outcome() bamboostep.Outcome {
	if c.outcome == "" {
		return bamboostep.NotRun
	}
	return c.outcome
}

// Tried reports whether an attempt at the VM has failed.
func (c *Course) Tried(vm string) bool { return slices.Contains(c.failedVMs, vm) }

// TriedAny reports whether an attempt at any VM has failed.
func (c *Course) TriedAny() bool { return len(c.failedVMs) > 0 }

// Forget makes all VMs eligible again, when every one has been tried.
func (c *Course) Forget() { c.failedVMs = c.failedVMs[:0] }

// Full reports whether the last attempt was refused because the queue was full.
// When that is so everywhere, waiting here would only be one more queue.
func (c *Course) Full() bool {
	return c.lastFailure.Outcome == bamboostep.NotRun && (c.lastFailure.Code == codeQueueFull || c.lastFailure.Code == codeFull)
}

// GiveUpFull ends the request because all queues are full.
func (c *Course) GiveUpFull() *bamboostep.RefusedError {
	return c.GiveUp(http.StatusServiceUnavailable, "overloaded", retryAfterOf(c.lastFailure), "the queue of every backend server is full")
}

// Fresh reports whether no attempt was made yet.
func (c *Course) Fresh() bool { return c.attemptsMade == 0 }

// Failed notes how an attempt ended and decides what follows: nil for another
// attempt, or the final answer.
func (c *Course) Failed(now time.Time, vm string, f bamboostep.Failure) *bamboostep.RefusedError {
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

func (c *Course) recordOutcome(o bamboostep.Outcome) {
	if o == bamboostep.NotRun {
		return
	}
	if c.state == stateAnswering {
		c.attemptsStarted = 0 // it got further, so it is not failing for good
	}
	c.attemptsStarted++
	c.outcome = bamboostep.Unknown
}

func (c *Course) refusalAfter(now time.Time, f bamboostep.Failure) *bamboostep.RefusedError {
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
	case f.Outcome != bamboostep.NotRun && c.Budget != nil && !c.Budget.Retry(now):
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

// GiveUp ends the request while no attempt is out, with the given reason.
func (c *Course) GiveUp(status int, code string, after time.Duration, message string) *bamboostep.RefusedError {
	return c.refuse(c.newRefusal(status, code, after, message))
}

func (c *Course) newRefusal(status int, code string, after time.Duration, message string) *bamboostep.RefusedError {
	return &bamboostep.RefusedError{Status: status, Code: code, Message: message, Outcome: c.Outcome(), RetryAfter: after}
}

func (c *Course) refuse(r *bamboostep.RefusedError) *bamboostep.RefusedError {
	if err := c.applyEvent("give_up"); err != nil {
		return internalError(err, c.Outcome())
	}
	return r
}

func internalError(err error, o bamboostep.Outcome) *bamboostep.RefusedError {
	return &bamboostep.RefusedError{Status: http.StatusInternalServerError, Code: "internal", Message: err.Error(), Outcome: o}
}
