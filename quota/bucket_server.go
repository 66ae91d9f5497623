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
)

// reportRequest holds what an entry has admitted since its last report, by workspace. An
// amount is negative if more was refunded than admitted.
type reportRequest struct {
	Used map[string]float64 `msgpack:"used"`
}

// reportReply holds the bucket levels of the workspaces that the report named.
type reportReply struct {
	Levels map[string]float64 `msgpack:"levels"`
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

// BucketServer keeps the buckets of all workspaces on a voter. Set the exported fields before
// Register.
type BucketServer struct {
	Quota     func(workspace string) (route.Quota, bool) // returns the published quota
	StartFull bool                                       // buckets start full; set at the first start of the whole system, when nothing has been used

	mu        sync.Mutex
	startedAt time.Time
	buckets   map[string]*bucket
}

// Register adds the message handlers to mux. Buckets start to fill at this time.
func (c *BucketServer) Register(mux *wire.Mux) {
	c.startedAt = time.Now()
	mux.On(kindReport, c.handleReport)
	mux.On(kindTake, c.handleTake)
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

func (c *BucketServer) report(now time.Time, call reportRequest) reportReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	reply := reportReply{Levels: make(map[string]float64, len(call.Used))}
	for workspace, used := range call.Used {
		q, ok := c.Quota(workspace)
		if !ok || q.PerSecond <= 0 {
			continue
		}
		b := c.refilledBucket(now, workspace, q)
		b.level -= used
		reply.Levels[workspace] = b.level
	}
	return reply
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
	taken := b.level > 0
	if taken {
		b.level -= call.Cost
	}
	return takeReply{Taken: taken, Level: b.level, WaitMS: b.timeUntil(min(call.Cost, q.Burst), q.PerSecond).Milliseconds()}
}

// refilledBucket returns the bucket of a workspace, refilled to now. mu is held.
func (c *BucketServer) refilledBucket(now time.Time, workspace string, q route.Quota) *bucket {
	b := c.buckets[workspace]
	if b == nil {
		b = &bucket{updatedAt: c.startedAt} // starts empty, since what was used before the start of this voter is not known
		if c.StartFull {
			b.level = q.Burst
		}
		if c.buckets == nil {
			c.buckets = make(map[string]*bucket)
		}
		c.buckets[workspace] = b
	}
	b.refill(now, q.PerSecond, q.Burst)
	return b
}
