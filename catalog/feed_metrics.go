package catalog

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// feedMetrics counts what a feed sends and takes. A nil *feedMetrics counts
// nothing.
type feedMetrics struct {
	sent    *prometheus.CounterVec
	taken   *prometheus.CounterVec
	refused prometheus.Counter
	unkept  prometheus.Counter
}

func newFeedMetrics(r prometheus.Registerer, f *Feed) *feedMetrics {
	if r == nil {
		return nil
	}
	m := &feedMetrics{
		sent:  newFormCounter("updates_sent_total", "Updates sent to peers, by form."),
		taken: newFormCounter("updates_received_total", "Updates received from peers, by form."),
		refused: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "bamboostep", Subsystem: "feed", Name: "updates_refused_total",
			Help: "Updates that did not fit the current set.",
		}),
	}
	m.unkept = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "bamboostep", Subsystem: "feed", Name: "revisions_not_kept_total",
		Help: "Revisions that could not be written to the feed's file.",
	})
	revision := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "bamboostep", Subsystem: "feed", Name: "revision",
		Help: "Revision in force in this process.",
	}, f.revisionGauge)
	proof := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "bamboostep", Subsystem: "feed", Name: "proof_age_seconds",
		Help: "Time since the revision in force was last proven to be the newest; -1 before the first proof.",
	}, f.proofAgeGauge)
	peers := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "bamboostep", Subsystem: "feed", Name: "peers",
		Help: "Connected peers that this process may poll.",
	}, func() float64 { return float64(f.Following()) })
	r.MustRegister(m.sent, m.taken, m.refused, m.unkept, revision, proof, peers)
	return m
}

func newFormCounter(name, help string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "bamboostep", Subsystem: "feed", Name: name, Help: help,
	}, []string{"form"})
}

func (f *Feed) revisionGauge() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return float64(f.state.revision())
}

func (f *Feed) proofAgeGauge() float64 {
	proven := f.ProvenAt()
	if proven.IsZero() {
		return never
	}
	return time.Since(proven).Seconds()
}

// form names what an update carries.
func (u update) form() string {
	if len(u.Snapshot) > 0 {
		return "snapshot"
	}
	if len(u.Deltas) > 0 {
		return "delta"
	}
	return "mark"
}

func (m *feedMetrics) countSent(u update) {
	if m != nil {
		m.sent.WithLabelValues(u.form()).Inc()
	}
}

func (m *feedMetrics) countTaken(u update) {
	if m != nil {
		m.taken.WithLabelValues(u.form()).Inc()
	}
}

func (m *feedMetrics) countRefused() {
	if m != nil {
		m.refused.Inc()
	}
}

func (m *feedMetrics) countUnkept() {
	if m != nil {
		m.unkept.Inc()
	}
}
