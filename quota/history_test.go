package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/bamboostep/bamboostep/internal/seed"
	"github.com/bamboostep/bamboostep/route"
)

func init() { seed.Rapid() }

var testQuota = route.Quota{PerSecond: 1000, Burst: 1000, CountsTokens: true}

// startedVoter returns a voter that started at the time, with one workspace.
func startedVoter(at time.Time) *BucketServer {
	return &BucketServer{Quota: func(string) (route.Quota, bool) { return testQuota, true }, Span: checkedWindow, startedAt: at}
}

func (c *BucketServer) levelAt(now time.Time) float64 {
	return c.report(now, reportRequest{Used: map[string]float64{"one": 0}}).Levels["one"]
}

// TestRestartedVoterWithHalfOfTheEntries restarts a voter while half of the entries have told
// their usage: the others' share counts as used, until they have told theirs.
func TestRestartedVoterWithHalfOfTheEntries(t *testing.T) {
	start := time.Unix(1000, 0)
	c := startedVoter(start)
	reports := make([]usageReport, 4)
	for i := range reports {
		h := newHistory(checkedWindow, start.Add(-time.Minute))
		h.add(start.Add(-10*time.Millisecond), "one", 100)
		reports[i] = h.snapshot(start)
		reports[i].Entry, reports[i].Entries = fmt.Sprint("entry-", i), len(reports)
	}
	for i, want := range []float64{150, 300, 450, 600} { // a part of the burst for each entry that told, less what all of them used
		c.addPast(start, reports[i])
		c.addPast(start, reports[i]) // counts once
		if got := c.levelAt(start); math.Abs(got-want) > 1 {
			t.Errorf("level after %d of 4 entries told: got %.0f, want %.0f", i+1, got, want)
		}
	}
}

// TestEntryThatLostItsMemoryHasUsedItsShare lets an entry tell that has just started.
func TestEntryThatLostItsMemoryHasUsedItsShare(t *testing.T) {
	start := time.Unix(1000, 0)
	c := startedVoter(start)
	for i, known := range []time.Duration{time.Minute, 0} {
		r := newHistory(checkedWindow, start.Add(-known)).snapshot(start)
		r.Entry, r.Entries = fmt.Sprint("entry-", i), 2
		c.addPast(start, r)
	}
	if got := c.levelAt(start); got != 500 {
		t.Errorf("level: got %.0f, want half of the burst", got)
	}
}

// TestLateReportGivesNoMoreThanTheBurst lets an entry tell that used nothing, at a time at
// which the bucket would have overflowed.
func TestLateReportGivesNoMoreThanTheBurst(t *testing.T) {
	start := time.Unix(1000, 0)
	c := startedVoter(start)
	later := start.Add(2 * time.Second)
	c.report(later, reportRequest{Used: map[string]float64{"one": 1000}})
	r := newHistory(checkedWindow, start.Add(-time.Minute)).snapshot(later)
	r.Entry = "entry"
	c.addPast(later, r)
	if got := c.levelAt(later); got != 0 {
		t.Errorf("level: got %.0f, want 0: all of the burst was used since", got)
	}
}

// TestLevelOfThePastKeepsTheLimit compares the level that a voter works out with the schedule
// of what entries admitted before it started: no window that begins before the start may
// hold more than the rate and the burst, if the whole level is used at the start.
func TestLevelOfThePastKeepsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		entries := rapid.IntRange(1, 6).Draw(t, "entries")
		histories := make([]*history, entries)
		for i := range histories {
			histories[i] = newHistory(checkedWindow, start.Add(-time.Minute))
		}
		b := bucket{level: testQuota.Burst, updatedAt: start.Add(-20 * time.Second)}
		var granted []admission
		for at := b.updatedAt; at.Before(start); at = at.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "gap")) * time.Millisecond) {
			cost := rapid.Float64Range(1, 900).Draw(t, "cost")
			b.refill(at, testQuota.PerSecond, testQuota.Burst)
			if b.level < cost {
				continue
			}
			b.level -= cost
			granted = append(granted, admission{at, cost})
			histories[rapid.IntRange(0, entries-1).Draw(t, "entry")].add(at, "one", cost)
		}
		c := startedVoter(start)
		for i, h := range histories {
			r := h.snapshot(start)
			r.Entry = fmt.Sprint(i)
			c.addPast(start, r)
		}
		granted = append(granted, admission{start, c.levelAt(start)})
		limit := testQuota.PerSecond*checkedWindow.Seconds() + testQuota.Burst
		if got := maxInWindow(granted, checkedWindow); got > limit+1 {
			t.Fatalf("granted in %v: got %.0f, want at most %.0f", checkedWindow, got, limit)
		}
	})
}

