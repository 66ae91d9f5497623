package bamboostep

import (
	"context"
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
}

// AnswerMark is what the head of a backend server's answer says of itself.
type AnswerMark struct {
	CallID      string // of the request that it answers
	Signed      bool   // bears the backend server's signature
	NotRun      bool   // the request has not run and will not
	Misdirected bool   // another backend server has the address, or it does not hold the model
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

// OrderedEngine is a model engine that takes orders in sequence and reports.
type OrderedEngine interface {
	// Report asks an engine for its state.
	Report(ctx context.Context) (EngineReport, error)
	// Identify asks an engine for the name of its present start.
	Identify(ctx context.Context) (instance string, err error)
	// Give sends one order. The error is an *OrderError if the engine refused it.
	Give(ctx context.Context, o EngineOrder) error
}

// EngineReport is what a model engine says of itself.
type EngineReport struct {
	Born        int64 // Unix milliseconds of its start
	Leaving     bool
	Left        time.Duration // until it is gone, if Leaving and known
	Busy        bool          // carries out an order
	Orders      uint64        // accepted since its start
	Waiting     int
	Running     int // in the batch
	Reading     int // of these, requests whose prompt is still being read
	CacheUsed   int // tokens that cannot yield
	CacheTokens int
	NextTokens  int // prompt of the first waiting request
	Models      []HeldModel
	Pending     []string // adapters on their way, model and adapter joined by a slash
	InMemory    []string // models whose weights are kept in the VM's memory
	OnDisk      []string
}

// HeldModel is a model that an engine holds, and its adapters.
type HeldModel struct {
	Name     string   `msgpack:"name"`
	Version  int      `msgpack:"version"`
	Adapters []string `msgpack:"adapters"`
}

// EngineOrder changes what a model engine holds.
type EngineOrder struct {
	Load    bool // else unload
	Model   string
	Adapter string // empty for the model itself
	Holder  string // who gives it
	Fence   uint64
	After   uint64 // orders that the engine has accepted before
	// Instance is the engine that is meant.
	Instance string
}

// OrderError says that an engine refused an order.
type OrderError struct {
	Status int
	Fenced bool // a higher fencing number was seen
	Stale  bool // another order is under way, or others came before
	Unsent bool // the engine could not be reached, so it has nothing of the order
}

// Error implements error.
func (e *OrderError) Error() string {
	if e.Unsent {
		return "engine cannot be reached"
	}
	return "engine refused the order: " + http.StatusText(e.Status)
}

// Listing is one backend server in the platform's list.
type Listing struct {
	Instance string      `msgpack:"instance"`
	Born     int64       `msgpack:"born"`
	Service  string      `msgpack:"service"`
	Address  string      `msgpack:"address"` // host and port
	Domain   string      `msgpack:"domain"`  // failure domain
	Slots    int         `msgpack:"slots"`
	Leaving  bool        `msgpack:"leaving"`
	Models   []HeldModel `msgpack:"models"`
}

// Directory reads the platform's list of backend servers.
type Directory interface {
	Listings(ctx context.Context) ([]Listing, error)
}
