package bamboostep

import (
	"context"
	"time"
)

// Clock returns the current time. Code that does I/O reads it and passes the time as
// an argument; the packages that make decisions never read a clock, so that they are
// deterministic.
type Clock interface {
	Now() time.Time
}

// Platform lists the VMs that the platform runs. The list may be out of date.
type Platform interface {
	VMs(ctx context.Context) ([]VM, error)
}

// VMState is the state of a VM in the platform's list.
type VMState string

// The states in the platform's list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving" // shutting down
)

// VM is one machine in the platform's list.
type VM struct {
	Name          string  `json:"name" msgpack:"name"`
	Address       string  `json:"address" msgpack:"address"` // host and port of the agent
	Place         string  `json:"place" msgpack:"place"`
	FailureDomain string  `json:"failure_domain" msgpack:"failure_domain"`
	Region        string  `json:"region,omitempty" msgpack:"region"` // empty if the platform does not distinguish regions
	State         VMState `json:"state" msgpack:"state"`
}

// Engine is the interface through which an agent uses its model engine.
type Engine interface {
	// Generate runs one attempt and passes each piece of the answer to yield. It
	// returns when the answer is complete, ctx is done or the engine fails.
	Generate(ctx context.Context, offer Offer, yield func(Answer) error) error
	// Do sends an order to the engine and waits for its answer.
	Do(ctx context.Context, order Order) error
	// State asks the engine for its loaded models and adapters and its load.
	State(ctx context.Context) (EngineState, error)
}

// KVExporter is an optional interface of an Engine. It moves the KV cache of a running
// attempt to another engine.
type KVExporter interface {
	ExportKV(ctx context.Context, attempt AttemptID) ([]byte, error)
	ImportKV(ctx context.Context, attempt AttemptID, kv []byte) error
}

// EngineState is the state that an engine reports.
type EngineState struct {
	Incarnation  string    `json:"incarnation"` // changes when the engine restarts
	MemoryMiB    int64     `json:"memory_mib"`  // accelerator memory
	UsedMiB      int64     `json:"held_mib"`    // accelerator memory in use
	Replicas     []Replica `json:"replicas"`
	QueuedTokens float64   `json:"queued_tokens"` // queued work, tokens
	AgeMS        int64     `json:"age_ms"`        // age of QueuedTokens, milliseconds
	CacheDropped []uint64  `json:"cache_dropped"` // hashes of the prefixes evicted from the prefix cache
}

// Application is the interface through which an agent uses a plain service.
type Application interface {
	// Serve runs one attempt and passes each piece of the answer to yield.
	Serve(ctx context.Context, offer Offer, yield func(Answer) error) error
}

// Candidate is a backend server that could run a request, as seen by one entry.
type Candidate struct {
	VM             string
	FailureDomain  string
	Local          bool          // in the entry's own failure domain
	Resident       bool          // holds the model, and the adapter if one is named
	InFlight       int           // attempts of this entry that run there
	InFlightTokens float64       // remaining work of these attempts, tokens
	QueuedTokens   float64       // queued work that the agent reported, tokens
	ReportAge      time.Duration // time since Reported was measured
	CachedBlocks   int           // leading blocks of the prompt expected in its prefix cache
	Suspects       int           // requests running there that are suspected of crashing backend servers
}

// Router chooses a backend server for a request.
type Router interface {
	// Pick returns the index of the chosen candidate; ok is false if there is none.
	// seed is its only source of randomness. It does not retain candidates.
	Pick(now time.Time, req Request, candidates []Candidate, seed uint64) (index int, ok bool)
}

// Placer decides which models and adapters are loaded and unloaded on which VMs.
type Placer interface {
	// Place returns the changes to order now.
	Place(now time.Time, fleet Fleet) []Move
}

// Demand is the recent demand for one model or adapter.
type Demand struct {
	Name        string
	RequestRate float64 `msgpack:"Rate"` // requests per second, smoothed
	TokenRate   float64 `msgpack:"Work"` // tokens per second, smoothed
	LateShare   float64 // fraction of requests that missed the latency target
}

// Fleet is the input of a Placer. A Placer must use nothing else.
type Fleet struct {
	Places        []Place
	Versions      map[string]Version // by name
	Models        []Model
	Adapters      []Adapter
	VMs           []Report          // latest report of each VM
	Demand        map[string]Demand // by name of the model or adapter
	Needs         []Need            // copies that must be on certain VMs
	LoadsInFlight int               // loads from the store in progress

	AllowedStoreLoads int // loads from the store that may start now; not every Placer uses it
}

// Need is a model of which a copy must be on one of some VMs, while it can be loaded there.
type Need struct {
	Model string
	VMs   []string
}

// Move is an order that a Placer wants to send to one VM.
type Move struct {
	VM     string
	Order  Order
	Reason string // stable identifier in snake case, such as "lost_copy", "demand", "version", "make_room"
}
