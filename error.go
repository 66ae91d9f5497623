package bamboostep

import (
	"fmt"
	"time"
)

// RefusedError says that a request was refused or failed, whether it ran, and
// when the caller may come back. It becomes the JSON error that callers see.
type RefusedError struct {
	Status     int    // HTTP status
	Code       string // stable, snake case
	Message    string
	Outcome    Outcome
	RetryAfter time.Duration // 0 when coming back does not help
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Code, e.Outcome, e.Message)
}

// FailedError says that an attempt ended without a whole answer.
type FailedError struct{ Failure Failure }

// Error implements error.
func (e *FailedError) Error() string {
	return fmt.Sprintf("attempt %q failed (%s, %s): %s", e.Failure.Attempt, e.Failure.Code, e.Failure.Outcome, e.Failure.Message)
}

// FencedError says that an order was older than one already seen.
type FencedError struct {
	Order   Fence
	Highest Fence
}

// Error implements error.
func (e *FencedError) Error() string {
	return fmt.Sprintf("order %d.%d is older than %d.%d", e.Order.Term, e.Order.Sequence, e.Highest.Term, e.Highest.Sequence)
}

// NoMemoryError says that an order would pass the memory of its VM.
type NoMemoryError struct {
	VM          string
	Name        string
	NeedMiB     int64
	ReservedMiB int64
	MemoryMiB   int64
}

// Error implements error.
func (e *NoMemoryError) Error() string {
	return fmt.Sprintf("%q needs %d MiB on VM %q, which has %d of %d MiB reserved", e.Name, e.NeedMiB, e.VM, e.ReservedMiB, e.MemoryMiB)
}
