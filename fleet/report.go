package fleet

import (
	"slices"
	"time"

	"github.com/bamboostep/bamboostep"
)

// Reports of holders: what an engine holds and does, as of a tenth of a second ago. What
// they say of load goes before the list, which lags more.

// Report is a holder's account of its backend server.
type Report struct {
	Address     string                 `msgpack:"address"`
	Instance    string                 `msgpack:"instance"`
	Born        int64                  `msgpack:"born"`
	Service     string                 `msgpack:"service"`
	Domain      string                 `msgpack:"domain"`
	Down        bool                   `msgpack:"down"` // it does not answer its holder
	Leaving     bool                   `msgpack:"leaving"`
	LeftMS      int64                  `msgpack:"left_ms"` // until it is gone, if known
	Waiting     int                    `msgpack:"waiting"`
	Running     int                    `msgpack:"running"`
	Reading     int                    `msgpack:"reading"`    // running requests whose prompt is still being read
	CacheUsed   int                    `msgpack:"cache_used"` // tokens
	CacheTokens int                    `msgpack:"cache_tokens"`
	Models      []bamboostep.HeldModel `msgpack:"models"`
	Loading     []string               `msgpack:"loading"` // models on their way
	Unloading   []string               `msgpack:"unloading"`
	Pending     []string               `msgpack:"pending"` // adapters on their way
	InMemory    []string               `msgpack:"in_memory"`
	OnDisk      []string               `msgpack:"on_disk"`
	Orders      uint64                 `msgpack:"orders"`
	Busy        bool                   `msgpack:"busy"`
	AgeMS       int64                  `msgpack:"age_ms"`         // when it was sent
	Kept        []KeptPart             `msgpack:"kept,omitempty"` // to a new follower: beginnings of prompts that the engine has read
}

// NoteReport takes a holder's report that arrived now.
func (f *Fleet) NoteReport(r Report, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	at := now.Add(-time.Duration(r.AgeMS) * time.Millisecond)
	s := f.reported(r)
	if s == nil {
		l := bamboostep.Listing{Instance: r.Instance, Born: r.Born, Service: r.Service, Address: r.Address, Domain: r.Domain}
		if r.Service == "" || !f.supersedes(l) {
			return
		}
		s = f.add(l)
		s.seen = now
	}
	changed := !sameHolding(s.report, r) || s.reportAt.IsZero()
	s.report, s.reportAt = r, at
	s.reading.note(r.Reading+r.Waiting > 0, now)
	s.listing.Leaving = s.listing.Leaving || r.Leaving
	s.hold(r.Models)
	s.noteKept(r.Kept)
	if r.Leaving && r.LeftMS > 0 && s.goesAt.IsZero() {
		s.goes(at.Add(time.Duration(r.LeftMS) * time.Millisecond))
	}
	if changed {
		f.wake()
	}
}

// reported returns the backend server that a report is of. A holder may not know the
// name of the start yet; its time tells it apart as well.
func (f *Fleet) reported(r Report) *server {
	s := f.byAddress[r.Address]
	if r.Instance == "" && s != nil && s.listing.Born == r.Born {
		return s
	}
	return f.servers[key{r.Instance, r.Born}]
}

// NoteLoad takes a holder's note that arrived now. It changes the last report.
func (f *Fleet) NoteLoad(address string, n LoadNote, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	s := f.byAddress[address]
	if s == nil || s.reportAt.IsZero() {
		return
	}
	s.report.Waiting, s.report.Running, s.report.Reading, s.report.CacheUsed = n.Waiting, n.Running, n.Reading, n.CacheUsed
	s.reportAt = now.Add(-time.Duration(n.AgeMS) * time.Millisecond)
	s.reading.note(n.Reading+n.Waiting > 0, now)
}

func sameHolding(a, b Report) bool {
	return a.Leaving == b.Leaving && slices.Equal(a.Loading, b.Loading) &&
		slices.EqualFunc(a.Models, b.Models, func(x, y bamboostep.HeldModel) bool {
			return x.Name == y.Name && slices.Equal(x.Adapters, y.Adapters)
		})
}

// AllReport reports whether there is a report of each backend server of a service.
func (f *Fleet) AllReport(service string, now time.Time) bool {
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

// Reports returns the last reports that are not too old, and those of backend
// servers that leave left out.
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
