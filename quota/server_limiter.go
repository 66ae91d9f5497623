package quota

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/internal/timer"
	"github.com/bamboostep/bamboostep/timeline"
	"github.com/bamboostep/bamboostep/wire"
)

// The entry's side of the limits of backend servers.
//
// A limit holds for all entries together. An entry therefore asks the voters for each request
// that it wants to send to a backend server with a limit, and sends it once a majority grants
// it (see ballot). The whole limit is there for whichever entry has the demand.
//
// An entry that reaches no majority of the voters may be on the smaller side of a partition.
// It sends its part of the limit, so that both sides together stay close to it.

// ServerID identifies one start of one backend server.
type ServerID struct {
	Instance  string `msgpack:"instance"`
	StartedMS int64  `msgpack:"started_ms"` // start time, Unix milliseconds
}

// LimitVoter is a connection to a voter. It is implemented by *wire.Conn.
type LimitVoter interface {
	Voter
	Send(kind string, v any) error
	Err() error // why the connection ended, or nil while it stands
}

var _ LimitVoter = (*wire.Conn)(nil)

const (
	limitWatchTimeout = limitLongPoll + 1500*time.Millisecond // of one watch
	permitValidity    = 300 * time.Millisecond                // after a permit is due
	limitWatchRetry   = 2 * time.Second                       // after a watch that failed
)

// ServerLimiter keeps on an entry the limits that backend servers name in their answers. Set
// the exported fields before the first use. A nil *ServerLimiter knows no limits.
type ServerLimiter struct {
	Voters     func() (conns []LimitVoter, all int) // open connections, and the number of all voters
	EntryCount func() int                           // number of entries; 0 if it is not known yet
	Recorder   *timeline.Recorder
	Metrics    *ServerLimitMetrics // may be nil

	mu     sync.Mutex
	known  map[ServerID]*serverLimit
	synced map[string]bool // voters that have answered a watch, by name
	alone  bool            // the last ballot had no majority
}

// serverLimit is what an entry knows of the limit of one backend server.
type serverLimit struct {
	own        announcement             // by this entry's own answers
	reported   map[string]reportedLimit // by the voters, by their names
	standalone *bucket                  // this entry's part; nil while voters answer
	reserved   []time.Time              // due times of arrivals that voters granted; the past ones may be gone
	heardAt    time.Time                // last news of any kind
}

// reportedLimit is a limit in force at a voter.
type reportedLimit struct {
	limit   float64 // as last named
	rate    float64 // that may be sent
	namedAt time.Time
}

// known returns the limit in the form for messages.
func (r reportedLimit) known(s ServerID, now time.Time) knownRate {
	return knownRate{s, r.limit, r.rate, now.Sub(r.namedAt).Milliseconds()}
}

// Permit is the right to send a request to a backend server.
type Permit struct {
	Granted bool
	Due     time.Time     // if granted, when the request may be sent
	Wait    time.Duration // if not granted, until it could have been sent
	Rate    float64       // limit in requests per second; 0 if there is none

	server ServerID
	cost   float64
}

// Expired reports whether a permit has been due for so long that it must not be used any more: a
// process that was suspended would send at once all that came due meanwhile.
func (p Permit) Expired(now time.Time) bool {
	return p.Rate > 0 && now.Sub(p.Due) > permitValidity
}

// limited reports whether any source says that the limit is in force.
func (l *serverLimit) limited() bool { return l.own.active || len(l.reported) > 0 }

// newest returns the limit of the source that heard of it last.
func (l *serverLimit) newest() reportedLimit {
	var newest reportedLimit
	if l.own.active {
		newest = reportedLimit{l.own.limit, l.own.effectiveRate(), l.own.namedAt}
	}
	for _, r := range l.reported {
		if newest.namedAt.IsZero() || r.namedAt.After(newest.namedAt) {
			newest = r
		}
	}
	return newest
}

// Observe applies the limit that an answer names, or that it names none. The answer was
// received at now, to a request sent at sentAt. address is for the event log.
func (m *ServerLimiter) Observe(s ServerID, address string, l bamboostep.RequestLimit, sentAt, now time.Time) {
	if m == nil {
		return
	}
	m.mu.Lock()
	k := m.known[s]
	if k == nil && l.Named {
		k = m.add(s, now)
	}
	if k == nil {
		m.mu.Unlock()
		return
	}
	k.heardAt = now
	m.record(address, k.own.observe(l, sentAt, now), l)
	if !k.limited() && !l.Named {
		delete(m.known, s)
	}
	m.mu.Unlock()
	m.broadcast(kindLimitAnswer, limitAnswer{s, l.Named, l.Readable, l.PerSecond, now.Sub(sentAt).Milliseconds()})
}

