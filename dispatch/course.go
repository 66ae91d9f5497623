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

	state   chart.State
	outcome bamboostep.Outcome
	started int      // attempts that ran or may have run
	offers  int      // attempts made
	tried   []string // VMs that failed this request, oldest first
	last    bamboostep.Failure
}

//go:embed request.toml
var requestChartText []byte

var requestChart = chart.MustParse(requestChartText)

const (
	defaultMaxAttempts = 4
	maxOffers          = 64
	giveUpRetryAfter   = 2 * time.Second

	stateAnswering chart.State = "answering"

	// Codes of failures that other backend servers would repeat.
	codeBadRequest = "bad_request"
	codeQueueFull  = "queue_full"
	codeFull       = "full"
)

// step moves the machine; an event that its state does not list is a fault of the
// caller, which gets the error.
func (c *Course) step(e chart.Event) error {
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
	if err := c.step("offer"); err != nil {
		return 0, err
	}
	c.offers++
	return c.offers, nil
}

// Piece notes that a part of the answer came.
func (c *Course) Piece() error { return c.step("piece") }

// Whole notes that the answer is whole.
func (c *Course) Whole() error {
	c.outcome = bamboostep.Ran
	return c.step("whole")
}

// Moved notes that the attempt was ended in order to go on elsewhere.
func (c *Course) Moved() error { return c.step("retry") }

// Outcome says whether the request ran, as far as is known.
func (c *Course) Outcome() bamboostep.Outcome {
	if c.outcome == "" {
		return bamboostep.NotRun
	}
	return c.outcome
}

// Tried reports whether an attempt at the VM has failed.
func (c *Course) Tried(vm string) bool { return slices.Contains(c.tried, vm) }

// TriedAny reports whether an attempt at any VM has failed.
func (c *Course) TriedAny() bool { return len(c.tried) > 0 }

// Forget makes all VMs eligible again, when every one has been tried.
func (c *Course) Forget() { c.tried = c.tried[:0] }

// Full reports whether the last attempt was refused because the queue was full.
// When that is so everywhere, waiting here would only be one more queue.
func (c *Course) Full() bool {
	return c.last.Outcome == bamboostep.NotRun && (c.last.Code == codeQueueFull || c.last.Code == codeFull)
}

// GiveUpFull ends the request because all queues are full.
func (c *Course) GiveUpFull() *bamboostep.RefusedError {
	return c.GiveUp(http.StatusServiceUnavailable, "overloaded", retryAfter(c.last), "the queue of every backend server is full")
}

// Fresh reports whether no attempt was made yet.
func (c *Course) Fresh() bool { return c.offers == 0 }

// Failed notes how an attempt ended and decides what follows: nil for another
// attempt, or the final answer.
func (c *Course) Failed(now time.Time, vm string, f bamboostep.Failure) *bamboostep.RefusedError {
	c.tried = append(c.tried, vm)
	c.last = f
	c.noteOutcome(f.Outcome)
	if refused := c.verdict(now, f); refused != nil {
		return c.end(refused)
	}
	if err := c.step("retry"); err != nil {
		return c.end(internalError(err, c.Outcome()))
	}
	return nil
}

func (c *Course) noteOutcome(o bamboostep.Outcome) {
	if o == bamboostep.NotRun {
		return
	}
	if c.state == stateAnswering {
		c.started = 0 // it got further, so it is not failing for good
	}
	c.started++
	c.outcome = bamboostep.Unknown
}

func (c *Course) verdict(now time.Time, f bamboostep.Failure) *bamboostep.RefusedError {
	max := c.MaxAttempts
	if max == 0 {
		max = defaultMaxAttempts
	}
	switch {
	case f.Code == codeBadRequest && f.Outcome == bamboostep.NotRun:
		return c.refusal(http.StatusBadRequest, "bad_request", 0, f.Message)
	case !c.Repeatable && f.Outcome != bamboostep.NotRun:
		return c.refusal(http.StatusGatewayTimeout, "outcome_unknown", 0,
			"the request may have run; it will not be run again")
	case !now.Before(c.Deadline):
		return c.refusal(http.StatusGatewayTimeout, "deadline", giveUpRetryAfter, "no answer in time")
	case c.started >= max:
		return c.refusal(http.StatusBadGateway, "attempts_failed", giveUpRetryAfter,
			fmt.Sprintf("%d attempts failed, the last with %q", c.started, f.Code))
	case c.offers >= maxOffers:
		return c.refusal(http.StatusServiceUnavailable, "not_accepted", retryAfter(f),
			fmt.Sprintf("no backend server took the request, the last answered %q", f.Code))
	case f.Outcome != bamboostep.NotRun && c.Budget != nil && !c.Budget.Retry(now):
		return c.refusal(http.StatusServiceUnavailable, "retry_budget", giveUpRetryAfter, "too many requests are being retried")
	}
	return nil
}

func retryAfter(f bamboostep.Failure) time.Duration {
	if f.RetryAfter > 0 {
		return f.RetryAfter
	}
	return giveUpRetryAfter
}

// GiveUp ends the request while no attempt is out, with the given reason.
func (c *Course) GiveUp(status int, code string, after time.Duration, message string) *bamboostep.RefusedError {
	return c.end(c.refusal(status, code, after, message))
}

func (c *Course) refusal(status int, code string, after time.Duration, message string) *bamboostep.RefusedError {
	return &bamboostep.RefusedError{Status: status, Code: code, Message: message, Outcome: c.Outcome(), RetryAfter: after}
}

func (c *Course) end(r *bamboostep.RefusedError) *bamboostep.RefusedError {
	if err := c.step("give_up"); err != nil {
		return internalError(err, c.Outcome())
	}
	return r
}

func internalError(err error, o bamboostep.Outcome) *bamboostep.RefusedError {
	return &bamboostep.RefusedError{Status: http.StatusInternalServerError, Code: "internal", Message: err.Error(), Outcome: o}
}
