package bamboostep

import "time"

// The messages between an entry and an agent. They are carried by package
// backend, which adds the frames around them.

// RequestID names one request of a caller; it is unique over all entries.
type RequestID string

// AttemptID names one attempt to run a request on one backend server.
type AttemptID string

// Request is what an entry knows about a caller's request.
type Request struct {
	ID          RequestID           `msgpack:"id"`
	Caller      string              `msgpack:"caller"` // address of the caller, without its port
	Model       string              `msgpack:"model"`  // empty for a service
	Adapter     string              `msgpack:"adapter"`
	Service     string              `msgpack:"service"` // empty for a model
	Class       Class               `msgpack:"class"`
	Method      string              `msgpack:"method"`
	Path        string              `msgpack:"path"` // path and query
	Header      map[string][]string `msgpack:"header"`
	Body        []byte              `msgpack:"body"`
	Prefix      []uint64            `msgpack:"prefix"`      // hashes of the prompt's leading blocks, each covering all before it
	Fingerprint uint64              `msgpack:"fingerprint"` // same for the same request sent again
	Revision    uint64              `msgpack:"revision"`    // configuration it was admitted under
}

// Offer asks an agent to run one attempt.
type Offer struct {
	Attempt AttemptID `msgpack:"attempt"`
	Request Request   `msgpack:"request"`
	StartBy int64     `msgpack:"start_by"`     // agent clock, microseconds since the agent's start; the agent starts nothing later
	Prior   []byte    `msgpack:"prior"`        // answer text that the caller already has; the engine goes on after it
	Alone   bool      `msgpack:"alone"`        // a crash suspect: run it only where no unsuspected request runs
	Load    Order     `msgpack:"load"`         // how to load the adapter where it is not resident; its Fence is unset
	KV      *KV       `msgpack:"kv,omitempty"` // saves computing anew what comes before the answer's rest; nil if there is none

	Repeatable bool `msgpack:"-"` // the entry may make another attempt whatever became of this one
}

// Answer is one piece of an attempt's answer. Pieces of one attempt are ordered
// by Offset; a receiver drops any piece that does not continue what it has.
type Answer struct {
	Attempt AttemptID           `msgpack:"attempt"`
	Offset  int64               `msgpack:"offset"` // bytes of answer before Data, counted from the start of this attempt
	Status  int                 `msgpack:"status"` // HTTP status, on the first piece
	Header  map[string][]string `msgpack:"header"` // on the first piece
	Data    []byte              `msgpack:"data"`
	Tokens  int                 `msgpack:"tokens"` // tokens in Data
	Last    bool                `msgpack:"last"`
	Finish  string              `msgpack:"finish"` // why generation ended, on the last piece
}

// Outcome says whether an attempt ran.
type Outcome string

// The outcomes. Only NotRun promises anything: the attempt never started and
// never will.
const (
	NotRun  Outcome = "not_run"
	Ran     Outcome = "ran"
	Unknown Outcome = "unknown"
)

// Failure ends an attempt without a whole answer.
type Failure struct {
	Attempt    AttemptID     `msgpack:"attempt"`
	Outcome    Outcome       `msgpack:"outcome"`
	Code       string        `msgpack:"code"` // stable, snake case
	Message    string        `msgpack:"message"`
	RetryAfter time.Duration `msgpack:"retry_after"`
	Crashed    bool          `msgpack:"crashed"`      // the backend server died while the attempt ran
	KV         *KV           `msgpack:"kv,omitempty"` // of an attempt that its agent handed over; nil if there is none
}

// KV is the exported KV cache of one attempt.
type KV struct {
	Version string `msgpack:"version"` // of the model it was made by
	Adapter string `msgpack:"adapter"` // version of the adapter, if there is one
	Data    []byte `msgpack:"data"`
}

// Fence orders the orders of all leaders: first by the ledger's term, then by
// the sequence number within it.
type Fence struct {
	Term     uint64 `msgpack:"term" json:"term"`
	Sequence uint64 `msgpack:"sequence" json:"sequence"`
}

// Less reports whether f is older than g.
func (f Fence) Less(g Fence) bool {
	if f.Term != g.Term {
		return f.Term < g.Term
	}
	return f.Sequence < g.Sequence
}

