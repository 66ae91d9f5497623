package wire

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts what connections carry. A nil *Metrics counts nothing.
type Metrics struct {
	sentBytes     prometheus.Counter
	receivedBytes prometheus.Counter
	badFrames     prometheus.Counter
	silentConns   prometheus.Counter
	strayReplies  prometheus.Counter
	notAccepted   prometheus.Counter
}

// NewMetrics registers the counters with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		sentBytes:     newCounter("sent_bytes_total", "Bytes written to other processes of the system."),
		receivedBytes: newCounter("received_bytes_total", "Bytes of message bodies read from other processes of the system."),
		badFrames:     newCounter("bad_frames_total", "Connections closed for a malformed or oversized frame."),
		silentConns:   newCounter("silent_connections_total", "Connections abandoned because they brought nothing."),
		strayReplies:  newCounter("stray_replies_total", "Replies that no call was waiting for."),
		notAccepted:   newCounter("accept_errors_total", "Times that a connection could not be accepted, for example for want of descriptors."),
	}
	r.MustRegister(m.sentBytes, m.receivedBytes, m.badFrames, m.silentConns, m.strayReplies, m.notAccepted)
	return m
}

func newCounter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "bamboostep",
		Subsystem: "wire",
		Name:      name,
		Help:      help,
	})
}

func (m *Metrics) countSent(n int64) {
	if m != nil {
		m.sentBytes.Add(float64(n))
	}
}

func (m *Metrics) countReceived(n int) {
	if m != nil {
		m.receivedBytes.Add(float64(n))
	}
}

func (m *Metrics) countBad() {
	if m != nil {
		m.badFrames.Inc()
	}
}

func (m *Metrics) countSilent() {
	if m != nil {
		m.silentConns.Inc()
	}
}

func (m *Metrics) countStray() {
	if m != nil {
		m.strayReplies.Inc()
	}
}

func (m *Metrics) countNotAccepted() {
	if m != nil {
		m.notAccepted.Inc()
	}
}
