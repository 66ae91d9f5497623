package quota

import (
	"sync"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/wire"
)

// The voter's side of the limits of backend servers: it knows the limits in force, keeps a
// token bucket for each, and hands out the times at which entries may send.
//
// Nothing is kept on disk. A voter that has just started takes the limits over from the
// entries, which hand in what they know when they connect and with each take. Its buckets
// start empty, since what was used before is not known.

const (
	kindLimitTake    = "server_limit.take"    // entry to voter: a limitTake, answered by a limitTakeReply
	kindLimitAnswer  = "server_limit.answer"  // entry to voter: a limitAnswer; no reply
	kindLimitUse     = "server_limit.use"     // entry to voter: a limitUse; no reply
	kindLimitHandIn  = "server_limit.hand_in" // entry to voter: a limitHandIn; no reply
	kindLimitWatch   = "server_limit.watch"   // entry to voter: a limitWatch, answered by a limitWatchReply; a long poll
	limitLongPoll    = 10 * time.Second       // a watch without changes is answered after this time
	limitRetention   = 10 * time.Minute       // a limit that nobody mentions is forgotten after this time
	limitBurstPeriod = 0.25                   // seconds; a bucket saves up what the limit yields in it, but at least one request
	namingSlack      = 500 * time.Millisecond // error of the time at which another process says that a limit was named
	limitQueue       = time.Second            // time ahead for which requests are admitted, see maxLimitQueue
	longLimitQueue   = 3 * time.Second        // the same, if the limit allows less than one request in limitQueue
)

// knownRate is a limit in force.
type knownRate struct {
	Server     ServerID `msgpack:"server"`
	Limit      float64  `msgpack:"limit"`        // requests per second, as last named
	PerSecond  float64  `msgpack:"per_second"`   // requests per second that may be sent; differs from Limit while that is raised or lifted
	NamedAgoMS int64    `msgpack:"named_ago_ms"` // time since an answer last named it
}

// limitTake asks when one request may be sent.
type limitTake struct {
	Known     knownRate `msgpack:"known"` // as the entry knows it
	Cost      float64   `msgpack:"cost"`  // arrivals at the backend server that the request causes
	MaxWaitMS int64     `msgpack:"max_wait_ms"`
}

// limitTakeReply answers a limitTake.
type limitTakeReply struct {
	Lifted  bool    `msgpack:"lifted"` // the limit is no longer in force
	Granted bool    `msgpack:"granted"`
	WaitMS  float64 `msgpack:"wait_ms"` // until the request may be sent, or if not granted, until it could be
}

// limitAnswer is what one answer said of a limit.
type limitAnswer struct {
	Server    ServerID `msgpack:"server"`
	Named     bool     `msgpack:"named"`
	Readable  bool     `msgpack:"readable"`
	PerSecond float64  `msgpack:"per_second"`
	SentAgoMS int64    `msgpack:"sent_ago_ms"` // time since the answered request was sent
}

// limitUse reports arrivals that another voter or nobody has granted. The cost is negative for
// arrivals that were granted and did not happen.
type limitUse struct {
	Server ServerID `msgpack:"server"`
	Cost   float64  `msgpack:"cost"`
}

// limitHandIn holds the limits that an entry knows when it connects.
type limitHandIn struct {
	Limits []handedInLimit `msgpack:"limits"`
}

// handedInLimit is a limit with what the entry has permits for that are not yet due. A voter
// that has just started, or was cut off, has not heard of them.
type handedInLimit struct {
	Known knownRate `msgpack:"known"`
	Ahead float64   `msgpack:"ahead"` // arrivals to come
}

// limitWatch asks for the limits in force once their version differs.
type limitWatch struct {
	Version uint64 `msgpack:"version"` // 0 at first
}

// limitWatchReply holds all limits in force.
type limitWatchReply struct {
	Version uint64      `msgpack:"version"`
	Known   []knownRate `msgpack:"known"`
}

// ServerLimitCoordinator keeps the limits of backend servers on a voter. Call Register before
// the first use.
type ServerLimitCoordinator struct {
	mu      sync.Mutex
	servers map[ServerID]*limitedServer
	version uint64        // of the limits in force
	changed chan struct{} // closed and replaced when version changes
}

