package main

import (
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/bamboostep/bamboostep"
)

// This file holds the demand for each model and adapter, smoothed, which the
// placer asks for, and the usual length of their answers, which routing asks for.
//
// A count is a sum that fades by half in every halfLife, so it needs no timer and
// follows a shift of demand within a few half-lives.

const (
	demandHalfLife   = 2 * time.Second
	answerMeanWeight = 0.1  // weight of the newest answer in the mean length
	minRequestCount  = 1e-9 // faded requests; one fades so far in about five minutes
)

// demandTable holds the demand by the name that callers ask for.
type demandTable struct {
	mu   sync.Mutex
	rows map[string]*demandCounters
}

type demandCounters struct {
	updatedAt        time.Time
	requests         float64
	work             float64
	lateRequests     float64
	meanAnswerTokens float64 // tokens of an answer
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

// asked notes a request and its expected work.
func (t *demandTable) recordRequest(name string, now time.Time, work float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.row(name, now)
	r.requests++
	r.work += work
}

// missed notes a request that was refused or answered past its target.
func (t *demandTable) recordLate(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.row(name, now).lateRequests++
}

// answered notes the length of an answer.
func (t *demandTable) recordAnswer(name string, tokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.rows[name]; r != nil {
		r.meanAnswerTokens += answerMeanWeight * (float64(tokens) - r.meanAnswerTokens)
	}
}

// answerTokens returns the usual length of an answer.
func (t *demandTable) answerTokens(name string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.rows[name]; r != nil {
		return r.meanAnswerTokens
	}
	return defaultAnswerTokens
}

// list returns the demand now, by name.
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
		d := bamboostep.Demand{Name: name, Rate: r.requests * perSecond, Work: r.work * perSecond}
		if r.requests > 0 {
			d.LateShare = min(r.lateRequests/r.requests, 1)
		}
		list = append(list, d)
	}
	slices.SortFunc(list, func(a, b bamboostep.Demand) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// Demand returns what callers asked of each model and adapter of late.
func (c *callerHandler) Demand() []bamboostep.Demand {
	return c.demand.list(c.Clock.Now())
}