// hardLoad is a load of a workspace, with what happens to the daemons meanwhile.
type hardLoad struct {
	load      float64 // of the rate
	favourite float64 // part of the requests that go to one entry
	meanwhile func(s *testCluster, at time.Duration)
}

const (
	outageDuration = 1700 * time.Millisecond
	meanCost       = 6000.0
	ahead          = reportInterval + 10*time.Millisecond // in which entries may admit ahead of the bucket
)

// allVotersLosePower starts at 10 s and lasts for outageDuration.
func allVotersLosePower(s *testCluster, at time.Duration) {
	if at == 10*time.Second || at == 10*time.Second+outageDuration {
		s.toggleVoters(at > 10*time.Second)
	}
}

// toggleVoters takes power from all voters, or gives it back.
func (s *testCluster) toggleVoters(back bool) {
	for _, v := range s.voters {
		v.togglePartition()
		v.restart(s.quota)
	}
	if back {
		s.connect(s.entries...)
	}
}

// oneVoterLosesPower restarts the voter that all entries ask, at 10 s.
func oneVoterLosesPower(s *testCluster, at time.Duration) {
	if at != 10*time.Second {
		return
	}
	asked, _ := s.entries[0].votersFor(time.Now(), s.ws.Name)
	asked[0].(fakeConn).restart(s.quota)
	s.connect(s.entries...)
}

// entryRestarts restarts an entry each two seconds.
func entryRestarts(s *testCluster, at time.Duration) {
	if at%(2*time.Second) == 0 {
		s.start(int(at/(2*time.Second)) % len(s.entries))
	}
}

// entryIsCutOff takes all connections from an entry at 10 s, for outageDuration.
func entryIsCutOff(s *testCluster, at time.Duration) {
	m := s.entries[0]
	switch at {
	case 10 * time.Second:
		m.mu.Lock()
		m.Voters = func() []Voter { return nil }
		m.mu.Unlock()
	case 10*time.Second + outageDuration:
		s.connect(m)
	}
}

// connect gives entries new connections to all voters; they keep what they know.
func (s *testCluster) connect(entries ...*Limiter) {
	for _, m := range entries {
		var conns []Voter
		for _, v := range s.voters {
			conns = append(conns, fakeConn{v, new(byte)})
		}
		m.mu.Lock()
		m.Voters = func() []Voter { return conns }
		m.mu.Unlock()
		m.Report(s.t.Context())
	}
}

// TestHardLoad checks what is granted of a quota while one workspace sends seven times its
// usual (which is 55% of its limit), voters lose power, and entries are loaded unevenly, join
// or are cut off. The bounds on what is missing are seconds of the rate.
//
// Between two reports, entries admit ahead of the bucket, which grants less after that: what
// arrives in an interval, and while a report is under way. Without voters, each entry may be left
// with less than a request costs.
func TestHardLoad(t *testing.T) {
	const rate, entries = 600_000, 20
	const alone = entries * meanCost / rate
	tests := map[string]struct {
		hardLoad
		missing float64
	}{
		"one workspace at seven times its usual": {hardLoad{load: 7 * 0.55}, 7 * 0.55 * ahead.Seconds()},
		"all voters lose power at once":          {hardLoad{load: 0.55, meanwhile: allVotersLosePower}, alone},
		"uneven entries":                         {hardLoad{load: 0.55, favourite: 0.7}, 0},
		"uneven entries without voters":          {hardLoad{load: 0.55, favourite: 0.7, meanwhile: allVotersLosePower}, alone},
		"entries leave and join":                 {hardLoad{load: 0.55, meanwhile: entryRestarts}, 0},
		"one voter loses power":                  {hardLoad{load: 0.55, meanwhile: oneVoterLosesPower}, 0},
		"an entry is cut off":                    {hardLoad{load: 0.55, meanwhile: entryIsCutOff}, alone / entries},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTestCluster(t, rand.New(rand.NewPCG(seed.Value(), 3)), 3, entries, route.Quota{PerSecond: rate, Burst: rate, CountsTokens: true})
				defer s.stop()
				if got := test.play(s) / rate; got > test.missing {
					t.Errorf("missing: got %.3f s of the rate, want at most %.3f", got, test.missing)
				}
				if got, want := s.maxAdmitted(checkedWindow), s.limit(); got > want {
					t.Errorf("admitted in %v: got %.0f, want at most %.0f", checkedWindow, got, want)
				}
			})
		})
	}
}

