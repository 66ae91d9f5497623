package bamboostep

import (
	"context"
	"net/http"
	"time"
)

// OrderedEngine is a model engine that accepts one order at a time, numbers the orders
// that it accepts and reports its state.
type OrderedEngine interface {
	// Report requests the engine's state.
	Report(ctx context.Context) (EngineReport, error)
	// Identify requests the instance ID of the engine, which changes when it restarts.
	Identify(ctx context.Context) (instance string, err error)
	// Give sends one order. The error is an *OrderError if the engine refused the order
	// or could not be reached; after any other error, the engine may have accepted it.
	Give(ctx context.Context, o EngineOrder) error
}

// EngineReport is the state that a model engine reports.
type EngineReport struct {
	Born        int64         // start time, Unix milliseconds
	Leaving     bool          // shutting down
	Left        time.Duration // time until the engine stops, if Leaving; 0 if not known
	Busy        bool          // an order is being carried out
	Orders      uint64        // number of orders accepted since the start
	Waiting     int           // requests in the queue
	Running     int           // requests in the batch
	Reading     int           // running requests that are still in prefill
	CacheUsed   int           // KV cache in use that cannot be evicted, tokens
	CacheTokens int           // KV cache capacity, tokens
	NextTokens  int           // prompt length of the first waiting request, tokens
	Models      []HeldModel
	Pending     []string // adapters being loaded, as model/adapter
	InMemory    []string // models whose weights are kept in the VM's main memory
	OnDisk      []string // models whose weights are kept on the VM's disk
}

// HeldModel is a model that an engine has loaded, with its loaded adapters.
type HeldModel struct {
	Name     string   `msgpack:"name"`
	Version  int      `msgpack:"version"`
	Adapters []string `msgpack:"adapters"`
}

// EngineOrder tells a model engine to load or unload a model or adapter.
type EngineOrder struct {
	Load    bool // load if true, unload if false
	Model   string
	Adapter string // empty if the order is for the model itself
	Holder  string // name of the sender
	Fence   uint64 // fencing token: an engine refuses an order with one lower than it has seen
	After   uint64 // number of orders that the engine must have accepted before; it refuses the order otherwise
	// Instance is the instance ID of the engine that the order is for.
	Instance string
}

// OrderError reports that an engine refused an order or could not be reached.
type OrderError struct {
	Status int  // HTTP status; 0 if Unsent
	Fenced bool // the engine has seen a higher fencing token
	Stale  bool // another order is in progress, or the engine has accepted others since
	Unsent bool // no connection to the engine, so it did not receive the order
}

// Error implements error.
func (e *OrderError) Error() string {
	if e.Unsent {
		return "cannot connect to the engine"
	}
	return "engine refused the order: " + http.StatusText(e.Status)
}
