package main

import (
	"context"
	"sync"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/dispatch"
)

// This file holds what an entry knows of each backend server from its own
// requests (a lane), and the choice of one for an attempt.
//
// The cost of a choice must not grow with anything but the number of candidates:
// what a report says is indexed once when it comes, and the list of candidates is
// kept from one choice to the next.

// lanes holds one lane for each backend server that this entry has used.
type lanes struct {
	mu         sync.Mutex
	byVM       map[string]*lane
	candidates []bamboostep.Candidate    // reused by every choice
	servers    []server                  // the same, index by index
	waits      map[string]*dispatch.Wait // by place
}

// lane is one backend server as this entry's own requests see it.
type lane struct {
	inFlight    int
	work        float64 // remaining work of the attempts in flight, tokens
	suspects    int
	incarnation uint64               // of the agent, at the last report
	sequence    uint64               // of the last report
	replicas    []bamboostep.Replica // that resident was made from
	resident    map[string]bool      // models and adapters
	cache       dispatch.PrefixCache
}

func (l *lanes) lane(vm string) *lane {
	n := l.byVM[vm]
	if n == nil {
		if l.byVM == nil {
			l.byVM = make(map[string]*lane)
		}
		n = &lane{}
		l.byVM[vm] = n
	}
	return n
}

// learn indexes a report that the lane has not seen. Reports come often and their
// replicas seldom change; reports that carry the same list share it.
func (l *lane) learn(r *bamboostep.Report) {
	if l.incarnation == r.Incarnation && l.sequence == r.Sequence {
		return
	}
	if l.incarnation != r.Incarnation {
		l.cache.Clear()
	}
	l.incarnation = r.Incarnation
	l.sequence = r.Sequence
	l.cache.Drop(r.CacheDropped)
	if sameList(l.replicas, r.Replicas) {
		return
	}
	l.replicas = r.Replicas
	l.resident = make(map[string]bool, len(r.Replicas))
	for _, p := range r.Replicas {
		if p.State == bamboostep.ReplicaResident {
			l.resident[p.Name] = true
		}
	}
}

// sameList reports whether two lists are the same piece of memory.
func sameList(a, b []bamboostep.Replica) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// choose picks a backend server for the next attempt of j and enters the attempt
// in its lane. It returns nil when there is none now.
func (c *callers) choose(j *job) *slot {
	now := c.Clock.Now()
	servers := c.Fleet.Servers(j.place)
	c.lanes.mu.Lock()
	defer c.lanes.mu.Unlock()
	c.gather(j, servers, now)
	i, ok := c.pick(j, now)
	if !ok {
		return nil
	}
	return c.lanes.enter(c.lanes.servers[i], &c.lanes.candidates[i], j, now)
}

func (c *callers) pick(j *job, now time.Time) (int, bool) {
	if j.verdict.Alone {
		return dispatch.PickSuspect(j.place, c.lanes.candidates)
	}
	return c.Router.Pick(now, j.request, c.lanes.candidates, c.Seed+c.picks.Add(1))
}

// gather lists the candidates for j.
func (c *callers) gather(j *job, servers []server, now time.Time) {
	l := &c.lanes
	l.candidates = l.candidates[:0]
	l.servers = l.servers[:0]
	for _, s := range servers {
		vm := s.VM()
		if j.course.Tried(vm.Name) {
			continue
		}
		r, at := s.Report()
		if !r.Ready || r.Leaving {
			continue
		}
		n := l.lane(vm.Name)
		n.learn(&r)
		if j.model != "" && !n.resident[j.model] {
			continue
		}
		l.servers = append(l.servers, s)
		l.candidates = append(l.candidates, bamboostep.Candidate{
			VM:            vm.Name,
			FailureDomain: vm.FailureDomain,
			Local:         vm.FailureDomain == c.FailureDomain,
			Resident:      j.request.Adapter == "" || n.resident[j.request.Adapter],
			InFlight:      n.inFlight,
			InFlightWork:  n.work,
			Reported:      r.EngineLoad,
			ReportAge:     now.Sub(at) + r.LoadAge,
			CachedBlocks:  n.cache.Match(j.request.Prefix),
			Suspects:      n.suspects,
		})
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
func (l *lanes) enter(s server, at *bamboostep.Candidate, j *job, now time.Time) *slot {
	n := l.lane(at.VM)
	p := &slot{lanes: l, lane: n, server: s, vm: at.VM, resident: at.Resident,
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
)

// chooseWithin waits for a backend server until the deadline. It returns nil when
// none came up.
func (c *callers) chooseWithin(ctx context.Context, j *job, deadline time.Time) *slot {
	for {
		if p := c.choose(j); p != nil {
			return p
		}
		j.course.Forget()
		pause := min(leastPause<<min(j.rounds, 8), mostPause)
		j.rounds++
		if !c.Clock.Now().Before(deadline) {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pause):
		}
	}
}
