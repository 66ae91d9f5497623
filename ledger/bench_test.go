package ledger_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/internal/measure"
	"github.com/bamboostep/bamboostep/ledger"
)

// BenchmarkCommit measures claims, each a command on the disks of a quorum, by
// the number of proposers that wait for theirs at a time.
func BenchmarkCommit(b *testing.B) {
	for _, proposers := range []int{1, 64} {
		b.Run(fmt.Sprintf("proposers=%d", proposers), func(b *testing.B) {
			c := newCluster(b, "a", "b", "c")
			c.startAll()
			client := c.running[c.leader()].client
			mustPublish(b, client, publication("p", 0))
			b.ResetTimer()
			var next atomic.Int64
			var all sync.WaitGroup
			for range proposers {
				all.Go(func() { claimUntil(b, client, &next) })
			}
			all.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
		})
	}
}

func claimUntil(b *testing.B, client *ledger.Client, next *atomic.Int64) {
	for {
		n := next.Add(1)
		if n > int64(b.N) {
			return
		}
		// Names come round again, so that the table stays bounded.
		claim := bamboostep.Claim{Name: fmt.Sprint(n % 10000), Attempt: "x", Retention: time.Hour}
		if _, err := client.Claim(context.Background(), claim); err != nil {
			b.Error(err)
			return
		}
	}
}

// BenchmarkIdle measures what three idle voters spend, per voter and second, on
// heartbeats and on clients that watch. All run in this process, so the share of a
// core is that of voters and clients together.
func BenchmarkIdle(b *testing.B) {
	for _, load := range []struct{ clients, follow int }{{0, 0}, {30, 1}, {30, 2}, {380, 1}, {380, 2}} {
		b.Run(fmt.Sprintf("clients=%d/follow=%d", load.clients, load.follow), func(b *testing.B) {
			c := newCluster(b, "a", "b", "c")
			c.startAll()
			mustPublish(b, c.running[c.leader()].client, publication("p", 0))
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			for range load.clients {
				c.watch(ctx, load.follow)
			}
			time.Sleep(2 * time.Second) // clients that start all at once ask all voters
			began, sent, cpu := time.Now(), c.sentBytes(), measure.CPUTime(b)
			for b.Loop() {
				time.Sleep(time.Second)
			}
			perVoter := time.Since(began).Seconds() * float64(len(c.members))
			b.ReportMetric((c.sentBytes()-sent)/perVoter, "sent_bytes/s")
			b.ReportMetric((measure.CPUTime(b)-cpu).Seconds()*100/perVoter, "%core")
		})
	}
}

// watch starts a client that is no voter and waits until it is current.
func (c *cluster) watch(ctx context.Context, follow int) {
	node, recorder := newNode("client")
	client := &ledger.Client{Node: node, Members: c.members, Follow: follow, Recorder: recorder}
	go client.Run(ctx)
	c.eventually("a current client", func() bool { return !client.Current().IsZero() })
}

func (c *cluster) sentBytes() float64 {
	var sum float64
	for _, p := range c.running {
		sum += measure.SentBytes(c.t, p.registry)
	}
	return sum
}
