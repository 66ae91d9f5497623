package quarantine

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/bamboostep/bamboostep/timeline"
)

// An answer that breaks off has many causes: a backend server that closes one
// connection, loses an answer or is cut off. A crash is told from these by the address,
// where nothing listens any more. That takes one dial, which all requests that broke
// off there share.

const (
	checkTimeout  = 300 * time.Millisecond // of one dial
	checkAgain    = 40 * time.Millisecond  // after a dial that was accepted: a process may still be ending
	checkPatience = 100 * time.Millisecond // that a request waits for the outcome
)

// Guard is an entry's quarantine: it judges requests, and finds out which were at a
// crash. Set the exported fields before the first use. A nil *Guard knows no suspects.
type Guard struct {
	Table    *Table
	Tell     func([]Record)                                 // tells the other processes
	Try      func(ctx context.Context, content uint64) bool // asks whether this one may try
	Recorder *timeline.Recorder
	Metrics  *Metrics // may be nil

	mu     sync.Mutex
	checks map[string]*check // under way, by address
}

// check finds out whether a backend server has crashed.
type check struct {
	at     time.Time // of the first answer that broke off
	broken []broken
	done   chan struct{} // closed after the first dial
}

// broken is a request whose answer broke off.
type broken struct {
	content uint64
	events  int
}

// FormatContent writes a request's fingerprint as logs have it.
func FormatContent(content uint64) string { return strconv.FormatUint(content, 16) }

// Admit returns how a request that has just come may run. Of those whose refusal is over
// one may try at a time, over all entries.
func (g *Guard) Admit(ctx context.Context, now time.Time, content uint64) Verdict {
	v := g.Judge(now, content)
	if v.Trial && !v.Refused && !g.Try(ctx, content) {
		v.Refused, v.RetryAfter = true, trialTime
	}
	return v
}

// Judge returns how a request may run that was admitted before.
func (g *Guard) Judge(now time.Time, content uint64) Verdict {
	if g == nil {
		return Verdict{}
	}
	return g.Table.Judge(now, content)
}

// Passed notes that a request has completed or got further than it was at its crashes.
func (g *Guard) Passed(now time.Time, content uint64) {
	if g == nil {
		return
	}
	if r, ok := g.Table.Passed(now, content); ok {
		g.Tell([]Record{r})
	}
}

// Broken notes that the answer of a request broke off after some events. It returns
// once it is known whether the backend server crashed, or after a moment.
func (g *Guard) Broken(ctx context.Context, address string, content uint64, events int) {
	if g == nil {
		return
	}
	c := g.join(address, broken{content, events})
	t := time.NewTimer(checkPatience)
	defer t.Stop()
	select {
	case <-c.done:
	case <-t.C:
	case <-ctx.Done():
	}
}

// join adds a request to the check of an address, which it begins if none is under way.
func (g *Guard) join(address string, b broken) *check {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.checks[address]
	if c == nil {
		c = &check{at: time.Now(), done: make(chan struct{})}
		if g.checks == nil {
			g.checks = make(map[string]*check)
		}
		g.checks[address] = c
		go g.run(address, c)
	}
	c.broken = append(c.broken, b)
	return c
}

// run makes a check.
func (g *Guard) run(address string, c *check) {
	down, err := isDown(address)
	if down {
		g.end(address, c, true)
		close(c.done)
		return
	}
	close(c.done)
	if err == nil {
		time.Sleep(checkAgain)
		down, err = isDown(address)
	}
	if err != nil {
		g.Recorder.Record(timeline.Event{Kind: "crash_not_checked", VM: address, Detail: err.Error()})
	}
	g.end(address, c, down)
}

// isDown reports whether nothing listens at an address. An error means that it is not
// known.
func isDown(address string) (bool, error) {
	nc, err := net.DialTimeout("tcp", address, checkTimeout)
	switch {
	case err == nil:
		nc.Close()
		return false, nil
	case errors.Is(err, syscall.ECONNREFUSED):
		return true, nil
	}
	return false, err
}

// end ends a check. If the backend server crashed, all requests that broke off there
// become suspects, and the other processes are told.
func (g *Guard) end(address string, c *check, crashed bool) {
	g.mu.Lock()
	delete(g.checks, address)
	members := c.broken
	g.mu.Unlock()
	if !crashed {
		return
	}
	g.Metrics.crashed()
	g.Recorder.Record(timeline.Event{Kind: "backend_server_crashed", VM: address, Detail: fmt.Sprintf("%d requests broke off, and nothing listens there", len(members))})
	records := make([]Record, 0, len(members))
	for _, b := range members {
		records = append(records, Record{Content: b.content, Crashes: []Crash{{Address: address, At: c.at.UnixMilli(), Events: b.events}}})
	}
	g.Table.Note(time.Now(), records)
	g.Tell(records)
}
