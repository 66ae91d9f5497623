package quota

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bamboostep/bamboostep/route"
	"github.com/bamboostep/bamboostep/timeline"
	"github.com/bamboostep/bamboostep/wire"
)

// Voter is a connection to a voter. *wire.Conn is one.
type Voter interface {
	Peer() wire.Hello
	Call(ctx context.Context, kind string, v, reply any) error
}

var _ Voter = (*wire.Conn)(nil)

// Meter is an entry's part: it admits requests by the quotas of their workspaces. Set the
// exported fields before the first use. A nil *Meter admits all.
type Meter struct {
	Voters   func() []Voter // those that are reached
	Entries  func() int     // that there are; 0 while not known
	Recorder *timeline.Recorder
	Metrics  *Metrics // may be nil

	mu      sync.Mutex
	known   map[Voter]*account
	alone   map[string]*bucket // of this entry's part, while it reaches no voter
	lost    bool               // it reaches none
	began   time.Time          // when Run was called
	reached time.Time          // when a voter was last there to ask
}

// account is what an entry and one voter know of each other.
type account struct {
	used    map[string]float64 // admitted, and not reported
	levels  map[string]bucket  // as the voter told them
	avoided time.Time          // until then; it did not answer
	heard   time.Time          // when it last answered
}

// Decision says whether a request is admitted.
type Decision struct {
	Admitted   bool
	RetryAfter time.Duration // when not
}

// Admit decides on a request that takes cost of its workspace's quota.
func (m *Meter) Admit(ctx context.Context, w *route.Workspace, cost float64) Decision {
	if m == nil || w == nil || w.Quota.PerSecond <= 0 {
		return Decision{Admitted: true}
	}
	d := m.decide(ctx, w, cost)
	m.Metrics.decided(w.Name, cost, d.Admitted)
	return d
}

func (m *Meter) decide(ctx context.Context, w *route.Workspace, cost float64) Decision {
	now := time.Now()
	if m.admitBySelf(now, w, cost) {
		return Decision{Admitted: true}
	}
	for _, c := range m.awaitVoters(ctx, now, w.Name) {
		call := takeCall{w.Name, cost, m.unreported(c, w.Name)}
		var reply takeReply
		if err := callWithin(ctx, c, takeTimeout, kindTake, call, &reply); err != nil {
			m.failed(ctx, c, map[string]float64{w.Name: call.Used}, time.Now())
			continue
		}
		m.noteTaken(c, w.Name, cost, reply, time.Now())
		return Decision{Admitted: reply.Taken, RetryAfter: time.Duration(reply.WaitMS) * time.Millisecond}
	}
	return m.admitAlone(now, w, cost)
}

// GiveBack returns the cost of a request that was admitted and has not run.
func (m *Meter) GiveBack(w *route.Workspace, cost float64) {
	if m == nil || w == nil || w.Quota.PerSecond <= 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	accounts := m.accounts()
	for _, a := range accounts {
		a.used[w.Name] -= cost
	}
	if b := m.alone[w.Name]; b != nil && len(accounts) == 0 {
		b.level += cost
	}
}

// accounts returns those of the voters that are reached. mu is held.
func (m *Meter) accounts() map[Voter]*account {
	conns := m.Voters()
	if m.known == nil {
		m.known = make(map[Voter]*account)
	}
	maps.DeleteFunc(m.known, func(c Voter, _ *account) bool { return !slices.Contains(conns, c) })
	for _, c := range conns {
		if m.known[c] == nil {
			m.known[c] = &account{used: make(map[string]float64), levels: make(map[string]bucket)}
		}
	}
	return m.known
}

// admitBySelf admits a request if every voter that has told of the bucket lately said
// that it is well filled. Where none has named it, it is taken to be full, as long as a
// voter would have been told by now that it is not.
func (m *Meter) admitBySelf(now time.Time, w *route.Workspace, cost float64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	accounts := m.accounts()
	heard := false
	least := w.Quota.Burst
	for _, a := range accounts {
		least = min(least, a.level(now, w))
		heard = heard || now.Sub(a.heard) < heardAge
	}
	if !heard || least-cost < reserveShare*w.Quota.Burst {
		return false
	}
	for _, a := range accounts {
		a.used[w.Name] += cost
	}
	return true
}

// level returns what is in the bucket of a workspace, as far as a voter has told.
func (a *account) level(now time.Time, w *route.Workspace) float64 {
	b, told := a.levels[w.Name]
	if !told || now.Sub(b.at) > viewAge {
		return w.Quota.Burst - a.used[w.Name]
	}
	b.fill(now, w.Quota.PerSecond, w.Quota.Burst)
	return b.level - a.used[w.Name]
}

