package quota

import (
	"sync"
	"time"

	"github.com/bamboostep/bamboostep/route"
	"github.com/bamboostep/bamboostep/wire"
)

const (
	kindReport = "quota.report" // entry to voter: a reportRequest, answered by a reportReply
	kindTake   = "quota.take"   // entry to voter: a takeRequest, answered by a takeReply
	kindUsage  = "quota.usage"  // entry to voter: a usageReport, answered by an empty reply
)

// reportRequest holds what an entry has admitted since its last report, by workspace. An
// amount is negative if more was refunded than admitted.
type reportRequest struct {
	Used map[string]float64 `msgpack:"used"`
}

// reportReply holds the bucket levels of the workspaces that the report named.
type reportReply struct {
	Levels map[string]float64 `msgpack:"levels"`
	Recent map[string]float64 `msgpack:"recent,omitempty"` // what all entries used of these workspaces in the last span; left out until the voter has run for one
}

// takeRequest asks whether a request of a workspace may run.
type takeRequest struct {
	Workspace string  `msgpack:"workspace"`
	Cost      float64 `msgpack:"cost"`
	Used      float64 `msgpack:"used"` // admitted since the entry's last report, without this request
}

// takeReply answers a takeRequest.
type takeReply struct {
	Taken  bool    `msgpack:"taken"`
	Level  float64 `msgpack:"level"`
	WaitMS int64   `msgpack:"wait_ms"` // time until the level covers the cost, or the burst if that is less
}

// usageReply answers a usageReport.
type usageReply struct{}

// voterBucket is the bucket of a workspace on a voter.
type voterBucket struct {
	bucket
	credit float64 // level at the start of the voter as last worked out, which is part of the level
	told   int     // reports that credit takes into account
}

// BucketServer keeps the buckets of all workspaces on a voter. Set the exported fields before
// Register.
type BucketServer struct {
	Quota     func(workspace string) (route.Quota, bool) // returns the published quota
	StartFull bool                                       // buckets start full; set at the first start of the whole system, when nothing has been used
	Span      time.Duration                              // in which quotas are bounded; 0 for a default

	mu        sync.Mutex
	startedAt time.Time
	buckets   map[string]*voterBucket
	recent    *history // nil before the first use
	past      past
}

// Register adds the message handlers to mux. Buckets start to fill at this time.
func (c *BucketServer) Register(mux *wire.Mux) {
	c.startedAt = time.Now()
	mux.On(kindReport, c.handleReport)
	mux.On(kindTake, c.handleTake)
	mux.On(kindUsage, c.handleUsage)
}

func (c *BucketServer) handleReport(m *wire.Message) {
	var call reportRequest
	if m.Decode(&call) != nil {
		return // wire has closed the connection and counts the bad frame
	}
	_ = m.Reply(c.report(time.Now(), call)) // on an error the entry keeps the levels that it has
}

func (c *BucketServer) handleTake(m *wire.Message) {
	var call takeRequest
	if m.Decode(&call) != nil {
		return // wire has closed the connection and counts the bad frame
	}
	_ = m.Reply(c.take(time.Now(), call)) // on an error the entry asks another voter
}

func (c *BucketServer) handleUsage(m *wire.Message) {
	var call usageReport
	if m.Decode(&call) != nil {
		return // wire has closed the connection and counts the bad frame
	}
	c.addPast(time.Now(), call)
	_ = m.Reply(usageReply{}) // on an error the entry sends it again, and it is not counted twice
}

// addPast counts what an entry had admitted before it was connected to this voter.
func (c *BucketServer) addPast(now time.Time, call usageReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.StartFull {
		return
	}
	c.past.add(call, now.Sub(c.startedAt), c.history().span(), func(workspace string, amount float64) {
		if q, ok := c.Quota(workspace); ok && q.PerSecond > 0 {
			c.refilledBucket(now, workspace, q).level -= amount
		}
	})
}

func (c *BucketServer) report(now time.Time, call reportRequest) reportReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	reply := reportReply{Levels: make(map[string]float64, len(call.Used))}
	if c.knowsSpan(now) {
		reply.Recent = make(map[string]float64, len(call.Used))
	}
	for workspace, used := range call.Used {
		q, ok := c.Quota(workspace)
		if !ok || q.PerSecond <= 0 {
			continue
		}
		b := c.refilledBucket(now, workspace, q)
		b.level -= used
		c.history().add(now, workspace, used)
		reply.Levels[workspace] = b.level
		if reply.Recent != nil {
			reply.Recent[workspace] = c.history().sum(now, now.Add(-c.history().span()), workspace)
		}
	}
	return reply
}

// knowsSpan reports whether the voter has counted all usage of the last span. mu is held.
func (c *BucketServer) knowsSpan(now time.Time) bool {
	return c.StartFull || now.Sub(c.startedAt) >= c.history().span()
}

func (c *BucketServer) take(now time.Time, call takeRequest) takeReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	q, ok := c.Quota(call.Workspace)
	if !ok || q.PerSecond <= 0 {
		return takeReply{Taken: true}
	}
	b := c.refilledBucket(now, call.Workspace, q)
	b.level -= call.Used
	c.history().add(now, call.Workspace, call.Used)
	taken := b.level > 0
	if taken {
		b.level -= call.Cost
		c.history().add(now, call.Workspace, call.Cost)
	}
	return takeReply{Taken: taken, Level: b.level, WaitMS: b.timeUntil(min(call.Cost, q.Burst), q.PerSecond).Milliseconds()}
}

// history returns what entries used since the start of the voter. mu is held.
func (c *BucketServer) history() *history {
	if c.recent == nil {
		c.recent = newHistory(c.Span, c.startedAt)
	}
	return c.recent
}

// refilledBucket returns the bucket of a workspace, refilled to now. mu is held.
func (c *BucketServer) refilledBucket(now time.Time, workspace string, q route.Quota) *voterBucket {
	b := c.buckets[workspace]
	if b == nil {
		b = &voterBucket{bucket: bucket{updatedAt: c.startedAt}} // starts empty, until entries have told what was used before the start
		if c.StartFull {
			b.level = q.Burst
		}
		if c.buckets == nil {
			c.buckets = make(map[string]*voterBucket)
		}
		c.buckets[workspace] = b
	}
	b.refill(now, q.PerSecond, q.Burst)
	if b.told != len(c.past.told) {
		b.told = len(c.past.told)
		b.applyPast(c.past.level(workspace, q), now.Sub(c.startedAt), q)
	}
	return b
}

// applyPast corrects the level for what is now known of the level at the start, elapsed ago.
// What would have overflowed since then is lost.
func (b *voterBucket) applyPast(level float64, elapsed time.Duration, q route.Quota) {
	room := max(0, q.Burst-q.PerSecond*elapsed.Seconds()-b.credit)
	more := min(level-b.credit, room)
	b.level = min(b.level+more, q.Burst)
	b.credit += more
}