// add adds a backend server and forgets those of which nothing was heard for limitRetention.
// mu is held.
func (m *ServerLimiter) add(s ServerID, now time.Time) *serverLimit {
	if m.known == nil {
		m.known = make(map[ServerID]*serverLimit)
	}
	maps.DeleteFunc(m.known, func(_ ServerID, k *serverLimit) bool { return now.Sub(k.heardAt) > limitRetention })
	k := &serverLimit{reported: make(map[string]reportedLimit), heardAt: now}
	m.known[s] = k
	return k
}

// record records an event for a change. mu is held.
func (m *ServerLimiter) record(address string, change announcementChange, l bamboostep.RequestLimit) {
	e := timeline.Event{VM: address}
	switch change {
	case limitUnchanged:
		return
	case limitNamed:
		e.Kind, e.Detail = "server_limit_named", fmt.Sprintf("%g requests a second", l.PerSecond)
	case limitUnreadable:
		e.Kind, e.Detail = "server_limit_unreadable", fmt.Sprintf("%q", l.Text)
	case limitLifted:
		e.Kind = "server_limit_lifted"
	}
	m.Recorder.Record(e)
	m.Metrics.countChange(e.Kind)
}

// Take asks for a permit to send a request to a backend server. cost is the number of arrivals
// that the request causes there. If the permit is not due within maxWait, it is not granted.
// Without a limit it is granted at once. Take may block, at most takeTimeout.
func (m *ServerLimiter) Take(ctx context.Context, s ServerID, cost float64, maxWait time.Duration) Permit {
	now := time.Now()
	known, limited := m.knownRate(s, now)
	if !limited {
		return Permit{Granted: true, Due: now}
	}
	p := m.takeLimited(ctx, now, known, cost, maxWait)
	p.server, p.cost = s, cost
	m.Metrics.countPermit(p)
	return p
}

func (m *ServerLimiter) takeLimited(ctx context.Context, now time.Time, known knownRate, cost float64, maxWait time.Duration) Permit {
	b := m.startBallot(limitTake{known, cost, maxWait.Milliseconds()}, now)
	outcome := b.await(ctx)
	s := known.Server
	now = time.Now()
	if ctx.Err() == nil {
		m.recordMode(outcome.kind == ballotUndecided)
	}
	var p Permit
	switch outcome.kind {
	case ballotUndecided:
		if ctx.Err() == nil {
			p = m.takeStandalone(now, s, cost, maxWait)
		}
	case ballotLifted:
		m.forget(s, b.startedAt)
		return Permit{Granted: true, Due: now}
	case ballotDenied:
		p = Permit{Wait: outcome.wait, Rate: known.PerSecond}
	case ballotGranted:
		p = Permit{Granted: true, Due: now.Add(outcome.wait), Rate: known.PerSecond}
		m.noteReserved(s, cost, p.Due, now)
	}
	b.settle(p.Granted)
	return p
}

// recordMode records an event when ballots no longer have a majority, and when they have one
// again.
func (m *ServerLimiter) recordMode(alone bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if alone == m.alone {
		return
	}
	m.alone = alone
	kind := "server_limits_shared"
	if alone {
		kind = "server_limits_alone"
	}
	m.Recorder.Record(timeline.Event{Kind: kind})
}

// noteReserved remembers a permit that the voters granted.
func (m *ServerLimiter) noteReserved(s ServerID, cost float64, due, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.known[s]
	if k == nil {
		return
	}
	k.standalone = nil
	k.reserved = slices.DeleteFunc(k.reserved, func(t time.Time) bool { return t.Before(now) })
	for range int(cost) {
		k.reserved = append(k.reserved, due)
	}
}

// newStandalone returns the bucket of this entry's part. It is empty, since the voters may have
// granted requests until now, and lacks what they have granted this entry ahead.
func (l *serverLimit) newStandalone(now time.Time) *bucket {
	return &bucket{level: -l.ahead(now), updatedAt: now}
}

// ahead returns the number of granted arrivals that are not yet due.
func (l *serverLimit) ahead(now time.Time) float64 {
	n := 0.0
	for _, due := range l.reserved {
		if due.After(now) {
			n++
		}
	}
	return n
}

