package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcome is what became of one request.
type Outcome string

// The outcomes. A refusal has "refused_" and its code.
const (
	InTime    Outcome = "in_time"
	Late      Outcome = "late"       // whole, but past a target
	Wrong     Outcome = "wrong"      // differs from the reference, or was cut without an error
	Broken    Outcome = "broken"     // an error after the answer had begun
	Failed    Outcome = "failed"     // no HTTP answer
	refused   Outcome = "refused_"   // with the code
	notSorted Outcome = "unreadable" // neither an answer nor an error that we know
)

// Result sums up one run. Its methods may be used by many goroutines.
type Result struct {
	mu       sync.Mutex
	outcomes map[Outcome]int
	first    *hdrhistogram.Histogram // microseconds
	between  *hdrhistogram.Histogram // microseconds
	perBin   map[int]*bin            // by second of the schedule
	log      io.Writer               // of every request, or nil
}

type bin struct{ sent, inTime int }

const (
	longestTime  = 5 * time.Minute
	histogramSig = 3 // significant digits
)

func newResult() *Result {
	return &Result{
		outcomes: make(map[Outcome]int),
		first:    hdrhistogram.New(1, longestTime.Microseconds(), histogramSig),
		between:  hdrhistogram.New(1, longestTime.Microseconds(), histogramSig),
		perBin:   make(map[int]*bin),
	}
}

// answer is one request as the generator saw it.
type answer struct {
	outcome Outcome
	first   time.Duration // 0 if there was no token
	gaps    []time.Duration
}

func (r *Result) add(sent Arrival, a answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.log != nil {
		writeLine(r.log, sent, a)
	}
	r.outcomes[a.outcome]++
	if a.first > 0 {
		r.first.RecordValue(a.first.Microseconds())
	}
	for _, g := range a.gaps {
		r.between.RecordValue(max(1, g.Microseconds()))
	}
	second := int(sent.At.Seconds())
	b := r.perBin[second]
	if b == nil {
		b = &bin{}
		r.perBin[second] = b
	}
	b.sent++
	if a.outcome == InTime {
		b.inTime++
	}
}

// Count returns how many requests ended with the outcome.
func (r *Result) Count(o Outcome) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.outcomes[o]
}

// Outcomes returns the outcomes that came about, sorted.
func (r *Result) Outcomes() []Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.outcomes))
}

// Total returns how many requests were sent.
func (r *Result) Total() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, c := range r.outcomes {
		n += c
	}
	return n
}

// Attainment returns the share of requests answered whole and within their
// targets.
func (r *Result) Attainment() float64 {
	return float64(r.Count(InTime)) / float64(max(1, r.Total()))
}

// AttainmentBySecond returns the attainment of the requests that were due in each
// second of the schedule.
func (r *Result) AttainmentBySecond() (seconds, attainment []float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range slices.Sorted(maps.Keys(r.perBin)) {
		b := r.perBin[s]
		seconds = append(seconds, float64(s))
		attainment = append(attainment, float64(b.inTime)/float64(b.sent))
	}
	return seconds, attainment
}

// FirstToken returns a percentile of the time to the first token.
func (r *Result) FirstToken(percentile float64) time.Duration {
	return time.Duration(r.first.ValueAtPercentile(percentile)) * time.Microsecond
}

// BetweenTokens returns a percentile of the time between two tokens.
func (r *Result) BetweenTokens(percentile float64) time.Duration {
	return time.Duration(r.between.ValueAtPercentile(percentile)) * time.Microsecond
}

// Print writes the counts and percentiles, one a line.
func (r *Result) Print(w io.Writer) {
	fmt.Fprintf(w, "requests %d\nattainment %.4f\n", r.Total(), r.Attainment())
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range slices.Sorted(maps.Keys(r.outcomes)) {
		fmt.Fprintf(w, "outcome %s %d\n", o, r.outcomes[o])
	}
	for _, p := range []float64{50, 95, 99} {
		fmt.Fprintf(w, "p%g first_token %v between_tokens %v\n", p, r.FirstToken(p), r.BetweenTokens(p))
	}
}
