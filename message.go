package bamboostep

import "time"

// This file defines the messages between an entry and an agent. Package backend
// transmits them and does the framing.

// RequestID identifies a caller's request. It is unique across all entries.
type RequestID string

// AttemptID identifies one attempt to run a request on one backend server.
type AttemptID string

// Request is a caller's request as the entry decoded it.
type Request struct {
	ID          RequestID           `msgpack:"id"`
	Caller      string              `msgpack:"caller"`  // IP address of the caller
	Model       string              `msgpack:"model"`   // empty for a service
	Adapter     string              `msgpack:"adapter"` // empty if none is requested
	Service     string              `msgpack:"service"` // empty for a model
	Class       Class               `msgpack:"class"`
	Method      string              `msgpack:"method"`
	Path        string              `msgpack:"path"` // path and query
	Header      map[string][]string `msgpack:"header"`
	Body        []byte              `msgpack:"body"`
	Prefix      []uint64            `msgpack:"prefix"`      // hashes of the prompt's leading blocks; each also covers all blocks before it
	Fingerprint uint64              `msgpack:"fingerprint"` // content hash, equal for the same request sent again; see Fingerprint
	Revision    uint64              `msgpack:"revision"`    // configuration revision under which it was admitted
}

// Offer asks an agent to run one attempt.
type Offer struct {
	Attempt   AttemptID `msgpack:"attempt"`
	Request   Request   `msgpack:"request"`
	StartBy   int64     `msgpack:"start_by"`     // latest time to start the attempt, by the agent's clock: microseconds since the agent started
	PriorText []byte    `msgpack:"prior"`        // answer text that the caller already received; the engine continues after it
	RunAlone  bool      `msgpack:"alone"`        // the request is suspected of crashing backend servers: run it only while no other request runs
	Load      Order     `msgpack:"load"`         // how to load the adapter where it is not resident; its Fence is unset
	KV        *KV       `msgpack:"kv,omitempty"` // KV cache of the prompt and PriorText, so that they are not computed again; nil if there is none

	Repeatable bool `msgpack:"-"` // the entry may make another attempt, whatever the outcome of this one
}

// Answer is one piece of an attempt's answer. The pieces of an attempt are ordered by
// Offset; a receiver drops a piece that does not continue what it has received.
type Answer struct {
	Attempt      AttemptID           `msgpack:"attempt"`
	Offset       int64               `msgpack:"offset"` // bytes of this attempt's answer before Data
	Status       int                 `msgpack:"status"` // HTTP status; only in the first piece
	Header       map[string][]string `msgpack:"header"` // only in the first piece
	Data         []byte              `msgpack:"data"`
	Tokens       int                 `msgpack:"tokens"` // tokens in Data
	Last         bool                `msgpack:"last"`   // no piece follows
	FinishReason string              `msgpack:"finish"` // why generation ended; only in the last piece
}

// Outcome says whether an attempt ran.
type Outcome string

// The outcomes. Only NotRun is a guarantee, so only then is it safe to repeat a request
// that is not idempotent.
const (
	NotRun  Outcome = "not_run" // the attempt did not start and never will
	Ran     Outcome = "ran"
	Unknown Outcome = "unknown"
)

// Failure reports that an attempt ended without a complete answer.
type Failure struct {
	Attempt    AttemptID     `msgpack:"attempt"`
	Outcome    Outcome       `msgpack:"outcome"`
	Code       string        `msgpack:"code"` // stable identifier in snake case
	Message    string        `msgpack:"message"`
	RetryAfter time.Duration `msgpack:"retry_after"`  // how long to wait before a retry; 0 if not given
	Crashed    bool          `msgpack:"crashed"`      // the backend server crashed while the attempt ran
	KV         *KV           `msgpack:"kv,omitempty"` // KV cache with which another backend server can continue the attempt; nil if there is none
}

// KV is the exported KV cache of one attempt.
type KV struct {
	Version string `msgpack:"version"` // version of the model that computed it
	Adapter string `msgpack:"adapter"` // version of the adapter; empty if there is none
	Data    []byte `msgpack:"data"`
}

// FencingToken is the fencing token of an Order. Tokens are compared by the leader's term in
// the ledger, then by the sequence number within the term, so that an order of a former
// leader is lower than any order of the current leader.
type FencingToken struct {
	Term     uint64 `msgpack:"term" json:"term"`
	Sequence uint64 `msgpack:"sequence" json:"sequence"`
}

// Less reports whether f is lower than g.
func (f FencingToken) Less(g FencingToken) bool {
	if f.Term != g.Term {
		return f.Term < g.Term
	}
	return f.Sequence < g.Sequence
}

