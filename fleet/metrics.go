package fleet

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// RegisterMetrics adds gauges of what the process knows of backend servers. They are
// worked out when a page is asked for, and name no backend server, so that they stay
// few however many there are; each holder has those of its own engine.
func (f *Fleet) RegisterMetrics(r prometheus.Registerer) {
	gauge := func(name, help string, of func(s summary) float64) {
		r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: "bamboostep", Subsystem: "fleet", Name: name, Help: help,
		}, func() float64 { return of(f.summary(time.Now())) }))
	}
	gauge("backend_servers", "Backend servers that are known and do not leave.", func(s summary) float64 { return float64(s.servers) })
	gauge("list_age_seconds", "Age of the newest list of backend servers; -1 before the first.", func(s summary) float64 { return seconds(s.listAge) })
	gauge("oldest_report_age_seconds", "Age of the oldest of the last reports of engines; -1 without any.", func(s summary) float64 { return seconds(s.reportAge) })
	gauge("stale_reports", "Engines whose last report is too old to be believed.", func(s summary) float64 { return float64(s.stale) })
	gauge("waiting", "Requests that wait at engines, by their last reports.", func(s summary) float64 { return float64(s.waiting) })
	gauge("most_waiting", "Requests that wait at the engine with the longest queue.", func(s summary) float64 { return float64(s.mostWaiting) })
}

// summary is the state of all backend servers in a few numbers.
type summary struct {
	servers     int
	stale       int
	waiting     int
	mostWaiting int
	listAge     time.Duration // below 0 for none
	reportAge   time.Duration // below 0 for none
}

func (f *Fleet) summary(now time.Time) summary {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	out := summary{listAge: -1, reportAge: -1}
	if !f.listAt.IsZero() {
		out.listAge = now.Sub(f.listAt)
	}
	for _, s := range f.servers {
		if s.listing.Leaving {
			continue
		}
		out.servers++
		if s.reportAt.IsZero() {
			continue
		}
		out.reportAge = max(out.reportAge, s.reportAge(now))
		if !s.hasReport(now) {
			out.stale++
			continue
		}
		out.waiting += s.report.Waiting
		out.mostWaiting = max(out.mostWaiting, s.report.Waiting)
	}
	return out
}

func seconds(d time.Duration) float64 {
	if d < 0 {
		return -1
	}
	return d.Seconds()
}
