package bamboostep

import (
	"context"
	"fmt"
	"time"
)

// Ledger is the replicated, durable state of the system as the rest of an entry
// sees it. Every method is linearizable, may be sent again after a lost answer,
// and fails with an *UnavailableError while no quorum can be reached.
type Ledger interface {
	// Publish makes a set of objects the next revision.
	Publish(ctx context.Context, p Publication) (Revision, error)
	// Claim reserves the name of a non-idempotent request for one attempt.
	Claim(ctx context.Context, c Claim) (ClaimResult, error)
	// Settle records how the holder of a claim ended.
	Settle(ctx context.Context, s Settlement) error
	// Drain marks a VM as leaving, or takes the mark back.
	Drain(ctx context.Context, vm string, leaving bool) error
}

// Publication is an operator's wish to publish a set.
type Publication struct {
	ID     string `msgpack:"id"`     // same when sent again; the first answer is repeated
	Based  uint64 `msgpack:"based"`  // revision that the set was made from
	Author string `msgpack:"author"` // who publishes
	Set    []byte `msgpack:"set"`    // an encoded catalog.Set
}

// Revision describes one published set.
type Revision struct {
	Number uint64    `msgpack:"number" json:"number"`
	ID     string    `msgpack:"id" json:"id"`
	Author string    `msgpack:"author" json:"author"`
	At     time.Time `msgpack:"at" json:"at"` // by the clock of the leader that took it
}

// Claim reserves a request's name.
type Claim struct {
	Name    string        `msgpack:"name"`    // names the request, over all entries
	Attempt AttemptID     `msgpack:"attempt"` // who would run it
	Keep    time.Duration `msgpack:"keep"`    // how long the name stays taken after it was settled
}

// ClaimState is the state of a claimed name.
type ClaimState string

// The states of a claimed name.
const (
	ClaimGranted ClaimState = "granted" // the caller of Claim may offer the request
	ClaimHeld    ClaimState = "held"    // another attempt holds the name and has not ended
	ClaimSettled ClaimState = "settled" // the request ended; see Settlement
)

// ClaimResult answers a Claim.
type ClaimResult struct {
	State      ClaimState `msgpack:"state"`
	Holder     AttemptID  `msgpack:"holder"`
	Settlement Settlement `msgpack:"settlement"` // when settled
}

// Settlement records the end of a claimed request. NotRun frees the name; Ran
// keeps the answer for callers that send the request again; Unknown keeps the
// name taken, until the table of names is full and the name is over 30 days old.
type Settlement struct {
	Name    string              `msgpack:"name"`
	Attempt AttemptID           `msgpack:"attempt"`
	Outcome Outcome             `msgpack:"outcome"`
	Status  int                 `msgpack:"status"` // HTTP status of the recorded answer
	Header  map[string][]string `msgpack:"header"`
	Body    []byte              `msgpack:"body"`
}

// UnavailableError says that no quorum of the ledger could be reached. Known is
// true if it is certain that the command was not and will not be applied.
type UnavailableError struct {
	Operation string
	Known     bool
	Cause     error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("ledger cannot %s: %v", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// ConflictError says that a publication was based on a revision that is no
// longer the newest.
type ConflictError struct {
	Based  uint64
	Newest Revision
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("set is based on revision %d, but %q has published revision %d since", e.Based, e.Newest.Author, e.Newest.Number)
}
