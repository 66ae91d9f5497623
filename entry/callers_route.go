package main

import (
	"context"
	"sync"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/dispatch"
)

// This file holds what an entry knows of each backend server (a lane), and the
// choice of one for an attempt.
//
// A choice looks only at the holders of the wanted model, which are listed once
// and kept until some report says otherwise. Reports are read at most every
// refreshTime: a backend server that stopped in the meantime refuses the offer,
// and the request goes elsewhere. What changes with every request, the entry's own
// attempts in flight, is always up to date.

const refreshTime = 20 * time.Millisecond

// lanes holds one lane for each backend server that this entry has seen.
type lanes struct {
	mu         sync.Mutex
	byVM       map[string]*lane
	views      map[string]*view       // by place
	candidates []bamboostep.Candidate // reused by every choice
	chosen     []*lane                // the same, index by index
	waits      map[waitKey]*dispatch.Wait
}

// lane is one backend server.
type lane struct {
	server    server
	vm        bamboostep.VM
	ready     bool
	reported  float64              // queue by the last report, tokens
	trueAt    time.Time            // when that was so
	replicas  []bamboostep.Replica // that resident was made from
	resident  map[string]bool      // models and adapters
	reportID  [2]uint64            // incarnation and sequence of the last report
	inFlight  int                  // this entry's own attempts
	work      float64              // their remaining work, tokens
	suspects  int                  // those that run alone
	cache     dispatch.PrefixCache
	candidate bamboostep.Candidate // the part that only reports change
}

// view is one place as of the last reading of reports.
type view struct {
	at      time.Time
	lanes   []*lane
	holders map[string][]*lane   // by model; those of services by ""
	missing map[string]time.Time // models that nobody held, and since when
}

func (l *lanes) lane(vm string) *lane {
	n := l.byVM[vm]
	if n == nil {
		n = &lane{}
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
	v.lanes = v.lanes[:0]
	for _, s := range servers {
		n := c.lanes.lane(s.VM().Name)
		v.lanes = append(v.lanes, n)
		if n.learn(s, c.FailureDomain) {
			changed = true
		}
	}
	if changed || v.holders == nil {
		v.holders = make(map[string][]*lane)
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
	n.candidate = bamboostep.Candidate{VM: n.vm.Name, FailureDomain: n.vm.FailureDomain, Local: n.vm.FailureDomain == ownDomain}
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

// holding returns the backend servers that can run a model now; the model of a
// service is "".
func (v *view) holding(model string) []*lane {
	list, ok := v.holders[model]
	if ok {
		return list
	}
	for _, n := range v.lanes {
		if n.ready && (model == "" || n.resident[model]) {
			list = append(list, n)
		}
	}
	if len(list) > 0 {
		delete(v.missing, model)
	}
	v.holders[model] = list
	return list
}

// choose picks a backend server for the next attempt of j and enters the attempt
// in its lane. It returns nil when there is none now.
func (c *callers) choose(j *job) *slot {
	now := c.Clock.Now()
	c.lanes.mu.Lock()
	defer c.lanes.mu.Unlock()
	c.gather(j, now)
	i, ok := c.pick(j, now)
	if !ok {
		return nil
	}
	return c.lanes.enter(c.lanes.chosen[i], &c.lanes.candidates[i], j, now)
}

func (c *callers) pick(j *job, now time.Time) (int, bool) {
	if j.verdict.Alone {
		return dispatch.PickSuspect(j.place, c.lanes.candidates)
	}
	return c.Router.Pick(now, j.request, c.lanes.candidates, c.Seed+c.picks.Add(1))
}

// gather lists the candidates for j.
func (c *callers) gather(j *job, now time.Time) {
	l := &c.lanes
	l.candidates = l.candidates[:0]
	l.chosen = l.chosen[:0]
	adapter := j.request.Adapter
	for _, n := range c.view(j.place, now).holding(j.model) {
		if j.course.Tried(n.vm.Name) {
			continue
		}
		l.chosen = append(l.chosen, n)
		l.candidates = append(l.candidates, n.candidate)
		at := &l.candidates[len(l.candidates)-1]
		at.Resident = adapter == "" || n.resident[adapter]
		at.InFlight = n.inFlight
		at.InFlightWork = n.work
		at.Reported = n.reported
		at.ReportAge = now.Sub(n.trueAt)
		at.Suspects = n.suspects
		at.CachedBlocks = n.cache.Match(j.request.Prefix)
	}
}

// slot is the place of one attempt in a lane.
type slot struct {
	lanes    *lanes
	lane     *lane
	server   server
	vm       string
	resident bool      // the adapter is there
	queue    float64   // estimated work before the attempt, tokens
	offered  time.Time // when it was entered
	left     float64   // remaining work of the attempt, tokens
	suspect  bool
}

// enter makes the slot of an attempt of j at the candidate.
func (l *lanes) enter(n *lane, at *bamboostep.Candidate, j *job, now time.Time) *slot {
	p := &slot{lanes: l, lane: n, server: n.server, vm: at.VM, resident: at.Resident,
		queue: dispatch.QueueTokens(at), offered: now, left: j.work, suspect: j.verdict.Alone}
	n.inFlight++
	n.work += j.work
	n.cache.Add(j.request.Prefix)
	if p.suspect {
		n.suspects++
	}
	return p
}

// progress takes generated tokens off the remaining work.
func (p *slot) progress(tokens int) {
	p.lanes.mu.Lock()
	defer p.lanes.mu.Unlock()
	done := min(float64(tokens), p.left)
	p.left -= done
	p.lane.work -= done
}

// leave takes the attempt out of its lane.
func (p *slot) leave() {
	p.lanes.mu.Lock()
	defer p.lanes.mu.Unlock()
	p.lane.inFlight--
	p.lane.work = max(p.lane.work-p.left, 0)
	if p.suspect {
		p.lane.suspects--
	}
}

const (
	leastPause = 10 * time.Millisecond // before all backend servers are tried again
	mostPause  = 200 * time.Millisecond

	restoreTime = 15 * time.Second // in which the only copy of a model, once lost, is back
)

// chooseWithin waits a while for a backend server. It returns nil when none came up
// or all queues are full.
func (c *callers) chooseWithin(ctx context.Context, j *job) *slot {
	for {
		if p := c.choose(j); p != nil {
			return p
		}
		now := c.Clock.Now()
		if j.course.Full() || !now.Before(c.waitEnd(j, now)) {
			return nil
		}
		j.course.Forget()
		pause := min(leastPause<<min(j.rounds, 8), mostPause)
		j.rounds++
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pause):
		}
	}
}

// waitEnd returns until when j may wait for a backend server. The wait counts from
// when the last one went, so in a long outage requests are refused at once. An
// answer that has begun cannot be refused any more, and waits for a lost model to be
// loaded again.
func (c *callers) waitEnd(j *job, now time.Time) time.Time {
	c.lanes.mu.Lock()
	defer c.lanes.mu.Unlock()
	v := c.view(j.place, now)
	if len(v.holding(j.model)) > 0 {
		return j.course.Deadline
	}
	since, known := v.missing[j.model]
	if !known {
		since = now
		v.missing[j.model] = now
	}
	if len(j.prior) > 0 {
		return since.Add(restoreTime)
	}
	return since.Add(c.Limits.NoServerWait)
}