// limitedServer is a backend server that names a limit or has named one.
type limitedServer struct {
	announcement
	bucket      bucket
	liftedAt    time.Time // if not active
	mentionedAt time.Time // last message about it
}

// Register adds the message handlers to mux.
func (c *ServerLimitCoordinator) Register(mux *wire.Mux) {
	c.init()
	mux.On(kindLimitTake, func(m *wire.Message) {
		handle(m, func(call limitTake) { _ = m.Reply(c.take(time.Now(), call)) }) // on an error the entry asks another voter
	})
	mux.On(kindLimitAnswer, func(m *wire.Message) { handle(m, func(note limitAnswer) { c.answer(time.Now(), note) }) })
	mux.On(kindLimitUse, func(m *wire.Message) { handle(m, func(note limitUse) { c.use(time.Now(), note) }) })
	mux.On(kindLimitHandIn, func(m *wire.Message) { handle(m, func(note limitHandIn) { c.handIn(time.Now(), note) }) })
	mux.On(kindLimitWatch, func(m *wire.Message) { go c.handleWatch(m) })
}

// handle decodes a message and calls f with it. If that fails, wire has closed the connection
// and counts the bad frame.
func handle[T any](m *wire.Message, f func(T)) {
	var v T
	if m.Decode(&v) == nil {
		f(v)
	}
}

func (c *ServerLimitCoordinator) handleWatch(m *wire.Message) {
	handle(m, func(call limitWatch) {
		reply, changed := c.inForce(time.Now())
		if reply.Version == call.Version {
			if !m.Await(changed, limitLongPoll) {
				return
			}
			reply, _ = c.inForce(time.Now())
		}
		_ = m.Reply(reply) // on an error the entry watches again
	})
}

// Rate returns the limit of a backend server in requests per second, and false if none is in
// force.
func (c *ServerLimitCoordinator) Rate(id ServerID) (float64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers[id]
	if s == nil || !s.active {
		return 0, false
	}
	return s.effectiveRate(), true
}

func (c *ServerLimitCoordinator) init() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servers = make(map[ServerID]*limitedServer)
	c.version = 1
	c.changed = make(chan struct{})
}

// inForce returns the limits in force and a channel that is closed when they change.
func (c *ServerLimitCoordinator) inForce(now time.Time) (limitWatchReply, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	reply := limitWatchReply{Version: c.version}
	for id, s := range c.servers {
		if s.active {
			reply.Known = append(reply.Known, knownRate{id, s.limit, s.effectiveRate(), now.Sub(s.namedAt).Milliseconds()})
		}
	}
	return reply, c.changed
}

// notify announces a change of the limits in force. mu is held.
func (c *ServerLimitCoordinator) notify() {
	c.version++
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *ServerLimitCoordinator) take(now time.Time, call limitTake) limitTakeReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.adopt(now, call.Known)
	if !s.active {
		return limitTakeReply{Lifted: true}
	}
	wait, granted := s.bucket.reserve(now, s.effectiveRate(), call.Cost, time.Duration(call.MaxWaitMS)*time.Millisecond)
	return limitTakeReply{Granted: granted, WaitMS: wait.Seconds() * 1000}
}

// adopt returns the state of a backend server. It first applies what an entry knows, if that
// is newer and puts the limit in force or lowers it. An entry may be behind in raising its rate,
// so a limit in force is compared with the limit that the entry knows. mu is held.
func (c *ServerLimitCoordinator) adopt(now time.Time, known knownRate) *limitedServer {
	namedAt := now.Add(-time.Duration(known.NamedAgoMS) * time.Millisecond)
	s := c.servers[known.Server]
	if s == nil {
		s = c.add(now, known.Server)
	}
	s.mentionedAt = now
	var rate float64
	switch {
	case !s.active && namedAt.After(s.liftedAt.Add(namingSlack)):
		rate = known.PerSecond
	case s.active && namedAt.After(s.namedAt.Add(namingSlack)) && known.Limit < s.rate:
		rate = known.Limit
	default:
		return s
	}
	s.change(now, func() { s.announcement = announcement{active: true, limit: known.Limit, rate: rate, namedAt: namedAt} })
	c.notify()
	return s
}

