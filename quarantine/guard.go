package quarantine

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/bamboostep/bamboostep/dialer"
	"github.com/bamboostep/bamboostep/timeline"
)

// A response stream can break off without a crash: the backend server may close one
// connection, lose a response or be partitioned. A crash is distinguished from these by
// dialling the address: after a crash nothing listens there. All requests that were
// interrupted at one address share one check.

const (
	redialDelay  = 40 * time.Millisecond  // before the second dial, if the first was accepted: a crashing process may still be exiting
	maxCheckWait = 100 * time.Millisecond // bounds how long ReportInterrupted waits for the first dial
)

// Guard is the quarantine of an entry: it decides whether requests may run, and detects
// crashes under them. Set the exported fields before the first use. A nil *Guard lets all
// requests run.
type Guard struct {
	Table        *Table
	Broadcast    func(Observations)                           // sends observations to the voters
	RequestTrial func(ctx context.Context, id SuspectID) bool // asks the voters for a trial
	Recorder     *timeline.Recorder
	Metrics      *Metrics // may be nil

	mu     sync.Mutex
	checks map[string]*crashCheck // running checks, by address
}

// crashCheck determines whether a backend server has crashed.
type crashCheck struct {
	startedAt     time.Time // time of the first interruption
	interrupted   []interruption
	firstDialDone chan struct{} // closed after the first dial
}

// interruption is a request whose response stream broke off.
type interruption struct {
	content Content
	events  int // response events received before
}

// FormatFingerprint formats a request's fingerprint for logs, in hexadecimal.
func FormatFingerprint(fingerprint uint64) string { return strconv.FormatUint(fingerprint, 16) }

// Admit decides whether and how a new request may run. If its refusal has expired, Admit
// asks the voters for a trial, and refuses the request for trialDuration if they do not
// grant it.
func (g *Guard) Admit(ctx context.Context, now time.Time, c Content) Verdict {
	v := g.Evaluate(now, c)
	if !v.Trial || v.Refused {
		return v
	}
	if !g.RequestTrial(ctx, v.suspect(c.Fingerprint)) {
		v.Refused, v.RetryAfter = true, trialDuration
	}
	return v
}

// Evaluate decides whether and how a request may run that was admitted before, for example to
// retry it. It does not ask the voters.
func (g *Guard) Evaluate(now time.Time, c Content) Verdict {
	if g == nil {
		return Verdict{}
	}
	v := g.Table.Evaluate(now, c.Fingerprint)
	byPart := g.Table.EvaluateParts(now, c.Parts)
	if byPart.Refused && byPart.RetryAfter >= v.RetryAfter || byPart.Trial && !v.Trial {
		byPart.Isolated, byPart.ClearAfterEvents = v.Isolated, v.ClearAfterEvents
		return byPart
	}
	return v
}

// Clear records that a request has completed or got further than it did before its
// crashes, and sends its clearing to the voters.
func (g *Guard) Clear(now time.Time, fingerprint uint64) {
	if g == nil {
		return
	}
	if r, ok := g.Table.Clear(now, fingerprint); ok {
		g.Broadcast(Observations{Records: []Record{r}})
	}
}

// ClearParts records that a prompt with the given parts was answered well, and sends the clearing
// of those that were suspects to the voters.
func (g *Guard) ClearParts(now time.Time, parts []uint64) {
	if g == nil {
		return
	}
	if cleared := g.Table.ClearParts(now, parts); len(cleared) > 0 {
		g.Broadcast(Observations{Parts: cleared})
	}
}

// ReportInterrupted records that a response stream broke off after some events, and checks whether
// the backend server crashed. It returns after the first dial of the check, after maxCheckWait or
// when ctx ends; a second dial runs in the background.
func (g *Guard) ReportInterrupted(ctx context.Context, address string, content Content, events int) {
	if g == nil {
		return
	}
	c := g.joinCheck(address, interruption{content, events})
	t := time.NewTimer(maxCheckWait)
	defer t.Stop()
	select {
	case <-c.firstDialDone:
	case <-t.C:
	case <-ctx.Done():
	}
}

// joinCheck adds a request to the running check of an address, or starts one.
func (g *Guard) joinCheck(address string, b interruption) *crashCheck {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.checks[address]
	if c == nil {
		c = &crashCheck{startedAt: time.Now(), firstDialDone: make(chan struct{})}
		if g.checks == nil {
			g.checks = make(map[string]*crashCheck)
		}
		g.checks[address] = c
		go g.runCheck(address, c)
	}
	c.interrupted = append(c.interrupted, b)
	return c
}

// runCheck dials the address once, and a second time if the first dial was accepted. After
// a refused first dial, the crash is recorded before the waiting requests continue.
func (g *Guard) runCheck(address string, c *crashCheck) {
	down, err := dialer.Refused(context.Background(), address)
	if down {
		g.finishCheck(address, c, true)
		close(c.firstDialDone)
		return
	}
	close(c.firstDialDone)
	if err == nil {
		time.Sleep(redialDelay)
		down, err = dialer.Refused(context.Background(), address)
	}
	if err != nil {
		g.Recorder.Record(timeline.Event{Kind: "crash_not_checked", VM: address, Detail: err.Error()})
	}
	g.finishCheck(address, c, down)
}

// finishCheck ends a check. If the backend server crashed, it makes all requests that were
// interrupted there suspects, and sends their records to the voters.
func (g *Guard) finishCheck(address string, c *crashCheck, crashed bool) {
	g.mu.Lock()
	delete(g.checks, address)
	interrupted := c.interrupted
	g.mu.Unlock()
	if !crashed {
		return
	}
	g.Metrics.countCrash()
	g.Recorder.Record(timeline.Event{Kind: "backend_server_crashed", VM: address, Detail: fmt.Sprintf("%d requests interrupted; connection refused on dial", len(interrupted))})
	now := time.Now()
	o := g.Table.crashObservations(now, address, c.startedAt, interrupted)
	g.Table.Merge(now, o.Records)
	g.Table.MergeParts(now, o.Parts)
	g.Broadcast(o)
}

// crashObservations returns the records of the requests that a crash interrupted, and of the parts
// of their prompts that may have caused it.
func (t *Table) crashObservations(now time.Time, address string, at time.Time, interrupted []interruption) Observations {
	var o Observations
	contrasted := t.answeredRecently(now)
	seen := make(map[uint64]bool) // parts
	for _, i := range interrupted {
		crash := Crash{Address: address, At: at.UnixMilli(), Events: i.events}
		o.Records = append(o.Records, Record{Fingerprint: i.content.Fingerprint, Crashes: []Crash{crash}})
		for _, part := range t.unanswered(now, i.content.Parts) {
			if seen[part] {
				continue
			}
			seen[part] = true
			o.Parts = append(o.Parts, Record{Fingerprint: part, Crashes: []Crash{partCrash(address, at, contrasted)}})
		}
	}
	return o
}
