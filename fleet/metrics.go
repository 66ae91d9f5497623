package fleet

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// RegisterMetrics registers gauges that summarize the view of all backend servers. They
// are computed when scraped. No gauge is labeled by backend server, so that their number
// does not grow with the fleet; each holder exports the details of its own engine.
func (f *Fleet) RegisterMetrics(r prometheus.Registerer) {
	gauge := func(name, help string, value func(s summary) float64) {
		r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: "bamboostep", Subsystem: "fleet", Name: name, Help: help,
		}, func() float64 { return value(f.summary(time.Now())) }))
	}
	gauge("backend_servers", "Backend servers that are known and do not leave.", func(s summary) float64 { return float64(s.servers) })
	gauge("list_age_seconds", "Age of the newest list of backend servers; -1 before the first.", func(s summary) float64 { return seconds(s.listAge) })
	gauge("oldest_report_age_seconds", "Age of the oldest of the last reports of engines; -1 without any.", func(s summary) float64 { return seconds(s.reportAge) })
	gauge("stale_reports", "Engines whose last report is too old to be believed.", func(s summary) float64 { return float64(s.stale) })
	gauge("waiting", "Requests that wait at engines, by their last reports.", func(s summary) float64 { return float64(s.waiting) })
	gauge("announced_engines", "Engines whose holder tells which prompts other entries have there.", func(s summary) float64 { return float64(s.announced) })
	gauge("most_waiting", "Requests that wait at the engine with the longest queue.", func(s summary) float64 { return float64(s.mostWaiting) })
}

// summary aggregates the state of all backend servers that are not leaving.
type summary struct {
	servers     int
	stale       int           // servers whose last report is older than reportMaxAge
	waiting     int           // queued requests, over all fresh reports
	announced   int           // servers whose holder tells the prompts of other entries
	mostWaiting int           // queued requests at the server with the longest queue
	listAge     time.Duration // -1 if there is no list
	reportAge   time.Duration // age of the oldest last report; -1 if there is none
}

// summary computes the summary as of now.
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
		if !s.hasFreshReport(now) {
			out.stale++
			continue
		}
		if s.announcement.usable(now, s) {
			out.announced++
		}
		out.waiting += s.report.Waiting
		out.mostWaiting = max(out.mostWaiting, s.report.Waiting)
	}
	return out
}

// seconds converts an age, with -1 for a negative one.
func seconds(d time.Duration) float64 {
	if d < 0 {
		return -1
	}
	return d.Seconds()
}
