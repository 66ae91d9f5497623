package fleet

import (
	"slices"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/pace"
)

// Reports of holders, which describe an engine as of about 100 ms ago. For models and load
// they take precedence over the platform's list, which lags more.

// Report is a holder's report on its engine.
type Report struct {
	Address        string                   `msgpack:"address"`
	Instance       string                   `msgpack:"instance"`
	StartedMS      int64                    `msgpack:"born"` // start of the engine, Unix milliseconds
	Service        string                   `msgpack:"service"`
	Domain         string                   `msgpack:"domain"`
	Down           bool                     `msgpack:"down"` // the engine does not answer its holder
	Leaving        bool                     `msgpack:"leaving"`
	RemainingMS    int64                    `msgpack:"left_ms"` // time until the engine shuts down; 0 if unknown
	Waiting        int                      `msgpack:"waiting"` // queued requests
	Running        int                      `msgpack:"running"`
	Prefilling     int                      `msgpack:"reading"`      // running requests that are in prefill
	CacheUsed      int                      `msgpack:"cache_used"`   // tokens of KV cache in use
	CacheTokens    int                      `msgpack:"cache_tokens"` // capacity of the KV cache, tokens
	Models         []bamboostep.LoadedModel `msgpack:"models"`
	Sizes          []HeldSize               `msgpack:"sizes,omitempty"` // of held models whose declaration is gone or names another size; a size that neither names is unknown
	Loading        []string                 `msgpack:"loading"`         // models that are being loaded
	Unloading      []string                 `msgpack:"unloading"`       // models that are being unloaded
	Pending        []string                 `msgpack:"pending"`         // adapters that are being loaded
	InMemory       []string                 `msgpack:"in_memory"`       // models whose weights are in the VM's memory
	OnDisk         []string                 `msgpack:"on_disk"`         // models whose weights are on the VM's disk
	Orders         uint64                   `msgpack:"orders"`          // orders that the engine has accepted since its start
	Busy           bool                     `msgpack:"busy"`            // the engine is carrying out an order
	AgeMS          int64                    `msgpack:"age_ms"`          // age of the report when it was sent
	Pace           *pace.Pace               `msgpack:"pace,omitempty"`  // nil if nothing of it is known
	CachedPrefixes []PromptPrefix           `msgpack:"kept,omitempty"`  // prefixes that the engine has read; only in the reply to a new subscriber
}

// HeldSize is what a held model occupies on its engine.
type HeldSize struct {
	Model     string  `msgpack:"model"`
	WeightsMB float64 `msgpack:"weights_mb"`
	AdapterMB float64 `msgpack:"adapter_mb"` // of each adapter
}

// ApplyReport applies a holder's report that was received at now. A report of an unknown
// engine adds the engine if it names its service and is not older than the known start at
// the address.
func (f *Fleet) ApplyReport(r Report, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	at := now.Add(-time.Duration(r.AgeMS) * time.Millisecond)
	s := f.reportedServer(r)
	if s == nil {
		l := bamboostep.Listing{Instance: r.Instance, StartedMS: r.StartedMS, Service: r.Service, Address: r.Address, Domain: r.Domain}
		if r.Service == "" || !f.supersedes(l) {
			return
		}
		s = f.add(l)
		s.listedAt = now
	}
	changed := !samePlacement(s.report, r) || s.reportAt.IsZero()
	s.report, s.reportAt = r, at
	s.prefillShare.observe(r.Prefilling+r.Waiting > 0, now)
	s.listing.Leaving = s.listing.Leaving || r.Leaving
	if r.Pace != nil {
		f.setPace(s, *r.Pace, now)
	}
	s.setModels(r.Models)
	s.addCachedPrefixes(r.CachedPrefixes)
	if r.Leaving && r.RemainingMS > 0 && s.departsAt.IsZero() {
		s.setDeparture(at.Add(time.Duration(r.RemainingMS) * time.Millisecond))
	}
	if changed {
		f.notifyChanged()
	}
}

// reportedServer returns the server that a report describes, or nil if it is unknown. A
// holder may not know the instance name yet; then the start time identifies it.
func (f *Fleet) reportedServer(r Report) *server {
	s := f.byAddress[r.Address]
	if r.Instance == "" && s != nil && s.listing.StartedMS == r.StartedMS {
		return s
	}
	return f.servers[serverKey{r.Instance, r.StartedMS}]
}

// ApplyLoad applies a holder's load update, received at now, to the last report. It is
// ignored without an earlier report.
func (f *Fleet) ApplyLoad(address string, n LoadUpdate, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	s := f.byAddress[address]
	if s == nil || s.reportAt.IsZero() {
		return
	}
	s.report.Waiting, s.report.Running, s.report.Prefilling, s.report.CacheUsed = n.Waiting, n.Running, n.Prefilling, n.CacheUsed
	s.reportAt = now.Add(-time.Duration(n.AgeMS) * time.Millisecond)
	s.prefillShare.observe(n.Prefilling+n.Waiting > 0, now)
}

// samePlacement reports whether two reports agree on the models held or being loaded and
// on whether the engine is leaving.
func samePlacement(a, b Report) bool {
	return a.Leaving == b.Leaving && slices.Equal(a.Loading, b.Loading) && slices.Equal(a.Sizes, b.Sizes) &&
		slices.EqualFunc(a.Models, b.Models, func(x, y bamboostep.LoadedModel) bool {
			return x.Name == y.Name && slices.Equal(x.Adapters, y.Adapters)
		})
}

// AllReported reports whether the service has backend servers and each that is not leaving
// has a recent report.
func (f *Fleet) AllReported(service string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	for _, s := range f.byService[service] {
		if !s.listing.Leaving && (s.reportAt.IsZero() || now.Sub(s.reportAt) > reportMaxAge) {
			return false
		}
	}
	return len(f.byService[service]) > 0
}

// Reports returns the recent reports of the backend servers of a service that are not
// leaving.
func (f *Fleet) Reports(service string, now time.Time) []Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	var out []Report
	for _, s := range f.byService[service] {
		if !s.reportAt.IsZero() && now.Sub(s.reportAt) <= reportMaxAge && !s.listing.Leaving {
			out = append(out, s.report)
		}
	}
	return out
}
