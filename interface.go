package bamboostep

import (
	"context"
	"time"
)

// Clock tells the time. Shells read it and pass the time on; the decision
// packages never read a clock themselves.
type Clock interface {
	Now() time.Time
}

// Platform lists the VMs that the platform runs. The list lags.
type Platform interface {
	VMs(ctx context.Context) ([]VM, error)
}

// VMState is the platform's word on a VM.
type VMState string

// The states in the platform's list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one machine in the platform's list.
type VM struct {
	Name          string  `json:"name" msgpack:"name"`
	Address       string  `json:"address" msgpack:"address"` // host and port of the agent
	Place         string  `json:"place" msgpack:"place"`
	FailureDomain string  `json:"failure_domain" msgpack:"failure_domain"`
	Region        string  `json:"region,omitempty" msgpack:"region"` // empty where regions are not told apart
	State         VMState `json:"state" msgpack:"state"`
}

// Engine is a model engine as its agent sees it.
type Engine interface {
	// Generate runs one attempt and hands each piece of text to yield. It
	// returns when the answer is whole, ctx ends or the engine fails.
	Generate(ctx context.Context, offer Offer, yield func(Answer) error) error
	// Do gives the engine an order and waits for its answer.
	Do(ctx context.Context, order Order) error
	// State asks the engine what it holds and how loaded it is.
	State(ctx context.Context) (EngineState, error)
}

// Exporter is an optional capability of an Engine: it moves the KV cache of a
// running attempt to another engine.
type Exporter interface {
	ExportKV(ctx context.Context, attempt AttemptID) ([]byte, error)
	ImportKV(ctx context.Context, attempt AttemptID, kv []byte) error
}

// EngineState is an engine's own account of itself.
type EngineState struct {
	Incarnation  string    `json:"incarnation"`
	MemoryMiB    int64     `json:"memory_mib"`
	HeldMiB      int64     `json:"held_mib"`
	Replicas     []Replica `json:"replicas"`
	QueuedTokens float64   `json:"queued_tokens"`
	AgeMS        int64     `json:"age_ms"` // how old QueuedTokens is, milliseconds
	CacheDropped []uint64  `json:"cache_dropped"`
}

// Application is a plain service as its agent sees it.
type Application interface {
	Serve(ctx context.Context, offer Offer, yield func(Answer) error) error
}

// Candidate is one backend server that could run a request.
type Candidate struct {
	VM            string
	FailureDomain string
	Local         bool          // in the entry's own failure domain
	Resident      bool          // holds the model, and the adapter if one is named
	InFlight      int           // this entry's own attempts there
	InFlightWork  float64       // their remaining work, tokens
	Reported      float64       // reported queue, tokens
	ReportAge     time.Duration // since Reported was true
	CachedBlocks  int           // leading prompt blocks expected in its prefix cache
	Suspects      int           // crash suspects running there
}

// Router picks a candidate for a request, or none. It is pure: seed is its only
// source of chance, and it keeps no reference to candidates.
type Router interface {
	Pick(now time.Time, req Request, candidates []Candidate, seed uint64) (index int, ok bool)
}

// Placer decides which models and adapters move.
type Placer interface {
	Place(now time.Time, fleet Fleet) []Move
}

// Demand is what callers asked of one model or adapter of late.
type Demand struct {
	Name      string
	Rate      float64 // requests a second, smoothed
	Work      float64 // tokens a second, smoothed
	LateShare float64 // share answered past the target
}

// Fleet is all that a Placer may look at.
type Fleet struct {
	Places   []Place
	Versions map[string]Version
	Models   []Model
	Adapters []Adapter
	VMs      []Report
	Demand   map[string]Demand
	InFlight int // loads in flight from the store

	StoreLoads int // loads from the store that may begin now, for placers that heed it
}

// Move is one change that a Placer wants: an order for one VM.
type Move struct {
	VM     string
	Order  Order
	Reason string // stable, snake case: "lost_copy", "demand", "version", "make_room"
}
