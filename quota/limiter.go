package quota

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bamboostep/bamboostep/route"
	"github.com/bamboostep/bamboostep/timeline"
	"github.com/bamboostep/bamboostep/wire"
)

// Voter is a connection to a voter. It is implemented by *wire.Conn.
type Voter interface {
	Peer() wire.Hello
	Call(ctx context.Context, kind string, v, reply any) error
}

var _ Voter = (*wire.Conn)(nil)

// Limiter admits requests on an entry by the quotas of their workspaces. Set the exported
// fields before the first use. A nil *Limiter admits all requests.
type Limiter struct {
	Voters     func() []Voter // open connections to voters
	EntryCount func() int     // number of entries; 0 if it is not known yet
	Name       string         // of the entry, as voters know it
	Span       time.Duration  // in which quotas are bounded; 0 for a default
	Recorder   *timeline.Recorder
	Metrics    *Metrics // may be nil

	mu           sync.Mutex
	accounts     map[Voter]*voterAccount // of the connections that Voters returned last
	standalone   map[string]*ownBucket   // by workspace; used while no voter can be asked
	shared       map[string]sharedUse    // by workspace, as voters last told
	admitted     *history                // what this entry admitted; nil before the first use
	mostEntries  bucket                  // level: the largest number of entries of the last span
	disconnected bool                    // no voter was connected at the last report
	startedAt    time.Time               // when Run was called
	lastReached  time.Time               // when a voter was last available to ask
}

// voterAccount is the state that an entry keeps for one voter connection.
type voterAccount struct {
	pending    map[string]float64 // admitted but not yet reported, by workspace; negative after refunds
	levels     map[string]bucket  // as last reported by the voter, by workspace
	avoidUntil time.Time          // the voter is not asked until then, after a failed call
	lastReply  time.Time
	past       *usageReport // what was admitted before the connection, until the voter has been told
	pastAt     time.Time    // when past was taken
}

// Decision says whether a request is admitted.
type Decision struct {
	Admitted   bool
	RetryAfter time.Duration // if not admitted
}

// Admit decides whether a request may run that takes cost from the quota of its workspace. It
// may block while it connects to or asks voters, at most voterConnectTimeout and
// takeTimeout for each voter.
func (m *Limiter) Admit(ctx context.Context, w *route.Workspace, cost float64) Decision {
	if m == nil || w == nil || w.Quota.PerSecond <= 0 {
		return Decision{Admitted: true}
	}
	d := m.decide(ctx, w, cost)
	m.Metrics.countDecision(w.Name, cost, d.Admitted)
	return d
}

func (m *Limiter) decide(ctx context.Context, w *route.Workspace, cost float64) Decision {
	now := time.Now()
	if m.admitLocally(now, w, cost) {
		return Decision{Admitted: true}
	}
	for _, c := range m.awaitVoters(ctx, now, w.Name) {
		call := takeRequest{w.Name, cost, m.takePending(c, w.Name)}
		var reply takeReply
		if err := callWithTimeout(ctx, c, takeTimeout, kindTake, call, &reply); err != nil {
			m.noteCallFailure(ctx, c, map[string]float64{w.Name: call.Used}, time.Now())
			continue
		}
		m.applyTakeReply(c, w.Name, cost, reply, time.Now())
		return Decision{Admitted: reply.Taken, RetryAfter: time.Duration(reply.WaitMS) * time.Millisecond}
	}
	return m.admitStandalone(now, w, cost)
}

// Refund refunds the cost of a request that was admitted but did not run.
func (m *Limiter) Refund(w *route.Workspace, cost float64) {
	if m == nil || w == nil || w.Quota.PerSecond <= 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	heard := false
	for _, a := range m.syncAccounts() {
		a.pending[w.Name] -= cost
		heard = heard || now.Sub(a.lastReply) < voterMaxSilence
	}
	m.history(now).add(now, w.Name, -cost)
	if b := m.standalone[w.Name]; b != nil && !heard {
		b.level += cost
	}
}

// syncAccounts adds accounts for new connections, removes those of ended ones and returns
// all. mu is held.
func (m *Limiter) syncAccounts() map[Voter]*voterAccount {
	conns := m.Voters()
	if m.accounts == nil {
		m.accounts = make(map[Voter]*voterAccount)
	}
	maps.DeleteFunc(m.accounts, func(c Voter, _ *voterAccount) bool { return !slices.Contains(conns, c) })
	for _, c := range conns {
		if m.accounts[c] == nil {
			now := time.Now()
			a := &voterAccount{pending: make(map[string]float64), levels: make(map[string]bucket), pastAt: now}
			past := m.history(now).snapshot(now)
			a.past = &past
			m.accounts[c] = a
		}
	}
	return m.accounts
}

