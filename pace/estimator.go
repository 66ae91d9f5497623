package pace

import (
	"slices"
	"time"

	"github.com/bamboostep/bamboostep"
)

// The estimate of an engine's pace by its holder. What is seen changes for three reasons that must be told apart:
// the number of running requests (a decode step takes the longer the more there are), prompts
// that are prefilled between the steps, and the speed of the VM. The first two change many times a second and are
// nothing new. Quiet intervals between two reports, in which nothing is prefilled, therefore teach how the gap between events grows with the
// requests that run; the newest of them, against that, tell how much slower than usual the VM is at this moment. All else
// that is learned, which is seen more rarely, is kept as it would be at the usual speed, and scaled by that factor.

const (
	minInterval      = 50 * time.Millisecond  // between two reports; a shorter one shows too few events
	maxInterval      = 250 * time.Millisecond // between two reports; the holder stood still during a longer one
	quietHorizon     = 800 * time.Millisecond // of the quiet intervals that tell the speed of the moment
	quietValidity    = 2 * time.Second        // for which the speed of the moment is kept without a newer quiet interval
	minQuietEvents   = 6                      // events in them
	maxQuiet         = 16                     // quiet intervals that are kept
	maxBusy          = 16                     // busy intervals that are kept, and used
	minBusyEvents    = 4                      // events in them
	maxFirstEvents   = 16                     // first events that are kept
	minFirstEvents   = 3                      // first events that are used
	firstEventRank   = 0.7                    // quantile of the rates that they show: others may have prompts at the engine unseen, which only makes it seem slower
	maxNews          = 1.1                    // a quiet interval counts in the usual pace for at most this multiple of it, or part
	firstNews        = 20                     // of the quiet intervals count in full, since the usual pace rests on little
	newsWeight       = 0.01                   // of a quiet interval in the usual pace: about 10 s of them
	minSlowness      = 1.0 / 8
	maxSlowness      = 8
	usualSlowness    = 4.0 / 3 // differences within this factor are noise
	maxTrackedRuns   = 1024
	stallShare       = 0.5 // a stream that is this much behind the others stands still for a reason of its own
	minTrimIntervals = 4   // intervals, of which the slowest is left out
)

// interval is what the streams of an engine did between two reports.
type interval struct {
	at       time.Time // of the second report
	runTime  float64   // seconds, summed over the streams
	events   float64   // events, summed over the streams
	running  int       // requests that ran
	slowness float64   // the factor that applied
}

// Estimator estimates the pace of one engine from its successive reports and from first events that entries have
// seen. The zero value knows nothing. It is not safe for concurrent use.
type Estimator struct {
	started int64     // start of the engine that is known
	at      time.Time // of the last report; zero before the first
	busy    bool      // a prompt was waiting or prefilled at the last report
	events  map[string]int

	quiet, prefilling []interval // newest last
	firstEvents       []float64  // prompt tokens a millisecond, at the usual speed; newest last
	usual             gapLine
	slowness          float64   // of the VM against its usual speed, as of slowAt
	slowAt            time.Time // zero if it is not known
}

// Observe adds a report that was requested at a time. Reports must come in order.
func (e *Estimator) Observe(r bamboostep.EngineReport, at time.Time) {
	if r.StartedMS != e.started {
		*e = Estimator{started: r.StartedMS}
	}
	busy := r.Prefilling+r.Waiting > 0
	took := at.Sub(e.at)
	if !e.at.IsZero() && took < minInterval {
		return
	}
	if !e.at.IsZero() && took > 0 && took <= maxInterval {
		e.observeInterval(r, at, took, busy)
	}
	e.at, e.busy = at, busy
	e.events = make(map[string]int, len(r.Runs))
	for _, run := range r.Runs[:min(len(r.Runs), maxTrackedRuns)] {
		e.events[run.ID] = run.Events
	}
}

// observeInterval adds what was done since the last report. An interval in which prompts were prefilled only in part tells nothing.
func (e *Estimator) observeInterval(r bamboostep.EngineReport, at time.Time, took time.Duration, busy bool) {
	made, arrived := e.progress(r)
	if len(made) == 0 || busy != e.busy || !busy && arrived {
		return
	}
	if !busy {
		made = withoutStalled(made)
	}
	i := interval{at: at, runTime: took.Seconds() * float64(len(made)), running: r.Running, slowness: e.Slowness(at)}
	for _, n := range made {
		i.events += n
	}
	if busy {
		e.prefilling = appendBounded(e.prefilling, i, maxBusy)
		return
	}
	e.quiet = appendBounded(e.quiet, i, maxQuiet)
	e.observeQuiet(at)
}

// progress returns the events that each stream made since the last report, and whether a stream has begun since.
func (e *Estimator) progress(r bamboostep.EngineReport) (made []float64, arrived bool) {
	for _, run := range r.Runs {
		before, known := e.events[run.ID]
		switch {
		case !known:
			arrived = true
		case run.Events >= before:
			made = append(made, float64(run.Events-before))
		}
	}
	return made, arrived
}

// withoutStalled leaves out the streams that are far behind the middle one.
func withoutStalled(made []float64) []float64 {
	slices.Sort(made)
	least := stallShare * made[len(made)/2]
	return slices.DeleteFunc(made, func(n float64) bool { return n < least })
}

