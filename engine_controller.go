package bamboostep

import (
	"context"
	"net/http"
	"time"
)

// EngineController is a model engine that accepts one order at a time, numbers the orders
// that it accepts and reports its state.
type EngineController interface {
	// Report requests the engine's state.
	Report(ctx context.Context) (EngineReport, error)
	// Identify requests the instance ID of the engine, which changes when it restarts.
	Identify(ctx context.Context) (instance string, err error)
	// SendOrder sends one order. The error is an *OrderError if the engine refused the order
	// or could not be reached; after any other error, the engine may have accepted it.
	SendOrder(ctx context.Context, o EngineOrder) error
}

// EngineReport is the state that a model engine reports.
type EngineReport struct {
	StartedMS           int64         // start time, Unix milliseconds
	Leaving             bool          // shutting down
	TimeLeft            time.Duration // time until the engine stops, if Leaving; 0 if not known
	Busy                bool          // an order is being carried out
	AcceptedOrders      uint64        // number of orders accepted since the start
	Waiting             int           // requests in the queue
	Running             int           // requests in the batch
	Prefilling          int           // running requests that are still in prefill
	Runs                []EngineRun   // running requests that have emitted an event, as far as they could be read
	CacheUsedTokens     int           // KV cache in use that cannot be evicted, tokens
	CacheCapacityTokens int           // KV cache capacity, tokens
	NextPromptTokens    int           // prompt length of the first waiting request, tokens
	Models              []LoadedModel
	PendingAdapters     []string // adapters being loaded, as model/adapter
	InMemory            []string // models whose weights are kept in the VM's main memory
	OnDisk              []string // models whose weights are kept on the VM's disk
}

// EngineRun is the progress of a request that a model engine runs.
type EngineRun struct {
	ID     string // of the request at the engine
	Events int    // events emitted
}

// LoadedModel is a model that an engine has loaded, with its loaded adapters.
type LoadedModel struct {
	Name     string   `msgpack:"name"`
	Version  int      `msgpack:"version"`
	Adapters []string `msgpack:"adapters"`
}

// EngineOrder tells a model engine to load or unload a model or adapter.
type EngineOrder struct {
	Load           bool // load if true, unload if false
	Model          string
	Adapter        string // empty if the order is for the model itself
	Holder         string // name of the sender
	Fence          uint64 // fencing token: an engine refuses an order with one lower than it has seen
	AcceptedBefore uint64 // number of orders that the engine must have accepted before; it refuses the order otherwise
	// Instance is the instance ID of the engine that the order is for.
	Instance string
}

// OrderError reports that an engine refused an order or could not be reached.
type OrderError struct {
	Status   int  // HTTP status; 0 if Unsent
	Fenced   bool // the engine has seen a higher fencing token
	Conflict bool // another order is in progress, or the engine has accepted others since
	Unsent   bool // no connection to the engine, so it did not receive the order
}

// Error implements error.
func (e *OrderError) Error() string {
	if e.Unsent {
		return "cannot connect to the engine"
	}
	return "engine refused the order: " + http.StatusText(e.Status)
}