// history returns what the entry admitted. mu is held.
func (m *Limiter) history(now time.Time) *history {
	if m.admitted == nil {
		if !m.startedAt.IsZero() {
			now = m.startedAt
		}
		m.admitted = newHistory(m.Span, now)
	}
	return m.admitted
}

// charge counts what was admitted, to be reported to all voters but except. mu is held.
func (m *Limiter) charge(now time.Time, workspace string, cost float64, except Voter) {
	for c, a := range m.syncAccounts() {
		if c != except {
			a.pending[workspace] += cost
		}
	}
	m.history(now).add(now, workspace, cost)
}

// admitLocally admits a request without asking a voter if, at every voter, the estimated level
// of the bucket stays at or above localAdmitShare of the burst. If no voter has replied
// within voterMaxSilence, it admits nothing, since reports may not reach the voters.
func (m *Limiter) admitLocally(now time.Time, w *route.Workspace, cost float64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	accounts := m.syncAccounts()
	recent := false
	level := w.Quota.Burst
	for _, a := range accounts {
		level = min(level, a.level(now, w, m.history(now).span()))
		recent = recent || now.Sub(a.lastReply) < voterMaxSilence
	}
	if !recent || level-cost < localAdmitShare*w.Quota.Burst {
		return false
	}
	m.charge(now, w.Name, cost, nil)
	return true
}

// level returns the estimated level of the bucket of a workspace at a voter: the level that
// it last reported, refilled to now, minus what has not been reported to it. A bucket
// without a recent level is assumed to be full, unless its last level was low and within a
// span: each of many entries would admit a request against a full bucket that is empty.
func (a *voterAccount) level(now time.Time, w *route.Workspace, span time.Duration) float64 {
	b, known := a.levels[w.Name]
	age := now.Sub(b.updatedAt)
	switch {
	case known && age <= levelMaxAge:
		b.refill(now, w.Quota.PerSecond, w.Quota.Burst)
	case !known || age > span || b.level >= localAdmitShare*w.Quota.Burst:
		b.level = w.Quota.Burst
	}
	return b.level - a.pending[w.Name]
}

// awaitVoters returns the voters to ask about a workspace, in order. If there are none, it
// waits up to voterConnectTimeout for one, unless there have been none for longer than
// startupGrace.
func (m *Limiter) awaitVoters(ctx context.Context, now time.Time, workspace string) []Voter {
	until := now.Add(voterConnectTimeout)
	for {
		list, lastReached := m.votersFor(now, workspace)
		if len(list) > 0 || !now.Before(until) || now.Sub(lastReached) > startupGrace || ctx.Err() != nil {
			return list
		}
		time.Sleep(voterPollInterval)
		now = time.Now()
	}
}

// votersFor returns the voters to ask about a workspace, in the order that all entries use,
// and the time when there last was one. Voters to avoid are left out.
func (m *Limiter) votersFor(now time.Time, workspace string) (list []Voter, lastReached time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for c, a := range m.syncAccounts() {
		if now.After(a.avoidUntil) {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(a, b Voter) int {
		return cmp.Compare(voterRank(workspace, a.Peer().Name), voterRank(workspace, b.Peer().Name))
	})
	if len(list) > 0 {
		m.lastReached = now
	}
	return list, m.lastReached
}

// voterRank orders the voters of a workspace. The order is the same on all entries and
// differs between workspaces, which spreads the load.
func voterRank(workspace, voter string) uint64 { return xxhash.Sum64String(workspace + "\x00" + voter) }

// takePending returns what has not been reported to a voter for a workspace, and resets it.
func (m *Limiter) takePending(c Voter, workspace string) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.syncAccounts()[c]
	if a == nil {
		return 0
	}
	pending := a.pending[workspace]
	delete(a.pending, workspace)
	return pending
}

// noteCallFailure adds back what a failed call should have reported to a voter. The voter may
// have counted it already; counting it twice is less harmful than not counting it. It also
// avoids the voter for avoidDuration, unless the call failed because ctx ended.
func (m *Limiter) noteCallFailure(ctx context.Context, c Voter, used map[string]float64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.accounts[c]
	if a == nil {
		return // the connection has ended and its account was removed
	}
	if ctx.Err() == nil {
		a.avoidUntil = now.Add(avoidDuration)
	}
	for workspace, amount := range used {
		a.pending[workspace] += amount
	}
}