// observeQuiet updates the speed of the moment and the usual pace with the newest quiet intervals.
func (e *Estimator) observeQuiet(now time.Time) {
	gap, running := recentGap(e.quiet, now)
	if gap == 0 {
		return
	}
	expected := e.usual.gap(running)
	if expected == 0 {
		e.usual.add(running, gap)
		expected = gap
	}
	news := gap
	if e.usual.weight > firstNews {
		news = min(max(gap, expected/maxNews), expected*maxNews)
	}
	e.usual.add(running, news)
	e.slowness, e.slowAt = min(max(gap/expected, minSlowness), maxSlowness), now
	if e.slowness < usualSlowness && e.slowness > 1/usualSlowness {
		e.slowness = 1
	}
}

// recentGap returns the time between two events, in seconds, and the mean number of requests that ran, over the newest
// quiet intervals. The slowest one is left out: one that stood still is no evidence. It returns 0 if they are too few.
func recentGap(quiet []interval, now time.Time) (gap, running float64) {
	var recent []interval
	for _, i := range quiet {
		if now.Sub(i.at) < quietHorizon {
			recent = append(recent, i)
		}
	}
	if len(recent) >= minTrimIntervals {
		slices.SortStableFunc(recent, func(a, b interval) int { return compareRates(a, b) })
		recent = recent[1:]
	}
	var runTime, events float64
	for _, i := range recent {
		runTime += i.runTime
		events += i.events
		running += float64(i.running)
	}
	if events < minQuietEvents {
		return 0, 0
	}
	return runTime / events, running / float64(len(recent))
}

// compareRates orders intervals by the events of a stream in a second, fewest first.
func compareRates(a, b interval) int {
	x, y := a.events*b.runTime, b.events*a.runTime
	switch {
	case x < y:
		return -1
	case x > y:
		return 1
	}
	return 0
}

// ObserveFirstEvent adds the time until the first event of a request whose prompt tokens were the only ones that the engine had to
// prefill, as far as the entry knows that saw it at a time.
func (e *Estimator) ObserveFirstEvent(tokens int, took time.Duration, at time.Time) {
	prefill := took - e.eventGap(at)
	if tokens <= 0 || took <= 0 || took > maxGap || prefill < took/4 {
		return
	}
	rate := float64(tokens) / (float64(prefill) / float64(time.Millisecond))
	if rate > maxTokensPerMS {
		return
	}
	e.firstEvents = appendBounded(e.firstEvents, rate*e.Slowness(at), maxFirstEvents)
}

// Slowness returns by how much longer than usual the engine takes for its work at now; 1 if nothing recent is known.
func (e *Estimator) Slowness(now time.Time) float64 {
	if e.slowAt.IsZero() || now.Sub(e.slowAt) > quietValidity {
		return 1
	}
	return e.slowness
}

// Pace returns the pace as of now. What is unknown is zero.
func (e *Estimator) Pace(now time.Time) Pace {
	slowness := e.Slowness(now)
	p := Pace{EventGapUS: microseconds(e.eventGap(now))}
	if gap := e.prefillGap() * slowness; gap > 0 {
		p.PrefillGapUS = max(p.EventGapUS, microseconds(seconds(gap)))
	}
	if len(e.firstEvents) >= minFirstEvents {
		rates := slices.Sorted(slices.Values(e.firstEvents))
		p.PrefillPerMS = rates[int(firstEventRank*float64(len(rates)))] / slowness
	}
	return p
}

// eventGap returns the time between two events while nothing is prefilled: that of the last moments, else what is usual with as many
// requests as ran last; 0 if it is unknown.
func (e *Estimator) eventGap(now time.Time) time.Duration {
	if gap, _ := recentGap(e.quiet, now); gap > 0 {
		return seconds(gap)
	}
	return seconds(e.usual.gap(float64(len(e.events))) * e.Slowness(now))
}

// prefillGap returns the time between two events, in seconds, while prompts are prefilled at the usual speed; 0 if it is unknown.
func (e *Estimator) prefillGap() float64 {
	var runTime, events float64
	for _, i := range e.prefilling {
		runTime += i.runTime / i.slowness
		events += i.events
	}
	if events < minBusyEvents {
		return 0
	}
	return runTime / events
}

// gapLine is the usual time between two events as a line over the number of running requests: a decayed least-squares fit. The zero
// value knows nothing.
type gapLine struct{ weight, sumN, sumGap, sumNN, sumNGap float64 }

// add adds a gap in seconds with n requests running.
func (l *gapLine) add(n, gap float64) {
	keep := 1 - newsWeight
	l.weight = l.weight*keep + 1
	l.sumN = l.sumN*keep + n
	l.sumGap = l.sumGap*keep + gap
	l.sumNN = l.sumNN*keep + n*n
	l.sumNGap = l.sumNGap*keep + n*gap
}

// gap returns the usual gap with n requests running, in seconds; 0 if nothing is known. More requests never count as faster, and
// each as at most a proportional part.
func (l *gapLine) gap(n float64) float64 {
	if l.weight == 0 {
		return 0
	}
	meanN, meanGap := l.sumN/l.weight, l.sumGap/l.weight
	variance := l.sumNN/l.weight - meanN*meanN
	slope := (l.sumNGap/l.weight - meanN*meanGap) / (variance + 1)
	slope = min(max(slope, 0), meanGap/max(meanN, 1))
	return max(meanGap+slope*(n-meanN), meanGap/maxSlowness)
}

func seconds(s float64) time.Duration {
	return time.Duration(min(max(s, 0), maxGap.Seconds()) * float64(time.Second))
}

func microseconds(d time.Duration) int64 { return d.Round(time.Microsecond).Microseconds() }

// appendBounded appends v and drops the oldest beyond a limit.
func appendBounded[T any](s []T, v T, limit int) []T {
	s = append(s, v)
	if len(s) > limit {
		s = slices.Delete(s, 0, len(s)-limit)
	}
	return s
}