// add adds a backend server and forgets those that nobody has mentioned for limitRetention.
// mu is held.
func (c *ServerLimitCoordinator) add(now time.Time, id ServerID) *limitedServer {
	for old, s := range c.servers {
		if now.Sub(s.mentionedAt) > limitRetention {
			delete(c.servers, old)
		}
	}
	s := &limitedServer{bucket: bucket{updatedAt: now}, mentionedAt: now}
	c.servers[id] = s
	return s
}

// change calls f, which changes the announcement, and brings the bucket up to date before
// and in line with the new rate after that. A limit that comes into force starts with an empty
// bucket.
func (s *limitedServer) change(now time.Time, f func()) {
	was, before := s.active, s.effectiveRate()
	if was {
		s.bucket.refill(now, before, limitBurst(before))
	}
	f()
	if !was {
		s.bucket = bucket{updatedAt: now}
	}
	s.bucket.limitDebt(s.effectiveRate())
}

func (c *ServerLimitCoordinator) answer(now time.Time, note limitAnswer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers[note.Server]
	if s == nil {
		if !note.Named || !note.Readable {
			return
		}
		s = c.add(now, note.Server)
	}
	s.mentionedAt = now
	was, before := s.active, s.effectiveRate()
	l := bamboostep.RequestLimit{Named: note.Named, Readable: note.Readable, PerSecond: note.PerSecond}
	s.change(now, func() { s.observe(l, now.Add(-time.Duration(note.SentAgoMS)*time.Millisecond), now) })
	if was && !s.active {
		s.liftedAt = now
	}
	if was != s.active || before != s.effectiveRate() {
		c.notify()
	}
}

func (c *ServerLimitCoordinator) use(now time.Time, note limitUse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers[note.Server]
	if s == nil || !s.active {
		return
	}
	s.mentionedAt = now
	s.charge(now, note.Cost)
}

// charge takes a cost from the bucket, or gives it back if it is negative.
func (s *limitedServer) charge(now time.Time, cost float64) {
	rate := s.effectiveRate()
	s.bucket.refill(now, rate, limitBurst(rate))
	s.bucket.level = min(s.bucket.level-cost, limitBurst(rate))
	s.bucket.limitDebt(rate)
}

func (c *ServerLimitCoordinator) handIn(now time.Time, note limitHandIn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range note.Limits {
		c.adopt(now, l.Known).charge(now, l.Ahead)
	}
}

// limitBurst returns the capacity of the bucket of a limit.
func limitBurst(perSecond float64) float64 { return max(1, limitBurstPeriod*perSecond) }

// maxLimitQueue returns the longest time ahead for which requests are admitted. Those that wait
// are unknown to a voter that restarts or takes over, and arrive beside those that it admits,
// so they must be few; but there is room for one.
func maxLimitQueue(perSecond float64) time.Duration {
	return max(limitQueue, min(longLimitQueue, time.Duration(float64(time.Second)/perSecond)))
}

// reserve takes cost from the bucket of a limit if its level allows one request within maxWait
// and maxLimitQueue, and returns how long that takes. Otherwise it takes nothing, and returns
// how long it would take. Reservations are first come, first served: each later one waits for
// the level to recover from the earlier ones.
func (b *bucket) reserve(now time.Time, perSecond, cost float64, maxWait time.Duration) (time.Duration, bool) {
	burst := limitBurst(perSecond)
	b.refill(now, perSecond, burst)
	wait := b.timeUntil(min(cost, burst), perSecond)
	if wait > min(maxWait, maxLimitQueue(perSecond)) {
		return wait, false
	}
	b.level -= cost
	return wait, true
}

// limitDebt raises a level that is below what the rate makes up for within maxLimitQueue.
func (b *bucket) limitDebt(perSecond float64) {
	b.level = max(b.level, -perSecond*maxLimitQueue(perSecond).Seconds()-limitBurst(perSecond))
}