// TestHardLoadOnRandomSchedules draws the load, and when voters lose power and entries restart.
// No window holds more than the rule allows.
//
// What is missing stays under this sum: what entries admit ahead (as in TestHardLoad); of what
// arrives without voters, half, since half of the shares are equal parts that may lie with
// entries to which no caller turns; all of that at an entry that has restarted, and its part of the
// burst; and for each event a request at each entry.
func TestHardLoadOnRandomSchedules(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		entries := rapid.IntRange(2, 30).Draw(r, "entries")
		rate := rapid.Float64Range(100_000, 600_000).Draw(r, "rate")
		l := hardLoad{load: rapid.Float64Range(0.2, 5).Draw(r, "load"), favourite: rapid.Float64Range(0, 0.8).Draw(r, "favourite")}
		outageAt := rapid.IntRange(2, 14).Draw(r, "outage")
		outage := time.Duration(rapid.IntRange(3, 30).Draw(r, "length")) * 100 * time.Millisecond
		restarts := rapid.SliceOfN(rapid.IntRange(1, 19), 0, 4).Draw(r, "restarts")
		l.meanwhile = func(s *testCluster, at time.Duration) {
			since := at - time.Duration(outageAt)*time.Second
			if since == 0 || since == outage {
				s.toggleVoters(since == outage)
			}
			if at%time.Second == 0 && slices.Contains(restarts, int(at/time.Second)) {
				s.start(1 + int(at/time.Second)%(entries-1))
			}
		}
		alone := (outage + reportInterval + takeTimeout).Seconds()
		restarted := float64(len(restarts)) / float64(entries)
		allowed := l.load*ahead.Seconds() + min(1, l.load)*alone*(0.5+restarted) + restarted +
			float64(entries)*meanCost/rate*float64(1+len(restarts))
		var missing, most, limit float64
		synctest.Test(t, func(t *testing.T) {
			s := newTestCluster(t, rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 0)), 3, entries, route.Quota{PerSecond: rate, Burst: rate, CountsTokens: true})
			defer s.stop()
			missing = l.play(s) / rate
			most, limit = s.maxAdmitted(checkedWindow), s.limit()
		})
		if most > limit {
			r.Errorf("admitted in %v: got %.0f, want at most %.0f", checkedWindow, most, limit)
		}
		if missing > allowed {
			r.Errorf("missing: got %.3f s of the rate, want at most %.3f", missing, allowed)
		}
	})
}

// play sends the load for 20 s. It returns the most that is missing in any window: what a
// bucket of the rate and the burst admits, if it is asked about each request in turn, less
// what was admitted.
func (l hardLoad) play(s *testCluster) (missing float64) {
	const step = 10 * time.Millisecond
	q := s.ws.Quota
	reference := bucket{level: q.Burst, updatedAt: time.Now()}
	owed := 0.0
	var differences []float64 // by request in order of time
	for at := time.Duration(0); at < 20*time.Second; at += step {
		if l.meanwhile != nil {
			l.meanwhile(s, at)
		}
		for owed += l.load * q.PerSecond * step.Seconds(); owed > 0; {
			cost := meanCost * (0.2 + 1.6*s.rng.Float64())
			owed -= cost
			within := 0.0
			if reference.refill(time.Now(), q.PerSecond, q.Burst); reference.level > 0 {
				reference.level -= cost
				within = cost
			}
			s.mu.Lock()
			i := len(differences)
			differences = append(differences, within)
			s.mu.Unlock()
			entry := s.rng.IntN(len(s.entries))
			if s.rng.Float64() < l.favourite {
				entry = 0
			}
			s.sendTo(entry, cost, func() { differences[i] -= cost })
		}
		time.Sleep(step)
	}
	time.Sleep(time.Second)
	s.mu.Lock()
	defer s.mu.Unlock()
	slices.SortFunc(s.admitted, func(a, b admission) int { return a.at.Compare(b.at) })
	sum := 0.0
	for _, d := range differences {
		sum = max(0, sum+d)
		missing = max(missing, sum)
	}
	return missing
}

// limit returns what may be admitted in a checkedWindow.
func (s *testCluster) limit() float64 {
	q := s.ws.Quota
	return (q.PerSecond*checkedWindow.Seconds()+q.Burst)*(1+windowTolerance) + windowSlack
}
