package main

import (
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/bamboostep/bamboostep"
)

// This file measures the demand for each model and adapter, which the placer uses,
// and the mean length of answers, which routing uses.
//
// Counts decay exponentially with a half-life of demandHalfLife. That needs no
// timer and follows a change in demand within a few half-lives.

const (
	demandHalfLife   = 2 * time.Second
	answerMeanWeight = 0.1  // weight of the newest answer in the moving average
	minRequestCount  = 1e-9 // counters below it are dropped; a single request decays to it in one minute
)

// demandTable holds the demand by requested model or adapter.
type demandTable struct {
	mu   sync.Mutex
	rows map[string]*demandCounters
}

type demandCounters struct {
	updatedAt        time.Time
	requests         float64
	work             float64
	lateRequests     float64
	meanAnswerTokens float64 // moving average of the answer length
}

func (r *demandCounters) decay(now time.Time) {
	elapsed := now.Sub(r.updatedAt)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp2(-float64(elapsed) / float64(demandHalfLife))
	r.requests *= factor
	r.work *= factor
	r.lateRequests *= factor
	r.updatedAt = now
}

func (t *demandTable) row(name string, now time.Time) *demandCounters {
	if t.rows == nil {
		t.rows = make(map[string]*demandCounters)
	}
	r := t.rows[name]
	if r == nil {
		r = &demandCounters{updatedAt: now, meanAnswerTokens: defaultAnswerTokens}
		t.rows[name] = r
	}
	r.decay(now)
	return r
}

// recordRequest counts a request and its expected work.
func (t *demandTable) recordRequest(name string, now time.Time, work float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.row(name, now)
	r.requests++
	r.work += work
}

// recordLate counts a request that was refused as late or answered after its
// target.
func (t *demandTable) recordLate(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.row(name, now).lateRequests++
}

// recordAnswer updates the mean length of answers.
func (t *demandTable) recordAnswer(name string, tokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.rows[name]; r != nil {
		r.meanAnswerTokens += answerMeanWeight * (float64(tokens) - r.meanAnswerTokens)
	}
}

// answerTokens returns the mean length of answers.
func (t *demandTable) answerTokens(name string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.rows[name]; r != nil {
		return r.meanAnswerTokens
	}
	return defaultAnswerTokens
}

// list returns the current demand, sorted by name.
func (t *demandTable) list(now time.Time) []bamboostep.Demand {
	t.mu.Lock()
	defer t.mu.Unlock()
	perSecond := math.Ln2 / demandHalfLife.Seconds()
	list := make([]bamboostep.Demand, 0, len(t.rows))
	for name, r := range t.rows {
		r.decay(now)
		if r.requests < minRequestCount {
			delete(t.rows, name)
			continue
		}
		d := bamboostep.Demand{Name: name, RequestRate: r.requests * perSecond, TokenRate: r.work * perSecond}
		if r.requests > 0 {
			d.LateShare = min(r.lateRequests/r.requests, 1)
		}
		list = append(list, d)
	}
	slices.SortFunc(list, func(a, b bamboostep.Demand) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// Demand returns the recent demand of this entry's callers for each model and
// adapter.
func (c *callerHandler) Demand() []bamboostep.Demand {
	return c.demand.list(c.Clock.Now())
}
