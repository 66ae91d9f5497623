// Package fleet holds what an entry knows of the backend servers: the platform's
// list, the reports of their holders, and what came of the entry's own requests.
// It chooses the backend server for each request.
//
// The hard point is that all of this is late and that other entries choose at the
// same time. The list lags by about a second, reports by a tenth of one. So an
// entry counts what it has sent itself since the last report on top of it, and
// entries agree without a word on where prompts with the same beginning go, by a
// hash of the beginning and the backend server.
//
// Nothing here reads a clock or does I/O; the callers pass the time in.
package fleet

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/bamboostep/bamboostep"
)

const (
	goneAfter     = 1500 * time.Millisecond // absent from lists that are so much newer
	reportMaxAge  = 3 * time.Second         // an older report says nothing
	failedFor     = 700 * time.Millisecond  // a backend server that could not be reached is passed over
	maxFailedFor  = 5 * time.Second
	fullFor       = 60 * time.Millisecond // one that refused for load is passed over
	failureMemory = 4 * time.Second       // in which a failure's weight fades to a third
	failureWeight = 0.25                  // of one failed request in the share of failures
)

// key names one start of one backend server.
type key struct {
	instance string
	born     int64
}

// Fleet is what one entry knows. Set the exported fields before the first use.
type Fleet struct {
	Domain string // the entry's own failure domain
	Seed   uint64 // of what is left to chance; entries have different ones

	mu        sync.Mutex
	servers   map[key]*server
	byAddress map[string]*server
	byService map[string][]*server
	listAt    time.Time // when the newest list was true; zero for none
	gone      map[key]departure
	changed   chan struct{}
	urgent    chan struct{} // a model that no backend server holds was asked for
	hasNews   chan struct{} // of beginnings that were read
	demand    map[ModelName]*tally
	entries   int                  // that there are, 0 while not known
	sent      map[string]*sentRate // by service
	chance    *rand.Rand
}

// server is one backend server.
type server struct {
	listing bamboostep.Listing
	seen    time.Time // newest list that names it
	models  map[string]*held

	report   Report
	reportAt time.Time // when it was true; zero for never
	load     bamboostep.Load
	loadAt   time.Time

	runs      map[*Run]bool
	used      map[AdapterCall]bool // adapters that requests used since the holder was told
	parts     partMemory
	news      []KeptPart // beginnings read here that its holder has not been told
	reading   readingShare
	goesAt    time.Time // when it goes, by its holder; zero while that is not known
	failUntil time.Time
	failures  int     // in a row
	failShare float64 // share of requests that failed of late
	failAt    time.Time
	fullUntil time.Time
	restUntil time.Time // it wants nothing from this entry before
	gone      bool
}

// held is a model that a backend server holds.
type held struct {
	adapters map[string]bool
	absent   time.Time // the backend server said so itself at this time; zero for never
}

func (f *Fleet) init() {
	if f.servers != nil {
		return
	}
	f.servers = make(map[key]*server)
	f.byAddress = make(map[string]*server)
	f.gone = make(map[key]departure)
	f.byService = make(map[string][]*server)
	f.changed = make(chan struct{})
	f.urgent = make(chan struct{}, 1)
	f.hasNews = make(chan struct{}, 1)
	f.demand = make(map[ModelName]*tally)
	f.sent = make(map[string]*sentRate)
	f.chance = newChance(f.Seed)
}

// Changed returns a channel that is closed when backend servers came, went or
// changed what they hold.
func (f *Fleet) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	return f.changed
}

func (f *Fleet) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// NoteList takes a list of the platform that was true at a time.
func (f *Fleet) NoteList(listings []bamboostep.Listing, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	if at.After(f.listAt) {
		f.listAt = at
	}
	named := make(map[key]bool, len(listings))
	for _, l := range listings {
		named[key{l.Instance, l.Born}] = true
		f.noteListing(l, at)
	}
	for k, s := range f.servers {
		if !named[k] && at.Sub(s.seen) > goneAfter {
			f.remove(k, s)
			f.noteGone(k, s.listing.Leaving, at)
		}
	}
	f.wake()
}

func (f *Fleet) noteListing(l bamboostep.Listing, at time.Time) {
	k := key{l.Instance, l.Born}
	s := f.servers[k]
	if s == nil {
		if !f.supersedes(l) || !f.comesBack(k, at) {
			return
		}
		l.Leaving = l.Leaving || f.gone[k].leaving
		s = f.add(l)
	}
	if at.Before(s.seen) {
		return
	}
	s.seen = at
	leaving := l.Leaving || s.listing.Leaving
	s.listing = l
	s.listing.Leaving = leaving
	if s.reportAt.IsZero() || at.Sub(s.reportAt) > reportMaxAge {
		s.hold(l.Models)
	}
}

// supersedes reports whether a start that was not known is the newest at its address.
func (f *Fleet) supersedes(l bamboostep.Listing) bool {
	old := f.byAddress[l.Address]
	return old == nil || l.Born >= old.listing.Born
}

func (f *Fleet) add(l bamboostep.Listing) *server {
	if old := f.byAddress[l.Address]; old != nil {
		f.remove(key{old.listing.Instance, old.listing.Born}, old)
	}
	s := &server{listing: l, runs: make(map[*Run]bool), models: make(map[string]*held)}
	s.parts.init()
	f.servers[key{l.Instance, l.Born}] = s
	f.byAddress[l.Address] = s
	f.byService[l.Service] = append(f.byService[l.Service], s)
	return s
}

func (f *Fleet) remove(k key, s *server) {
	s.gone = true
	delete(f.servers, k)
	if f.byAddress[s.listing.Address] == s {
		delete(f.byAddress, s.listing.Address)
	}
	service := s.listing.Service
	f.byService[service] = slices.DeleteFunc(f.byService[service], func(o *server) bool { return o == s })
}

// hold replaces what a backend server is known to hold.
func (s *server) hold(models []bamboostep.HeldModel) {
	now := make(map[string]*held, len(models))
	for _, m := range models {
		h := &held{adapters: make(map[string]bool, len(m.Adapters))}
		for _, a := range m.Adapters {
			h.adapters[a] = true
		}
		if old := s.models[m.Name]; old != nil {
			h.absent = old.absent
		}
		now[m.Name] = h
	}
	s.models = now
}

// Addresses returns the addresses of all backend servers of a service.
func (f *Fleet) Addresses(service string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	addresses := make([]string, 0, len(f.byService[service]))
	for _, s := range f.byService[service] {
		addresses = append(addresses, s.listing.Address)
	}
	return addresses
}
