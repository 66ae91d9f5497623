package main

import (
	"sync"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/dispatch"
	"github.com/bamboostep/bamboostep/roster"
)

// This file holds the entry's view of each backend server.
//
// The candidates for a request are the holders of its model. The list of holders
// is cached until a report changes it, and each choice only updates the load
// figures. Reports are read at most every reportRefreshInterval. A backend server
// that stopped in the meantime refuses the attempt, which is then sent to another
// one. The entry's own attempts in flight are always up to date.

const reportRefreshInterval = 20 * time.Millisecond

// serverTable holds the state of every backend server that this entry uses.
type serverTable struct {
	mu             sync.Mutex
	byVM           map[string]*serverState
	views          map[string]*placeView // by place
	untried        holders               // buffer reused by candidates
	waitPredictors map[waitKey]*dispatch.WaitPredictor
	prefixIndex    dispatch.PrefixIndex
}

// serverState is the state of one backend server. Fields that every choice reads
// come first, for locality in the CPU cache.
type serverState struct {
	inFlight         int       // this entry's attempts on the server
	inFlightWork     float64   // their remaining work in tokens
	inFlightSuspects int       // attempts of crash suspects, which run alone
	reportedLoad     float64   // queued work in the last report, in tokens
	loadMeasuredAt   time.Time // time for which reportedLoad holds
	cache            dispatch.PrefixCache

	server      backendServer
	vm          bamboostep.VM
	local       bool // in the entry's own failure domain
	otherRegion bool // not in the entry's own region
	ready       bool
	replicas    []bamboostep.Replica // list that resident was built from
	resident    map[string]bool      // names of the loaded models and adapters
	reportID    [2]uint64            // incarnation and sequence number of the last report
}

// holders are the backend servers that hold a model.
type holders struct {
	states          []*serverState
	candidates      []bamboostep.Candidate // parallel to states
	adapterResident map[string][]bool      // by adapter; each list is parallel to states
}

// holdersKey identifies the holders of a model in the own region or in the other
// regions. Services use the model "".
type holdersKey struct {
	model       string
	otherRegion bool
}

// placeView caches the backend servers of one place.
type placeView struct {
	refreshedAt  time.Time
	states       []*serverState
	holders      map[holdersKey]*holders
	missingSince map[string]time.Time // since when a model has had no holder
}

func (t *serverTable) state(vm string) *serverState {
	state := t.byVM[vm]
	if state == nil {
		state = &serverState{cache: dispatch.PrefixCache{Index: &t.prefixIndex}}
		t.byVM[vm] = state
	}
	return state
}

// refreshedView returns the view of a place, refreshed if it is older than
// reportRefreshInterval.
func (c *callerHandler) refreshedView(place string, now time.Time) *placeView {
	table := &c.servers
	if table.views == nil {
		table.views = make(map[string]*placeView)
		table.byVM = make(map[string]*serverState)
	}
	view := table.views[place]
	if view == nil {
		view = &placeView{missingSince: make(map[string]time.Time)}
		table.views[place] = view
	}
	if view.refreshedAt.IsZero() || now.Sub(view.refreshedAt) >= reportRefreshInterval {
		view.refreshedAt = now
		c.refresh(view, c.Fleet.Servers(place))
	}
	return view
}

// refresh reads the reports of all backend servers of a place. The lists of
// holders are dropped only if one of them may have changed.
func (c *callerHandler) refresh(view *placeView, servers []backendServer) {
	changed := len(servers) != len(view.states)
	previous := view.states
	view.states = view.states[:0]
	for i, s := range servers {
		state := c.servers.state(s.VM().Name)
		state.otherRegion = !roster.SameRegion(c.Region, s.VM().Region)
		if state.update(s, c.FailureDomain) || i >= len(previous) || previous[i] != state {
			changed = true
		}
		view.states = append(view.states, state)
	}
	if changed || view.holders == nil {
		view.holders = make(map[holdersKey]*holders)
		c.servers.prune()
	}
}

const (
	totalCacheBlocks = 1 << 16 // prompt blocks remembered for all backend servers together
	minCacheBlocks   = 256     // per backend server
	maxCacheBlocks   = 4096
)

