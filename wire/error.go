package wire

import (
	"fmt"
	"time"
)

// ClosedError says that a connection ended, and why.
type ClosedError struct {
	Peer  string
	Cause error
}

// Error implements error.
func (e *ClosedError) Error() string {
	return fmt.Sprintf("connection to %q is closed: %v", e.Peer, e.Cause)
}

// Unwrap returns the cause.
func (e *ClosedError) Unwrap() error { return e.Cause }

// SilentError says that a connection brought nothing, not even an answer to a
// ping, for a while. The connection may still look open to the kernel.
type SilentError struct{ Silence time.Duration }

// Error implements error.
func (e *SilentError) Error() string {
	return fmt.Sprintf("nothing arrived for %v", e.Silence)
}

// RemoteError is a peer's answer that a call failed.
type RemoteError struct {
	Code    string // stable, snake case
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string { return e.Code + ": " + e.Message }
