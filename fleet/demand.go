package fleet

import (
	"cmp"
	"slices"
)

// ModelName names a model, or one adapter of it.
type ModelName struct{ Model, Adapter string }

// tally counts what was asked of one model.
type tally struct{ asked, late, tokens int }

// Demand is what callers of one entry asked of one model or adapter since the last
// time.
type Demand struct {
	Model   string `msgpack:"model"`
	Adapter string `msgpack:"adapter"`
	Asked   int    `msgpack:"asked"`
	Late    int    `msgpack:"late"`   // waited for a copy, or came past the route's target
	Tokens  int    `msgpack:"tokens"` // of prompts that no cache was expected to hold
}

// NoteAsked counts a request.
func (f *Fleet) NoteAsked(n ModelName) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	f.tally(n).asked++
}

// NoteLate counts a request that came past its target.
func (f *Fleet) NoteLate(n ModelName) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	f.tally(n).late++
}

// NoteAbsent counts a request for a model that no backend server holds. The voters
// are to hear of it at once.
func (f *Fleet) NoteAbsent(n ModelName) {
	f.NoteLate(n)
	select {
	case f.Urgent() <- struct{}{}:
	default:
	}
}

// Urgent returns a channel that gets a value when demand is to be told at once.
func (f *Fleet) Urgent() chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	return f.urgent
}

func (f *Fleet) tally(n ModelName) *tally {
	t := f.demand[n]
	if t == nil {
		t = &tally{}
		f.demand[n] = t
	}
	return t
}

func (s *server) noteUsed(a AdapterCall) {
	if s.used == nil {
		s.used = make(map[AdapterCall]bool)
	}
	s.used[a] = true
}

// TakeUsed returns the adapters that requests used since the last call, by address of
// the backend server. Its holder is to know, so that others make room first.
func (f *Fleet) TakeUsed() map[string][]AdapterCall {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	used := make(map[string][]AdapterCall)
	for _, s := range f.servers {
		for a := range s.used {
			used[s.listing.Address] = append(used[s.listing.Address], a)
		}
		clear(s.used)
	}
	return used
}

// TakeDemand returns what was asked since the last call, in a fixed order.
func (f *Fleet) TakeDemand() []Demand {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	out := make([]Demand, 0, len(f.demand))
	for n, t := range f.demand {
		out = append(out, Demand{Model: n.Model, Adapter: n.Adapter, Asked: t.asked, Late: t.late, Tokens: t.tokens})
	}
	clear(f.demand)
	slices.SortFunc(out, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	return out
}
