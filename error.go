package bamboostep

import (
	"fmt"
	"time"
)

// RequestError reports that a request was rejected or failed, whether it ran, and
// when the caller may retry. Callers receive it as a JSON error.
type RequestError struct {
	Status     int    // HTTP status
	Code       string // stable identifier in snake case
	Message    string
	Outcome    Outcome
	RetryAfter time.Duration // 0 if a retry does not help
}

// Error implements error.
func (e *RequestError) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Code, e.Outcome, e.Message)
}

// AttemptError reports that an attempt ended without a complete answer.
type AttemptError struct{ Failure Failure }

// Error implements error.
func (e *AttemptError) Error() string {
	return fmt.Sprintf("attempt %q failed (%s, %s): %s", e.Failure.Attempt, e.Failure.Code, e.Failure.Outcome, e.Failure.Message)
}

// FencedError reports that an order was rejected because its fencing token is lower
// than the highest one already seen.
type FencedError struct {
	Order   FencingToken // of the rejected order
	Highest FencingToken // seen so far; zero if not known
}

// Error implements error.
func (e *FencedError) Error() string {
	return fmt.Sprintf("fencing token %d.%d of the order is lower than %d.%d", e.Order.Term, e.Order.Sequence, e.Highest.Term, e.Highest.Sequence)
}

// InsufficientMemoryError reports that an order needs more memory than is free on its VM.
// ReservedMiB and MemoryMiB are 0 if the engine itself rejected the order.
type InsufficientMemoryError struct {
	VM          string
	Name        string // model or adapter to load
	NeedMiB     int64  // memory that the order needs
	ReservedMiB int64  // memory already reserved
	MemoryMiB   int64  // memory of the VM
}

// Error implements error.
func (e *InsufficientMemoryError) Error() string {
	return fmt.Sprintf("%q needs %d MiB on VM %q, which has %d of %d MiB reserved", e.Name, e.NeedMiB, e.VM, e.ReservedMiB, e.MemoryMiB)
}
