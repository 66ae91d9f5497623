package bamboostep

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// Call is a caller's HTTP request, decoded by a Dialect, that is forwarded to a
// backend server with its method, target and body unchanged. It is immutable.
type Call struct {
	ID              string // request ID, which the backend server echoes; a caller that sends the request again uses another
	Host            string
	Method          string
	Target          string      // request target: path and query
	Path            string      // path without the query
	Header          http.Header // headers to forward, without hop-by-hop headers
	Body            []byte
	Key             KeyDigest     // digest of the caller's API key; zero if the request has none
	TimeLimit       time.Duration // time that the caller allows for the answer; 0 if not given
	Model           string        // empty for a plain service
	Adapter         string        // empty if none is requested
	PromptTokens    int           // 0 if not given
	MaxAnswerTokens int           // upper limit; 0 if not given
	Prompt          []PromptPart  // parts of the prompt, in order; the last is specific to the request or its session
	ResumeAfter     string        // ID of the last event that the caller received of an earlier answer; empty if none
	Resumes         string        // ID of the earlier request whose answer began the stream that this one resumes; empty if none
}

// WithBody returns a copy of c with the given body.
func (c Call) WithBody(body []byte) Call {
	c.Body = body
	return c
}

// Fingerprint returns a hash of the content of c. It does not depend on the caller or
// the ID, so a request that is sent again has the same fingerprint.
func (c Call) Fingerprint() uint64 {
	return Fingerprint(c.Body, c.Method, c.Host, c.Target, c.Model, c.Adapter)
}

// maxSharedParts is the number of parts that SharedParts returns at most.
const maxSharedParts = 256

// SharedParts returns fingerprints of the parts of the prompt that other prompts may share: all
// but the last, each once, at most maxSharedParts.
func (c Call) SharedParts() []uint64 {
	if len(c.Prompt) < 2 {
		return nil
	}
	shared := c.Prompt[:min(len(c.Prompt)-1, maxSharedParts)]
	list := make([]uint64, 0, len(shared))
	seen := make(map[uint64]bool, len(shared))
	for _, p := range shared {
		if f := p.Fingerprint(); !seen[f] {
			seen[f] = true
			list = append(list, f)
		}
	}
	return list
}

// PartID returns the ID of the part of the prompt that has a fingerprint, or "" if none has.
func (c Call) PartID(fingerprint uint64) string {
	for _, p := range c.Prompt {
		if p.Fingerprint() == fingerprint {
			return p.ID
		}
	}
	return ""
}

// PromptPart is a section of a prompt. Prompts that contain a part with the same ID can
// share its KV cache.
type PromptPart struct {
	ID     string
	Tokens int
}

// Fingerprint returns a hash of the part's ID.
func (p PromptPart) Fingerprint() uint64 { return Fingerprint(nil, p.ID) }

// ForwardOptions holds what an entry adds to a Call when it forwards it to a backend server.
type ForwardOptions struct {
	TimeLeft         time.Duration // time left until the deadline
	Instance         string        // intended backend server; empty sends no instance header
	Priority         int           // priority; 0 is the most urgent
	ResumeAfter      string        // ID of the event to resume after; empty to start at the beginning
	RemoveKeyHeaders bool          // callers authenticate with API keys; their key and workspace headers are removed
	Workspace        string        // workspace of the caller's key; empty if none
	MovedCache       MovedCache    // KV cache from which the request resumes; zero if none
}

// MovedCache identifies the KV cache of a stopped request, so that another engine can
// resume the request from it.
type MovedCache struct {
	Source string // address of the engine that the cache was moved from
	Handle string // name of the cache, assigned by Source
}

// CacheMover moves the KV cache of running requests between engines. It is an optional
// interface of a Dialect.
type CacheMover interface {
	// StopAndMove stops the request with the given ID at the engine with the address
	// source, and returns once its cache is at the engine with the address target. The
	// error is a *MoveError.
	StopAndMove(ctx context.Context, source, target, id string) (MovedCache, error)
	// DropCache frees a moved cache that will not be used.
	DropCache(ctx context.Context, c MovedCache) error
}

// MoveError reports why a KV cache was not moved.
type MoveError struct {
	Status int   // HTTP status of the engine's answer, if it is an error; 0 otherwise
	Cause  error // set if Status is 0
}

// Error implements error.
func (e *MoveError) Error() string {
	if e.Status != 0 {
		return fmt.Sprintf("cannot move KV cache: status %d", e.Status)
	}
	return fmt.Sprintf("cannot move KV cache: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *MoveError) Unwrap() error { return e.Cause }

// AnswerInfo holds what the status and headers of a backend server's answer say about
// the attempt and the backend server.
type AnswerInfo struct {
	CallID      string        // ID of the request that it answers
	Signed      bool          // has a signature header; its value is not verified
	NotRun      bool          // the request did not run and will not run
	Misdirected bool          // another backend server has the address, or it does not hold the model
	Leaving     bool          // the backend server is shutting down and will stop taking new requests
	RetryAfter  time.Duration // with status 503, how long this sender should send it nothing (Retry-After); 0 if not given
	Limit       RequestLimit  // how many requests the backend server takes from all entries together
	Load        Load          // valid if LoadKnown
	LoadKnown   bool          // the answer reports the load
	IdleTimeout time.Duration // how long the backend server keeps the connection open when idle; 0 if not given
}

// RequestLimit is the rate of requests that a backend server in need takes from all entries
// together, for as long as its answers name it.
type RequestLimit struct {
	Named     bool    // the answer names a limit
	Readable  bool    // PerSecond holds the limit; else the answer names something that is no rate
	PerSecond float64 // requests per second, 0 or more
	Text      string  // as named, cut to a length fit for a log line
}

// Load is the load that a backend server reports.
type Load struct {
	Running int // requests being processed
	Waiting int // requests in the queue
	Slots   int // requests that it can process concurrently

	// Slowness is how long work takes on its VM at this moment, relative to the usual: 1 as usual, 2 for twice
	// as long; 0 if unknown.
	Slowness float64
}

// Dialect maps between HTTP headers and the values Call, ForwardOptions and AnswerInfo.
// Package platform implements the headers of the users' platform.
type Dialect interface {
	// DecodeCall decodes the request line and headers of a caller's request.
	DecodeCall(r *http.Request) (Call, error)
	// ForwardHeader returns the headers with which a Call is forwarded.
	ForwardHeader(c Call, p ForwardOptions) http.Header
	// ReadAnswerInfo decodes the status and headers of a backend server's answer.
	ReadAnswerInfo(status int, h http.Header) AnswerInfo
}