// OrderKind says what an Order does.
type OrderKind string

// The kinds of Order.
const (
	LoadModel     OrderKind = "load_model"
	UnloadModel   OrderKind = "unload_model"
	LoadAdapter   OrderKind = "load_adapter"
	UnloadAdapter OrderKind = "unload_adapter"
)

// Order changes what a model engine holds.
type Order struct {
	Fence   Fence     `msgpack:"fence" json:"fence"`
	Kind    OrderKind `msgpack:"kind" json:"kind"`
	Name    string    `msgpack:"name" json:"name"`       // model or adapter
	Model   string    `msgpack:"model" json:"model"`     // base model of an adapter
	Version string    `msgpack:"version" json:"version"` // weights in the store
	MiB     int64     `msgpack:"mib" json:"mib"`         // memory it takes, KV cache included
}

// OrderResult is the agent's answer to an Order.
type OrderResult struct {
	Fence Fence  `msgpack:"fence"`
	Code  string `msgpack:"code"` // "" when done; else stable, snake case
	Error string `msgpack:"error"`
}

// ReplicaState is the state of one model or adapter on one VM.
type ReplicaState string

// The states of a replica.
const (
	ReplicaLoading   ReplicaState = "loading"
	ReplicaResident  ReplicaState = "resident"
	ReplicaUnloading ReplicaState = "unloading"
	ReplicaUncertain ReplicaState = "uncertain" // an order's answer was lost
)

// Replica is one model or adapter on one VM.
type Replica struct {
	Name    string       `msgpack:"name" json:"name"`
	Model   string       `msgpack:"model" json:"model"` // base model, for an adapter
	Version string       `msgpack:"version" json:"version"`
	MiB     int64        `msgpack:"mib" json:"mib"`
	State   ReplicaState `msgpack:"state" json:"state"`
}

// Report is an agent's account of its VM.
type Report struct {
	VM            string        `msgpack:"vm" json:"vm"`
	Place         string        `msgpack:"place" json:"place"`
	FailureDomain string        `msgpack:"failure_domain" json:"failure_domain"`
	Incarnation   uint64        `msgpack:"incarnation" json:"incarnation"` // new at each start of the agent
	Sequence      uint64        `msgpack:"sequence" json:"sequence"`       // rises within an incarnation
	Ready         bool          `msgpack:"ready" json:"ready"`             // takes offers
	Leaving       bool          `msgpack:"leaving" json:"leaving"`         // takes none any more
	Running       int           `msgpack:"running" json:"running"`         // attempts started and not ended
	Waiting       int           `msgpack:"waiting" json:"waiting"`         // attempts accepted and not started
	EngineLoad    float64       `msgpack:"engine_load" json:"engine_load"` // work queued in the engine, tokens
	LoadAge       time.Duration `msgpack:"load_age" json:"load_age"`       // age of EngineLoad when the report was sent
	MemoryMiB     int64         `msgpack:"memory_mib" json:"memory_mib"`   // accelerator memory of the VM
	ReservedMiB   int64         `msgpack:"reserved_mib" json:"reserved_mib"`
	HeldMiB       int64         `msgpack:"held_mib" json:"held_mib"` // what the engine itself last reported
	Replicas      []Replica     `msgpack:"replicas" json:"replicas"`
	Kept          []string      `msgpack:"kept" json:"kept,omitempty"` // versions whose weights the VM keeps, so that loads spare the store
	Fence         Fence         `msgpack:"fence" json:"fence"`         // highest seen
	Revision      uint64        `msgpack:"revision" json:"revision"`
	CacheDropped  []uint64      `msgpack:"cache_dropped" json:"cache_dropped,omitempty"` // prefixes the engine no longer caches
}

// Suspect is a request that was running when a backend server died.
type Suspect struct {
	Fingerprint uint64    `msgpack:"fingerprint" json:"fingerprint"`
	Attempt     AttemptID `msgpack:"attempt" json:"attempt"`
	VM          string    `msgpack:"vm" json:"vm"`
	Crashes     int       `msgpack:"crashes" json:"crashes"`
}
