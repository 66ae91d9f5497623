package quota

import (
	"sync"
	"time"

	"github.com/bamboostep/bamboostep/route"
	"github.com/bamboostep/bamboostep/wire"
)

const (
	kindReport = "quota.report" // entry to voter: a reportCall, answered by a reportReply
	kindTake   = "quota.take"   // entry to voter: a takeCall, answered by a takeReply
)

// reportCall tells what an entry has admitted since its last report, by workspace. What
// did not run is given back by a number below 0.
type reportCall struct {
	Used map[string]float64 `msgpack:"used"`
}

type reportReply struct {
	Levels map[string]float64 `msgpack:"levels"` // of the workspaces that the report named
}

type takeCall struct {
	Workspace string  `msgpack:"workspace"`
	Cost      float64 `msgpack:"cost"`
	Used      float64 `msgpack:"used"` // since the entry's last report
}

type takeReply struct {
	Taken  bool    `msgpack:"taken"`
	Level  float64 `msgpack:"level"`
	WaitMS int64   `msgpack:"wait_ms"` // until the cost is there
}

// Counter keeps the buckets of all workspaces on a voter. Set the exported fields before
// Register.
type Counter struct {
	Quota func(workspace string) (route.Quota, bool) // as published
	Fresh bool                                       // the whole system starts, so that nothing was used before

	mu      sync.Mutex
	began   time.Time
	buckets map[string]*bucket
}

// Register adds the handlers to mux. Buckets begin to fill now.
func (c *Counter) Register(mux *wire.Mux) {
	c.began = time.Now()
	mux.On(kindReport, c.handleReport)
	mux.On(kindTake, c.handleTake)
}

func (c *Counter) handleReport(m *wire.Message) {
	var call reportCall
	if m.Decode(&call) != nil {
		return // the frame is counted by wire
	}
	_ = m.Reply(c.report(time.Now(), call)) // who reported goes on without the levels
}

func (c *Counter) handleTake(m *wire.Message) {
	var call takeCall
	if m.Decode(&call) != nil {
		return // the frame is counted by wire
	}
	_ = m.Reply(c.take(time.Now(), call)) // who asked asks another voter
}

func (c *Counter) report(now time.Time, call reportCall) reportReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	reply := reportReply{Levels: make(map[string]float64, len(call.Used))}
	for workspace, used := range call.Used {
		q, ok := c.Quota(workspace)
		if !ok || q.PerSecond <= 0 {
			continue
		}
		b := c.bucket(now, workspace, q)
		b.level -= used
		reply.Levels[workspace] = b.level
	}
	return reply
}

func (c *Counter) take(now time.Time, call takeCall) takeReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	q, ok := c.Quota(call.Workspace)
	if !ok || q.PerSecond <= 0 {
		return takeReply{Taken: true}
	}
	b := c.bucket(now, call.Workspace, q)
	b.level -= call.Used
	taken := b.level > 0
	if taken {
		b.level -= call.Cost
	}
	return takeReply{Taken: taken, Level: b.level, WaitMS: b.wait(min(call.Cost, q.Burst), q.PerSecond).Milliseconds()}
}

// bucket returns the filled bucket of a workspace. mu is held.
func (c *Counter) bucket(now time.Time, workspace string, q route.Quota) *bucket {
	b := c.buckets[workspace]
	if b == nil {
		b = &bucket{at: c.began} // what was used before is not known
		if c.Fresh {
			b.level = q.Burst
		}
		if c.buckets == nil {
			c.buckets = make(map[string]*bucket)
		}
		c.buckets[workspace] = b
	}
	b.fill(now, q.PerSecond, q.Burst)
	return b
}
