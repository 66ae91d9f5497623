package bamboostep

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// Call is an ordinary HTTP request that is passed on to a backend server as it
// came. It is immutable.
type Call struct {
	ID           string // names this attempt of the caller; echoed by the backend server
	Host         string
	Method       string
	Target       string      // path and query
	Path         string      // path alone
	Header       http.Header // what is passed on unchanged
	Body         []byte
	Key          Key           // of the caller; the zero Key if it shows none
	Within       time.Duration // how long the caller waits; 0 if it does not say
	Model        string        // empty for a plain service
	Adapter      string
	PromptTokens int
	AnswerTokens int          // at most
	Prompt       []PromptPart // parts of the prompt, in order; the last is the request's or its session's own
	ResumeAfter  string       // last event that the caller has of an earlier answer
}

// WithBody returns c with its body.
func (c Call) WithBody(body []byte) Call {
	c.Body = body
	return c
}

// Fingerprint is the same for the same request sent again, whoever sends it and under
// whichever ID.
func (c Call) Fingerprint() uint64 {
	return Fingerprint(c.Body, c.Method, c.Host, c.Target, c.Model, c.Adapter)
}

// PromptPart is one part of a prompt that other prompts may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Passing is what an entry adds when it passes a Call on.
type Passing struct {
	Within      time.Duration // time left
	Instance    string        // backend server that is meant
	Rank        int           // 0 is the most urgent
	ResumeAfter string
	Keyed       bool       // callers show keys, which are not passed on
	Workspace   string     // of the caller's key; empty for none
	Cache       MovedCache // of this request; the zero value for none
}

// MovedCache names the KV cache of a request that was stopped, to go on from it at
// another engine.
type MovedCache struct {
	Source string // address of the engine that had it
	Handle string
}

// CacheMover moves the KV cache of running requests between engines. A Dialect may be
// one.
type CacheMover interface {
	// StopAndMove stops the request named id at the engine source, and returns once
	// its cache is at the engine target. The error is a *MoveError.
	StopAndMove(ctx context.Context, source, target, id string) (MovedCache, error)
	// DropCache frees a cache that will not be used.
	DropCache(ctx context.Context, c MovedCache) error
}

// MoveError says why a KV cache was not moved.
type MoveError struct {
	Status int // of the answer; 0 for none
	Cause  error
}

// Error implements error.
func (e *MoveError) Error() string {
	if e.Status != 0 {
		return fmt.Sprintf("cache not moved: status %d", e.Status)
	}
	return fmt.Sprintf("cache not moved: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *MoveError) Unwrap() error { return e.Cause }

// AnswerMark is what the head of a backend server's answer says of itself.
type AnswerMark struct {
	CallID      string        // of the request that it answers
	Signed      bool          // bears the backend server's signature
	NotRun      bool          // the request has not run and will not
	Misdirected bool          // another backend server has the address, or it does not hold the model
	Leaving     bool          // the backend server takes no new requests soon
	Rest        time.Duration // in which it wants nothing from whom it refused; 0 if it does not say
	Load        Load
	LoadKnown   bool
	KeepIdle    time.Duration // how long the connection may be idle; 0 if it does not say
}

// Load is how busy a backend server says that it is.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Dialect is the form in which callers and backend servers write what a Call and
// its answer say. Package platform has the one of the users' platform.
type Dialect interface {
	// ReadCall decodes the head of a caller's request.
	ReadCall(r *http.Request) (Call, error)
	// PassedHeader returns the header under which a Call is passed on.
	PassedHeader(c Call, p Passing) http.Header
	// ReadMark decodes the head of a backend server's answer.
	ReadMark(status int, h http.Header) AnswerMark
}
