package quota

import (
	"fmt"
	"sync"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/timeline"
)

// ServerID identifies one start of one backend server.
type ServerID struct {
	Instance  string `msgpack:"instance"`
	StartedMS int64  `msgpack:"started_ms"` // start time, Unix milliseconds
}

// ServerLimiter keeps on an entry the limits that backend servers name in their answers. Set
// the exported fields before the first use. A nil *ServerLimiter knows no limits.
type ServerLimiter struct {
	Recorder *timeline.Recorder
	Metrics  *ServerLimitMetrics // may be nil

	mu    sync.Mutex
	known map[ServerID]*announcement
}

// Observe applies the limit that an answer names, or that it names none. The answer was
// received at now, to a request sent at sentAt. address is for the event log.
func (m *ServerLimiter) Observe(s ServerID, address string, l bamboostep.RequestLimit, sentAt, now time.Time) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.known[s]
	if a == nil {
		if !l.Named {
			return
		}
		a = &announcement{}
		if m.known == nil {
			m.known = make(map[ServerID]*announcement)
		}
		m.known[s] = a
	}
	m.record(address, a.observe(l, sentAt, now), l)
}

// record records an event for a change. mu is held.
func (m *ServerLimiter) record(address string, change announcementChange, l bamboostep.RequestLimit) {
	e := timeline.Event{VM: address}
	switch change {
	case limitUnchanged:
		return
	case limitNamed:
		e.Kind, e.Detail = "server_limit_named", fmt.Sprintf("%g requests a second", l.PerSecond)
	case limitUnreadable:
		e.Kind, e.Detail = "server_limit_unreadable", fmt.Sprintf("%q", l.Text)
	case limitLifted:
		e.Kind = "server_limit_lifted"
	}
	m.Recorder.Record(e)
	m.Metrics.countChange(e.Kind)
}