// applyTakeReply stores the level that a voter replied, and queues an admitted cost to be
// reported to the other voters.
func (m *Limiter) applyTakeReply(c Voter, workspace string, cost float64, r takeReply, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if a := m.syncAccounts()[c]; a != nil {
		a.levels[workspace], a.lastReply = bucket{r.Level, now}, now
	}
	m.noteLevel(now, workspace, r.Level)
	if r.Taken {
		m.charge(now, workspace, cost, c)
	}
}

// Run reports to the voters every reportInterval until ctx ends.
func (m *Limiter) Run(ctx context.Context) error {
	m.mu.Lock()
	m.startedAt = time.Now()
	m.lastReached = m.startedAt
	m.mu.Unlock()
	t := time.NewTicker(reportInterval)
	defer t.Stop()
	for {
		m.Report(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

// Report sends each voter what has not been reported to it. It does not wait for replies. Run
// calls it every reportInterval; call it besides when a voter has just been connected.
func (m *Limiter) Report(ctx context.Context) {
	m.mu.Lock()
	now := time.Now()
	calls := make(map[Voter]map[string]float64)
	pasts := make(map[Voter]usageReport)
	for c, a := range m.syncAccounts() {
		if a.past != nil {
			pasts[c] = m.pastOf(now, a)
			a.past = nil
		}
		if len(a.pending) > 0 {
			calls[c] = a.pending
			a.pending = make(map[string]float64)
		}
	}
	m.recordMode(len(m.accounts) == 0)
	m.mu.Unlock()
	for c, past := range pasts {
		go m.reportPast(ctx, c, past, now)
	}
	for c, used := range calls {
		go m.report(ctx, c, used)
	}
}

// pastOf completes the report of what was admitted before a connection. mu is held.
func (m *Limiter) pastOf(now time.Time, a *voterAccount) usageReport {
	r := *a.past
	r.Entry, r.Entries = m.Name, m.knownEntries(now)
	r.AgeMS += float64(now.Sub(a.pastAt)) / float64(time.Millisecond)
	return r
}

// knownEntries returns the largest number of entries of the last span. After a restart of
// voters, these know of few entries at first. mu is held.
func (m *Limiter) knownEntries(now time.Time) int {
	if n := float64(m.EntryCount()); n >= m.mostEntries.level || now.Sub(m.mostEntries.updatedAt) > m.history(now).span() {
		m.mostEntries = bucket{n, now}
	}
	return int(m.mostEntries.level)
}

// reportPast tells a voter what was admitted before the connection. If that fails, the next
// Report does it again.
func (m *Limiter) reportPast(ctx context.Context, c Voter, past usageReport, sentAt time.Time) {
	err := callWithTimeout(ctx, c, reportTimeout, kindUsage, past, &usageReply{})
	m.Recorder.Record(pastEvent(c.Peer().Name, past, err))
	if err == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if a := m.accounts[c]; a != nil {
		a.past, a.pastAt = &past, sentAt
	}
}

func pastEvent(voter string, past usageReport, err error) timeline.Event {
	e := timeline.Event{Kind: "quota_usage_told", VM: voter, Detail: fmt.Sprintf("%d workspaces, %.0f ms, %d entries", len(past.Used), past.KnownMS, past.Entries)}
	if err != nil {
		e.Kind, e.Detail = "quota_usage_not_told", err.Error()
	}
	return e
}

// recordMode records an event when the last voter connection is lost, and when the first one
// is open again. mu is held.
func (m *Limiter) recordMode(lost bool) {
	if lost == m.disconnected {
		return
	}
	m.disconnected = lost
	kind := "quotas_shared"
	if lost {
		kind = "quotas_alone"
	}
	m.Recorder.Record(timeline.Event{Kind: kind})
}

// report sends one report and stores the levels of the reply.
func (m *Limiter) report(ctx context.Context, c Voter, used map[string]float64) {
	var reply reportReply
	err := callWithTimeout(ctx, c, reportTimeout, kindReport, reportRequest{used}, &reply)
	now := time.Now()
	if err != nil {
		m.noteCallFailure(ctx, c, used, now)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.accounts[c]
	if a == nil {
		return // the connection has ended and its account was removed
	}
	a.lastReply = now
	for workspace, level := range reply.Levels {
		a.levels[workspace] = bucket{level, now}
		m.noteLevel(now, workspace, level)
	}
	for workspace, recent := range reply.Recent {
		m.noteRecent(now, workspace, recent)
	}
}

func callWithTimeout(ctx context.Context, c Voter, d time.Duration, kind string, call, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	return c.Call(ctx, kind, call, reply)
}
