package main

import (
	"sync"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/dispatch"
	"github.com/bamboostep/bamboostep/roster"
)

// This file holds what an entry knows of each backend server (a lane).
//
// A choice looks only at the holders of the wanted model. They are listed once, as
// candidates, and kept until some report says otherwise; a choice only sets what
// has changed since the last one. Reports are read at most every
// refreshTime: a backend server that stopped in the meantime refuses the offer,
// and the request goes elsewhere. What changes with every request, the entry's own
// attempts in flight, is always up to date.

const reportRefreshInterval = 20 * time.Millisecond

// lanes holds one lane for each backend server that this entry has seen.
type serverTable struct {
	mu             sync.Mutex
	byVM           map[string]*serverState
	views          map[string]*placeView // by place
	untried        holders               // reused by every choice of a request that has tried some
	waitPredictors map[waitKey]*dispatch.Wait
	prefixIndex    dispatch.PrefixIndex
}

// lane is one backend server. What every choice reads stands first, together.
type serverState struct {
	inFlight         int       // this entry's own attempts
	inFlightWork     float64   // their remaining work, tokens
	inFlightSuspects int       // those that run alone
	reportedLoad     float64   // queue by the last report, tokens
	loadMeasuredAt   time.Time // when that was so
	cache            dispatch.PrefixCache

	server      backendServer
	vm          bamboostep.VM
	local       bool // in the entry's own failure domain
	otherRegion bool // of another region
	ready       bool
	replicas    []bamboostep.Replica // that resident was made from
	resident    map[string]bool      // models and adapters
	reportID    [2]uint64            // incarnation and sequence of the last report
}

// holders are backend servers that hold a model, as candidates.
type holders struct {
	states          []*serverState
	candidates      []bamboostep.Candidate // index by index
	adapterResident map[string][]bool      // by adapter, index by index
}

// holdersKey names the holders of one model in the own region, or elsewhere. The
// model of a service is "".
type holdersKey struct {
	model       string
	otherRegion bool
}

// view is one place as of the last reading of reports.
type placeView struct {
	refreshedAt  time.Time
	states       []*serverState
	holders      map[holdersKey]*holders
	missingSince map[string]time.Time // models that nobody held, and since when
}

func (l *serverTable) state(vm string) *serverState {
	state := l.byVM[vm]
	if state == nil {
		state = &serverState{cache: dispatch.PrefixCache{Index: &l.prefixIndex}}
		l.byVM[vm] = state
	}
	return state
}

// view returns the place, with its reports read lately.
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

// refresh reads the reports of a place. The lists of holders are made anew only if
// one of them may have changed.
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
	totalCacheBlocks = 1 << 16 // prompt blocks remembered for all backend servers
	minCacheBlocks   = 256     // for each
	maxCacheBlocks   = 4096
)

// prune forgets backend servers that no place lists any more, and shares the
// memory of prompt blocks among the others.
func (l *serverTable) prune() {
	listed := make(map[*serverState]bool, len(l.byVM))
	for _, v := range l.views {
		for _, state := range v.states {
			listed[state] = true
		}
	}
	for vm, state := range l.byVM {
		if !listed[state] && state.inFlight == 0 {
			state.cache.Clear()
			delete(l.byVM, vm)
			continue
		}
		state.cache.Limit = max(min(totalCacheBlocks/len(l.byVM), maxCacheBlocks), minCacheBlocks)
	}
}

// learn takes in the last report of a backend server and reports whether it may
// hold other models than before.
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

// sameList reports whether two lists are the same piece of memory. Reports that
// carry the same replicas share them.
func sameSlice(a, b []bamboostep.Replica) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// holding returns the backend servers of the own region, or those elsewhere, that can
// run a model now.
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

// update sets what a choice for j reads and may have changed since the last one. The
// prompt of j has been compared with all caches.
func (h *holders) update(j *job, now time.Time) {
	resident := h.adapterResidency(j.request.Adapter)
	for i, state := range h.states {
		candidate := &h.candidates[i]
		candidate.Resident = resident == nil || resident[i]
		candidate.InFlight = state.inFlight
		candidate.InFlightWork = state.inFlightWork
		candidate.Reported = state.reportedLoad
		candidate.ReportAge = now.Sub(state.loadMeasuredAt)
		candidate.Suspects = state.inFlightSuspects
		candidate.CachedBlocks = state.cache.Matched()
	}
}

// residents returns which holders have the adapter, or nil when none is named.
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