// takeStandalone grants permits from this entry's part of the limit.
func (m *ServerLimiter) takeStandalone(now time.Time, s ServerID, cost float64, maxWait time.Duration) Permit {
	m.mu.Lock()
	k := m.known[s]
	if k == nil || !k.limited() {
		m.mu.Unlock()
		return Permit{Granted: true, Due: now}
	}
	if k.standalone == nil {
		k.standalone = k.newStandalone(now)
	}
	rate := k.newest().rate
	wait, granted := k.standalone.reserve(now, rate/float64(max(1, m.EntryCount())), cost, maxWait)
	m.mu.Unlock()
	if !granted {
		return Permit{Wait: wait, Rate: rate}
	}
	return Permit{Granted: true, Due: now.Add(wait), Rate: rate}
}

// Refund gives back a permit whose request was not sent.
func (m *ServerLimiter) Refund(p Permit) {
	if m != nil && p.Granted && p.Rate > 0 {
		m.broadcast(kindLimitUse, limitUse{p.server, -p.cost})
	}
}

// Charge counts an arrival at a backend server that could not wait for a permit.
func (m *ServerLimiter) Charge(s ServerID) {
	if _, limited := m.knownRate(s, time.Now()); limited {
		m.broadcast(kindLimitUse, limitUse{s, 1})
	}
}

// broadcast sends a note to all connected voters.
func (m *ServerLimiter) broadcast(kind string, v any) {
	conns, _ := m.Voters()
	for _, c := range conns {
		_ = c.Send(kind, v) // fails only if the connection has ended
	}
}

// knownRate returns what this entry knows of a limit, and false if it is not in force.
func (m *ServerLimiter) knownRate(s ServerID, now time.Time) (knownRate, bool) {
	if m == nil {
		return knownRate{}, false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.known[s]
	if k == nil || !k.limited() {
		return knownRate{}, false
	}
	n := k.newest()
	return n.known(s, now), true
}

// forget drops a limit that was no longer in force at a time, unless an answer has named it
// since.
func (m *ServerLimiter) forget(s ServerID, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if k := m.known[s]; k != nil && !k.own.namedAt.After(at) {
		delete(m.known, s)
	}
}

// Synced reports whether a majority of the voters has told this entry the limits in force.
// Before that, the entry may not know limits that others know.
func (m *ServerLimiter) Synced() bool {
	_, all := m.Voters()
	m.mu.Lock()
	defer m.mu.Unlock()
	return 2*len(m.synced) > all
}

// Watch hands in the limits that this entry knows to one voter and follows those in force there
// until the connection or ctx ends.
func (m *ServerLimiter) Watch(ctx context.Context, c LimitVoter) {
	_ = c.Send(kindLimitHandIn, limitHandIn{m.toHandIn(time.Now())}) // fails only if the connection has ended
	var version uint64
	for ctx.Err() == nil && c.Err() == nil {
		var reply limitWatchReply
		if err := callWithTimeout(ctx, c, limitWatchTimeout, kindLimitWatch, limitWatch{version}, &reply); err != nil {
			m.Recorder.Record(timeline.Event{Kind: "server_limits_not_followed", VM: c.Peer().Name, Detail: err.Error()})
			timer.Sleep(ctx, limitWatchRetry)
			continue
		}
		version = reply.Version
		m.apply(c.Peer().Name, reply.Known, time.Now())
	}
}

// toHandIn returns the limits in force as this entry knows them.
func (m *ServerLimiter) toHandIn(now time.Time) []handedInLimit {
	m.mu.Lock()
	defer m.mu.Unlock()
	var limits []handedInLimit
	for s, k := range m.known {
		if k.limited() {
			limits = append(limits, handedInLimit{k.newest().known(s, now), k.ahead(now)})
		}
	}
	return limits
}

// apply replaces the limits in force at a voter.
func (m *ServerLimiter) apply(voter string, inForce []knownRate, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.synced == nil {
		m.synced = make(map[string]bool)
	}
	m.synced[voter] = true
	for _, k := range m.known {
		delete(k.reported, voter)
	}
	for _, r := range inForce {
		k := m.known[r.Server]
		if k == nil {
			k = m.add(r.Server, now)
		}
		k.heardAt = now
		k.reported[voter] = reportedLimit{r.Limit, r.PerSecond, now.Add(-time.Duration(r.NamedAgoMS) * time.Millisecond)}
	}
}