// OrderKind is the operation of an Order.
type OrderKind string

// The kinds of Order.
const (
	LoadModel     OrderKind = "load_model"
	UnloadModel   OrderKind = "unload_model"
	LoadAdapter   OrderKind = "load_adapter"
	UnloadAdapter OrderKind = "unload_adapter"
)

// Order tells a model engine to load or unload a model or adapter.
type Order struct {
	Fence   FencingToken `msgpack:"fence" json:"fence"`
	Kind    OrderKind    `msgpack:"kind" json:"kind"`
	Name    string       `msgpack:"name" json:"name"`       // model or adapter
	Model   string       `msgpack:"model" json:"model"`     // base model of an adapter
	Version string       `msgpack:"version" json:"version"` // version of the weights in the store
	MiB     int64        `msgpack:"mib" json:"mib"`         // accelerator memory to reserve, KV cache included
}

// OrderResult is the agent's answer to an Order.
type OrderResult struct {
	Fence FencingToken `msgpack:"fence"`
	Code  string       `msgpack:"code"`  // empty if the order was carried out; otherwise a stable identifier in snake case
	Error string       `msgpack:"error"` // error message; empty if Code is
}

// ReplicaState is the state of one model or adapter on one VM.
type ReplicaState string

// The states of a replica.
const (
	ReplicaLoading   ReplicaState = "loading"
	ReplicaResident  ReplicaState = "resident"
	ReplicaUnloading ReplicaState = "unloading"
	ReplicaUncertain ReplicaState = "uncertain" // the engine's answer to an order was lost
)

// Replica is one model or adapter on one VM.
type Replica struct {
	Name    string       `msgpack:"name" json:"name"`
	Model   string       `msgpack:"model" json:"model"` // base model, for an adapter
	Version string       `msgpack:"version" json:"version"`
	MiB     int64        `msgpack:"mib" json:"mib"`
	State   ReplicaState `msgpack:"state" json:"state"`
}

// Report is the state of a VM, as reported by its agent.
type Report struct {
	VM            string        `msgpack:"vm" json:"vm"`
	Place         string        `msgpack:"place" json:"place"`
	FailureDomain string        `msgpack:"failure_domain" json:"failure_domain"`
	Incarnation   uint64        `msgpack:"incarnation" json:"incarnation"`   // changes when the agent restarts
	Sequence      uint64        `msgpack:"sequence" json:"sequence"`         // increases within an incarnation
	Ready         bool          `msgpack:"ready" json:"ready"`               // accepts offers
	Leaving       bool          `msgpack:"leaving" json:"leaving"`           // shutting down; accepts no more offers
	Running       int           `msgpack:"running" json:"running"`           // attempts in progress
	Waiting       int           `msgpack:"waiting" json:"waiting"`           // attempts accepted but not started
	EngineLoad    float64       `msgpack:"engine_load" json:"engine_load"`   // work queued in the engine, tokens
	LoadAge       time.Duration `msgpack:"load_age" json:"load_age"`         // age of EngineLoad when the report was sent
	MemoryMiB     int64         `msgpack:"memory_mib" json:"memory_mib"`     // accelerator memory of the VM
	ReservedMiB   int64         `msgpack:"reserved_mib" json:"reserved_mib"` // memory reserved by orders
	UsedMiB       int64         `msgpack:"held_mib" json:"held_mib"`         // memory in use, as last reported by the engine
	Replicas      []Replica     `msgpack:"replicas" json:"replicas"`
	LocalVersions []string      `msgpack:"kept" json:"kept,omitempty"`                   // versions whose weights the VM keeps locally, so that loading them does not use the store
	Fence         FencingToken  `msgpack:"fence" json:"fence"`                           // highest fencing token seen
	Revision      uint64        `msgpack:"revision" json:"revision"`                     // configuration revision that the agent uses
	CacheDropped  []uint64      `msgpack:"cache_dropped" json:"cache_dropped,omitempty"` // hashes of the prefixes evicted from the engine's prefix cache
}

// Suspect is a request that was running when a backend server crashed and may have
// caused the crash.
type Suspect struct {
	Fingerprint uint64    `msgpack:"fingerprint" json:"fingerprint"`
	Attempt     AttemptID `msgpack:"attempt" json:"attempt"`
	VM          string    `msgpack:"vm" json:"vm"`
	Crashes     int       `msgpack:"crashes" json:"crashes"` // crashes attributed to the request; above 1, entries refuse it
}
