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

const refreshTime = 20 * time.Millisecond

// lanes holds one lane for each backend server that this entry has seen.
type lanes struct {
	mu       sync.Mutex
	byVM     map[string]*lane
	views    map[string]*view // by place
	untried  holders          // reused by every choice of a request that has tried some
	waits    map[waitKey]*dispatch.Wait
	prefixes dispatch.PrefixIndex
}

// lane is one backend server. What every choice reads stands first, together.
type lane struct {
	inFlight int       // this entry's own attempts
	work     float64   // their remaining work, tokens
	suspects int       // those that run alone
	reported float64   // queue by the last report, tokens
	trueAt   time.Time // when that was so
	cache    dispatch.PrefixCache

	server    server
	vm        bamboostep.VM
	local     bool // in the entry's own failure domain
	elsewhere bool // of another region
	ready     bool
	replicas  []bamboostep.Replica // that resident was made from
	resident  map[string]bool      // models and adapters
	reportID  [2]uint64            // incarnation and sequence of the last report
}

// holders are backend servers that hold a model, as candidates.
type holders struct {
	lanes      []*lane
	candidates []bamboostep.Candidate // index by index
	resident   map[string][]bool      // by adapter, index by index
}

// holdersKey names the holders of one model in the own region, or elsewhere. The
// model of a service is "".
type holdersKey struct {
	model     string
	elsewhere bool
}

// view is one place as of the last reading of reports.
type view struct {
	at      time.Time
	lanes   []*lane
	holders map[holdersKey]*holders
	missing map[string]time.Time // models that nobody held, and since when
}

func (l *lanes) lane(vm string) *lane {
	n := l.byVM[vm]
	if n == nil {
		n = &lane{cache: dispatch.PrefixCache{Index: &l.prefixes}}
		l.byVM[vm] = n
	}
	return n
}

// view returns the place, with its reports read lately.
func (c *callers) view(place string, now time.Time) *view {
	l := &c.lanes
	if l.views == nil {
		l.views = make(map[string]*view)
		l.byVM = make(map[string]*lane)
	}
	v := l.views[place]
	if v == nil {
		v = &view{missing: make(map[string]time.Time)}
		l.views[place] = v
	}
	if v.at.IsZero() || now.Sub(v.at) >= refreshTime {
		v.at = now
		c.refresh(v, c.Fleet.Servers(place))
	}
	return v
}

// refresh reads the reports of a place. The lists of holders are made anew only if
// one of them may have changed.
func (c *callers) refresh(v *view, servers []server) {
	changed := len(servers) != len(v.lanes)
	before := v.lanes
	v.lanes = v.lanes[:0]
	for i, s := range servers {
		n := c.lanes.lane(s.VM().Name)
		n.elsewhere = !roster.SameRegion(c.Region, s.VM().Region)
		if n.learn(s, c.FailureDomain) || i >= len(before) || before[i] != n {
			changed = true
		}
		v.lanes = append(v.lanes, n)
	}
	if changed || v.holders == nil {
		v.holders = make(map[holdersKey]*holders)
		c.lanes.prune()
	}
}

const (
	allCacheBlocks   = 1 << 16 // prompt blocks remembered for all backend servers
	leastCacheBlocks = 256     // for each
	mostCacheBlocks  = 4096
)

// prune forgets backend servers that no place lists any more, and shares the
// memory of prompt blocks among the others.
func (l *lanes) prune() {
	listed := make(map[*lane]bool, len(l.byVM))
	for _, v := range l.views {
		for _, n := range v.lanes {
			listed[n] = true
		}
	}
	for vm, n := range l.byVM {
		if !listed[n] && n.inFlight == 0 {
			n.cache.Clear()
			delete(l.byVM, vm)
			continue
		}
		n.cache.Limit = max(min(allCacheBlocks/len(l.byVM), mostCacheBlocks), leastCacheBlocks)
	}
}

// learn takes in the last report of a backend server and reports whether it may
// hold other models than before.
func (n *lane) learn(s server, ownDomain string) bool {
	r, at := s.Report()
	id := [2]uint64{r.Incarnation, r.Sequence}
	ready := r.Ready && !r.Leaving
	if n.server == s && n.reportID == id && n.ready == ready {
		return false
	}
	changed := n.server != s || n.ready != ready || !sameList(n.replicas, r.Replicas)
	if n.reportID[0] != r.Incarnation {
		n.cache.Clear()
	}
	n.cache.Drop(r.CacheDropped)
	n.server = s
	n.vm = s.VM()
	n.ready = ready
	n.reported = r.EngineLoad + float64(r.Waiting)*defaultAnswerTokens
	n.trueAt = at.Add(-r.LoadAge)
	n.reportID = id
	n.local = n.vm.FailureDomain == ownDomain
	if changed {
		n.learnReplicas(r.Replicas)
	}
	return changed
}

func (n *lane) learnReplicas(list []bamboostep.Replica) {
	n.replicas = list
	n.resident = make(map[string]bool, len(list))
	for _, p := range list {
		if p.State == bamboostep.ReplicaResident {
			n.resident[p.Name] = true
		}
	}
}

// sameList reports whether two lists are the same piece of memory. Reports that
// carry the same replicas share them.
func sameList(a, b []bamboostep.Replica) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// holding returns the backend servers of the own region, or those elsewhere, that can
// run a model now.
func (v *view) holding(model string, elsewhere bool) *holders {
	key := holdersKey{model, elsewhere}
	h := v.holders[key]
	if h != nil {
		return h
	}
	h = &holders{}
	for _, n := range v.lanes {
		if n.elsewhere == elsewhere && n.ready && (model == "" || n.resident[model]) {
			h.add(n, bamboostep.Candidate{VM: n.vm.Name, FailureDomain: n.vm.FailureDomain, Local: n.local})
		}
	}
	if len(h.lanes) > 0 {
		delete(v.missing, model)
	}
	v.holders[key] = h
	return h
}

func (h *holders) add(n *lane, c bamboostep.Candidate) {
	h.lanes = append(h.lanes, n)
	h.candidates = append(h.candidates, c)
}

// update sets what a choice for j reads and may have changed since the last one. The
// prompt of j has been compared with all caches.
func (h *holders) update(j *job, now time.Time) {
	resident := h.residents(j.request.Adapter)
	for i, n := range h.lanes {
		at := &h.candidates[i]
		at.Resident = resident == nil || resident[i]
		at.InFlight = n.inFlight
		at.InFlightWork = n.work
		at.Reported = n.reported
		at.ReportAge = now.Sub(n.trueAt)
		at.Suspects = n.suspects
		at.CachedBlocks = n.cache.Matched()
	}
}

// residents returns which holders have the adapter, or nil when none is named.
func (h *holders) residents(adapter string) []bool {
	if adapter == "" {
		return nil
	}
	list, ok := h.resident[adapter]
	if ok {
		return list
	}
	if h.resident == nil {
		h.resident = make(map[string][]bool)
	}
	list = make([]bool, len(h.lanes))
	for i, n := range h.lanes {
		list[i] = n.resident[adapter]
	}
	h.resident[adapter] = list
	return list
}