// prune removes backend servers that no place lists and that run no attempt, and
// divides the prompt block budget among the others.
func (t *serverTable) prune() {
	listed := make(map[*serverState]bool, len(t.byVM))
	for _, v := range t.views {
		for _, state := range v.states {
			listed[state] = true
		}
	}
	for vm, state := range t.byVM {
		if !listed[state] && state.inFlight == 0 {
			state.cache.Clear()
			delete(t.byVM, vm)
			continue
		}
		state.cache.Limit = max(min(totalCacheBlocks/len(t.byVM), maxCacheBlocks), minCacheBlocks)
	}
}

// update applies the last report of a backend server. It returns whether the lists
// of holders may have changed.
func (state *serverState) update(s backendServer, ownDomain string) bool {
	r, at := s.Report()
	id := [2]uint64{r.Incarnation, r.Sequence}
	ready := r.Ready && !r.Leaving
	if state.server == s && state.reportID == id && state.ready == ready {
		return false
	}
	changed := state.server != s || state.ready != ready || !sameSlice(state.replicas, r.Replicas)
	if state.reportID[0] != r.Incarnation {
		state.cache.Clear()
	}
	state.cache.Drop(r.CacheDropped)
	state.server = s
	state.vm = s.VM()
	state.ready = ready
	state.reportedLoad = r.EngineLoad + float64(r.Waiting)*defaultAnswerTokens
	state.loadMeasuredAt = at.Add(-r.LoadAge)
	state.reportID = id
	state.local = state.vm.FailureDomain == ownDomain
	if changed {
		state.setReplicas(r.Replicas)
	}
	return changed
}

func (state *serverState) setReplicas(list []bamboostep.Replica) {
	state.replicas = list
	state.resident = make(map[string]bool, len(list))
	for _, replica := range list {
		if replica.State == bamboostep.ReplicaResident {
			state.resident[replica.Name] = true
		}
	}
}

// sameSlice reports whether two slices share their memory. Reports with unchanged
// replicas share the slice, so this is a cheap test for equality.
func sameSlice(a, b []bamboostep.Replica) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// holdersOf returns the ready backend servers, of the own region or of the others,
// that have the model loaded.
func (v *placeView) holdersOf(model string, otherRegion bool) *holders {
	key := holdersKey{model, otherRegion}
	h := v.holders[key]
	if h != nil {
		return h
	}
	h = &holders{}
	for _, state := range v.states {
		if state.otherRegion == otherRegion && state.ready && (model == "" || state.resident[model]) {
			h.add(state, bamboostep.Candidate{VM: state.vm.Name, FailureDomain: state.vm.FailureDomain, Local: state.local})
		}
	}
	if len(h.states) > 0 {
		delete(v.missingSince, model)
	}
	v.holders[key] = h
	return h
}

func (h *holders) add(state *serverState, candidate bamboostep.Candidate) {
	h.states = append(h.states, state)
	h.candidates = append(h.candidates, candidate)
}

// update sets the fields of the candidates that change between choices. The prompt
// of j must have been matched against the prefix index before.
func (h *holders) update(j *job, now time.Time) {
	resident := h.adapterResidency(j.request.Adapter)
	for i, state := range h.states {
		candidate := &h.candidates[i]
		candidate.Resident = resident == nil || resident[i]
		candidate.InFlight = state.inFlight
		candidate.InFlightTokens = state.inFlightWork
		candidate.QueuedTokens = state.reportedLoad
		candidate.ReportAge = now.Sub(state.loadMeasuredAt)
		candidate.Suspects = state.inFlightSuspects
		candidate.CachedBlocks = state.cache.Matched()
	}
}

// adapterResidency returns for each holder whether it has the adapter loaded, or
// nil if no adapter is named.
func (h *holders) adapterResidency(adapter string) []bool {
	if adapter == "" {
		return nil
	}
	residency, ok := h.adapterResident[adapter]
	if ok {
		return residency
	}
	if h.adapterResident == nil {
		h.adapterResident = make(map[string][]bool)
	}
	residency = make([]bool, len(h.states))
	for i, state := range h.states {
		residency[i] = state.resident[adapter]
	}
	h.adapterResident[adapter] = residency
	return residency
}