// awaitVoters returns the voters to ask about a workspace. It waits for a moment if none
// has been reached since processes started or connections ended just now.
func (m *Meter) awaitVoters(ctx context.Context, now time.Time, workspace string) []Voter {
	until := now.Add(voterWait)
	for {
		list, since := m.order(now, workspace)
		if len(list) > 0 || !now.Before(until) || now.Sub(since) > startTime || ctx.Err() != nil {
			return list
		}
		time.Sleep(voterStep)
		now = time.Now()
	}
}

// order returns the voters to ask about a workspace, the first that of all entries, and
// since when it has been so if there are none.
func (m *Meter) order(now time.Time, workspace string) (list []Voter, since time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for c, a := range m.accounts() {
		if now.After(a.avoided) {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(a, b Voter) int {
		return cmp.Compare(turn(workspace, a.Peer().Name), turn(workspace, b.Peer().Name))
	})
	if len(list) > 0 {
		m.reached = now
	}
	return list, m.reached
}

// turn orders voters, for each workspace differently, and alike on all entries.
func turn(workspace, voter string) uint64 { return xxhash.Sum64String(workspace + "\x00" + voter) }

// unreported returns what a voter has not been told of a workspace, and counts it as told.
func (m *Meter) unreported(c Voter, workspace string) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.accounts()[c]
	if a == nil {
		return 0
	}
	used := a.used[workspace]
	delete(a.used, workspace)
	return used
}

// failed notes that a voter did not answer when it was told what was used, unless ctx had
// ended. It may have counted it; counted twice does less harm than not at all.
func (m *Meter) failed(ctx context.Context, c Voter, used map[string]float64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.known[c]
	if a == nil {
		return // the connection has ended, and its account with it
	}
	if ctx.Err() == nil {
		a.avoided = now.Add(avoidFor)
	}
	for workspace, n := range used {
		a.used[workspace] += n
	}
}

// noteTaken takes a voter's word on a request; the others are told of it.
func (m *Meter) noteTaken(c Voter, workspace string, cost float64, r takeReply, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for other, a := range m.accounts() {
		switch {
		case other == c:
			a.levels[workspace], a.heard = bucket{r.Level, now}, now
		case r.Taken:
			a.used[workspace] += cost
		}
	}
}

// admitAlone admits this entry's part of the rate.
func (m *Meter) admitAlone(now time.Time, w *route.Workspace, cost float64) Decision {
	m.mu.Lock()
	defer m.mu.Unlock()
	parts := float64(max(1, m.Entries()))
	perSecond, burst := w.Quota.PerSecond/parts, aloneShare*w.Quota.Burst/parts
	b := m.alone[w.Name]
	if b == nil {
		b = &bucket{at: m.began} // a restart fills nothing
		if m.alone == nil {
			m.alone = make(map[string]*bucket)
		}
		m.alone[w.Name] = b
	}
	b.fill(now, perSecond, max(burst, cost))
	if wait := b.wait(cost, perSecond); wait > 0 {
		return Decision{RetryAfter: wait}
	}
	b.level -= cost
	for _, a := range m.accounts() {
		a.used[w.Name] += cost
	}
	return Decision{Admitted: true}
}

// Run reports until ctx ends.
func (m *Meter) Run(ctx context.Context) error {
	m.mu.Lock()
	m.began = time.Now()
	m.reached = m.began
	m.mu.Unlock()
	t := time.NewTicker(reportInterval)
	defer t.Stop()
	for {
		m.reportAll(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

// reportAll tells each voter what it has not been told.
func (m *Meter) reportAll(ctx context.Context) {
	m.mu.Lock()
	calls := make(map[Voter]map[string]float64)
	for c, a := range m.accounts() {
		if len(a.used) > 0 {
			calls[c] = a.used
			a.used = make(map[string]float64)
		}
	}
	m.noteReach(len(m.known) == 0)
	m.mu.Unlock()
	for c, used := range calls {
		go m.report(ctx, c, used)
	}
}

// noteReach records when the last voter is lost and the first is reached again. mu is held.
func (m *Meter) noteReach(lost bool) {
	if lost == m.lost {
		return
	}
	m.lost = lost
	kind := "quotas_shared"
	if lost {
		kind = "quotas_alone"
	}
	m.Recorder.Record(timeline.Event{Kind: kind})
}

func (m *Meter) report(ctx context.Context, c Voter, used map[string]float64) {
	var reply reportReply
	err := callWithin(ctx, c, reportTimeout, kindReport, reportCall{used}, &reply)
	now := time.Now()
	if err != nil {
		m.failed(ctx, c, used, now)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.known[c]
	if a == nil {
		return // the connection has ended, and its account with it
	}
	a.heard = now
	for workspace, level := range reply.Levels {
		a.levels[workspace] = bucket{level, now}
	}
}

func callWithin(ctx context.Context, c Voter, d time.Duration, kind string, call, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	return c.Call(ctx, kind, call, reply)
}
