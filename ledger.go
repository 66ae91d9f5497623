package bamboostep

import (
	"context"
	"fmt"
	"time"
)

// Ledger is the interface to the replicated, durable state of the system. Every
// method is linearizable, may be called again with the same arguments if its answer was
// lost, and returns an *UnavailableError if no quorum can be reached.
type Ledger interface {
	// Publish makes a set of objects the next revision. It returns a *ConflictError if
	// the set is not based on the newest revision.
	Publish(ctx context.Context, p Publication) (Revision, error)
	// Claim reserves the name of a non-idempotent request for one attempt, so that no
	// other attempt runs the same request.
	Claim(ctx context.Context, c Claim) (ClaimResult, error)
	// Settle records how the attempt that holds a claim ended.
	Settle(ctx context.Context, s Settlement) error
	// Drain marks a VM as shutting down (leaving), or removes the mark.
	Drain(ctx context.Context, vm string, leaving bool) error
}

// Publication is an operator's request to publish a set of objects.
type Publication struct {
	ID           string `msgpack:"id"`     // idempotency key: a publication sent again with the same ID gets the first answer
	BaseRevision uint64 `msgpack:"based"`  // number of the revision that the set was edited from
	Author       string `msgpack:"author"` // operator who publishes
	Set          []byte `msgpack:"set"`    // an encoded catalog.Set
}

// Revision describes one published set.
type Revision struct {
	Number uint64    `msgpack:"number" json:"number"`
	ID     string    `msgpack:"id" json:"id"`
	Author string    `msgpack:"author" json:"author"`
	At     time.Time `msgpack:"at" json:"at"` // by the clock of the leader that accepted it
}

// Claim reserves the name of a request for one attempt.
type Claim struct {
	Name      string        `msgpack:"name"`    // identifies the request; unique across all entries
	Attempt   AttemptID     `msgpack:"attempt"` // attempt that would run the request
	Retention time.Duration `msgpack:"keep"`    // how long the name stays reserved after it was settled
}

// ClaimState is the state of a claimed name.
type ClaimState string

// The states of a claimed name.
const (
	ClaimGranted ClaimState = "granted" // the attempt may be offered to a backend server
	ClaimHeld    ClaimState = "held"    // another attempt holds the name and has not ended
	ClaimSettled ClaimState = "settled" // the request ended; see Settlement
)

// ClaimResult answers a Claim.
type ClaimResult struct {
	State      ClaimState `msgpack:"state"`
	Holder     AttemptID  `msgpack:"holder"`     // attempt that holds or held the name
	Settlement Settlement `msgpack:"settlement"` // set if State is ClaimSettled
}

// Settlement records the end of a claimed request. The outcome NotRun frees the name.
// Ran stores the answer for callers that send the request again. Unknown keeps the name
// reserved, until the table of names is full and the name is over 30 days old.
type Settlement struct {
	Name    string              `msgpack:"name"`
	Attempt AttemptID           `msgpack:"attempt"`
	Outcome Outcome             `msgpack:"outcome"`
	Status  int                 `msgpack:"status"` // HTTP status of the recorded answer
	Header  map[string][]string `msgpack:"header"`
	Body    []byte              `msgpack:"body"`
}

// UnavailableError reports that no quorum of the ledger could be reached.
type UnavailableError struct {
	Operation  string // verb that completes "ledger cannot"
	NotApplied bool   // the command was certainly not applied and will not be applied
	Cause      error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("ledger cannot %s: %v", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// ConflictError reports that a publication was based on a revision that is no longer
// the newest.
type ConflictError struct {
	BaseRevision uint64 // number of the revision that the set was edited from
	Newest       Revision
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("set is based on revision %d, but %q has published revision %d since", e.BaseRevision, e.Newest.Author, e.Newest.Number)
}
