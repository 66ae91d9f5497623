package ledger

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics counts what a voter does.
type metrics struct {
	leader     prometheus.Gauge
	term       prometheus.Gauge
	entries    prometheus.Counter
	overflow   prometheus.Counter
	names      prometheus.Gauge
	refused    prometheus.Gauge
	last       prometheus.Gauge
	commit     prometheus.Gauge
	appliedTo  prometheus.Gauge
	saveSecond prometheus.Histogram
}

func newMetrics(r prometheus.Registerer) *metrics {
	opts := func(name, help string) prometheus.Opts {
		return prometheus.Opts{Namespace: "bamboostep", Subsystem: "ledger", Name: name, Help: help}
	}
	m := &metrics{
		leader:    prometheus.NewGauge(prometheus.GaugeOpts(opts("leader", "1 while this voter leads."))),
		term:      prometheus.NewGauge(prometheus.GaugeOpts(opts("term", "Newest term that this voter knows."))),
		entries:   prometheus.NewCounter(prometheus.CounterOpts(opts("applied_entries_total", "Log entries applied."))),
		overflow:  prometheus.NewCounter(prometheus.CounterOpts(opts("dropped_messages_total", "Messages of voters dropped because too many waited."))),
		names:     prometheus.NewGauge(prometheus.GaugeOpts(opts("claimed_names", "Names of requests that are taken; at 65,536 new claims are refused."))),
		refused:   prometheus.NewGauge(prometheus.GaugeOpts(opts("disk_refused", "1 while the other voters know another disk under this voter's name."))),
		last:      prometheus.NewGauge(prometheus.GaugeOpts(opts("last_index", "Index of the last entry of this voter's log."))),
		commit:    prometheus.NewGauge(prometheus.GaugeOpts(opts("commit_index", "Index up to which this voter knows the log to be committed."))),
		appliedTo: prometheus.NewGauge(prometheus.GaugeOpts(opts("applied_index", "Index up to which this voter has applied the log."))),
		saveSecond: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "bamboostep",
			Subsystem: "ledger",
			Name:      "save_seconds",
			Help:      "Time to write and sync one batch of records.",
			Buckets:   prometheus.ExponentialBuckets(0.0001, 2, 14),
		}),
	}
	if r != nil {
		r.MustRegister(m.leader, m.term, m.entries, m.overflow, m.names, m.refused, m.last, m.commit, m.appliedTo, m.saveSecond)
	}
	return m
}

func (m *metrics) saved(d time.Duration) { m.saveSecond.Observe(d.Seconds()) }

func (m *metrics) applied(n int) { m.entries.Add(float64(n)) }

func (m *metrics) indexes(last, commit, applied uint64) {
	m.last.Set(float64(last))
	m.commit.Set(float64(commit))
	m.appliedTo.Set(float64(applied))
}

func (m *metrics) claimed(names int) { m.names.Set(float64(names)) }

func (m *metrics) dropped() { m.overflow.Inc() }

func (m *metrics) event(kind string) {
	switch kind {
	case eventDiskRefused:
		m.refused.Set(1)
	case "role_" + string(roleFollower):
		m.refused.Set(0)
	}
}

func (m *metrics) leading(leads bool, term uint64) {
	m.leader.Set(0)
	if leads {
		m.leader.Set(1)
	}
	m.term.Set(float64(term))
}
