package holder

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/fleet"
	"github.com/bamboostep/bamboostep/pace"
	"github.com/bamboostep/bamboostep/wire"
)

// The pace of the engine: estimated from the reports that the holder polls anyway and from first events that entries tell of, and
// pushed when it has changed.

const (
	minPacePushInterval = 250 * time.Millisecond
	maxToldFirstEvents  = 64 // first events that are taken from one message
)

// paceTracker is the estimate of the engine's pace and what subscribers know of it.
type paceTracker struct {
	estimator pace.Estimator
	pushed    pace.Pace
	pushedAt  time.Time
}

// observePace adds a report to the estimate. h.mu is held.
func (h *Holder) observePace(r bamboostep.EngineReport, at time.Time) {
	h.pace.estimator.Observe(r, at)
}

// currentPace returns the pace for a report to a subscriber, nil if nothing of it is known. h.mu is held.
func (h *Holder) currentPace(now time.Time) *pace.Pace {
	p := h.pace.estimator.Pace(now)
	if p == (pace.Pace{}) {
		return nil
	}
	return &p
}

// pushPace tells the subscribers the pace if it has changed noticeably. h.mu is held.
func (h *Holder) pushPace(now time.Time) {
	p := h.pace.estimator.Pace(now)
	if p.Similar(h.pace.pushed) || now.Sub(h.pace.pushedAt) < minPacePushInterval {
		return
	}
	h.pace.pushed, h.pace.pushedAt = p, now
	h.broadcast(fleet.KindPace, fleet.PaceUpdate{StartedMS: h.report.StartedMS, Pace: p})
}

// handleFirstEvents adds the first events that an entry has seen.
func (h *Holder) handleFirstEvents(m *wire.Message) {
	var n fleet.FirstEventUpdate
	if m.Decode(&n) != nil {
		return // package wire counts the bad frame
	}
	h.observeFirstEvents(n, time.Now())
}

// observeFirstEvents adds first events to the estimate, unless they are of an earlier start of the engine.
func (h *Holder) observeFirstEvents(n fleet.FirstEventUpdate, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if n.StartedMS != h.report.StartedMS {
		return
	}
	for _, e := range n.FirstEvents[:min(len(n.FirstEvents), maxToldFirstEvents)] {
		h.pace.estimator.ObserveFirstEvent(e.Tokens, time.Duration(e.TookUS)*time.Microsecond, now)
	}
}

// registerPaceGauges registers with r the pace of h's engine; a gauge is 0 while its figure is unknown.
func registerPaceGauges(r prometheus.Registerer, h *Holder) {
	gauge := func(name, help string, value func(e *pace.Estimator, now time.Time) float64) {
		r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: "bamboostep", Subsystem: "holder", Name: name, Help: help,
		}, func() float64 {
			h.mu.Lock()
			defer h.mu.Unlock()
			return value(&h.pace.estimator, time.Now())
		}))
	}
	gauge("event_gap_seconds", "Time between two events of a stream while nothing is prefilled.", func(e *pace.Estimator, now time.Time) float64 {
		return e.Pace(now).EventGap().Seconds()
	})
	gauge("prefill_gap_seconds", "Time between two events of a stream while prompts are prefilled.", func(e *pace.Estimator, now time.Time) float64 {
		return e.Pace(now).PrefillGap().Seconds()
	})
	gauge("prefill_tokens_per_second", "Prompt tokens that the engine prefills in a second.", func(e *pace.Estimator, now time.Time) float64 {
		return e.Pace(now).PrefillPerMS * 1000
	})
	gauge("slowness", "Time that the engine takes for its work at this moment, relative to its usual.", func(e *pace.Estimator, now time.Time) float64 {
		return e.Slowness(now)
	})
}
