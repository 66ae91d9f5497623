package fleet

import (
	"cmp"
	"slices"
)

// ModelName identifies a model, or one adapter of a model.
type ModelName struct{ Model, Adapter string }

// demandCount accumulates the demand for one model or adapter.
type demandCount struct{ requests, late, tokens int }

// Demand is the demand for one model or adapter at one entry since its previous Demand was
// taken.
type Demand struct {
	Model    string `msgpack:"model"`
	Adapter  string `msgpack:"adapter"`
	Requests int    `msgpack:"asked"`
	Late     int    `msgpack:"late"`   // requests that missed their route's latency target, or whose model no server held
	Tokens   int    `msgpack:"tokens"` // uncached prompt tokens plus the limits on answer tokens
}

// CountRequest counts a request for a model or adapter.
func (f *Fleet) CountRequest(n ModelName) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	f.demandFor(n).requests++
}

// CountLate counts a request that missed its latency target.
func (f *Fleet) CountLate(n ModelName) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	f.demandFor(n).late++
}

// CountMissing counts a request for a model that no backend server holds, and signals urgent
// demand so that the voters learn of it immediately.
func (f *Fleet) CountMissing(n ModelName) {
	f.CountLate(n)
	f.signalUrgentDemand()
}

func (f *Fleet) signalUrgentDemand() {
	select {
	case f.UrgentDemand() <- struct{}{}:
	default:
	}
}

// UrgentDemand returns a channel that receives a value when demand should be sent to the voters
// immediately.
func (f *Fleet) UrgentDemand() chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	return f.urgentDemand
}

// demandFor returns the counts of a model or adapter, creating them if needed. f.mu is
// held.
func (f *Fleet) demandFor(n ModelName) *demandCount {
	t := f.demand[n]
	if t == nil {
		t = &demandCount{}
		f.demand[n] = t
	}
	return t
}

// recordAdapterUse remembers the use of an adapter for TakeUsedAdapters. The fleet's mu is held.
func (s *server) recordAdapterUse(a AdapterRef) {
	if s.usedAdapters == nil {
		s.usedAdapters = make(map[AdapterRef]bool)
	}
	s.usedAdapters[a] = true
}

// TakeUsedAdapters returns the adapters that requests have used since the previous call, keyed by
// the address of the backend server. The holder needs them to evict the least recently
// used adapter.
func (f *Fleet) TakeUsedAdapters() map[string][]AdapterRef {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	used := make(map[string][]AdapterRef)
	for _, s := range f.servers {
		for a := range s.usedAdapters {
			used[s.listing.Address] = append(used[s.listing.Address], a)
		}
		clear(s.usedAdapters)
	}
	return used
}

// TakeDemand returns the demand since the previous call, sorted by model and adapter, and
// resets the counts.
func (f *Fleet) TakeDemand() []Demand {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	out := make([]Demand, 0, len(f.demand))
	for n, t := range f.demand {
		out = append(out, Demand{Model: n.Model, Adapter: n.Adapter, Requests: t.requests, Late: t.late, Tokens: t.tokens})
	}
	clear(f.demand)
	slices.SortFunc(out, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	return out
}
