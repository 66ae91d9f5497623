package bamboostep

import (
	"context"
	"net/http"
	"time"
)

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
