// Package fleet maintains an entry's view of the backend servers and chooses one for each
// request. The view combines the platform's list of backend servers, the reports of their
// holders, and the outcomes of the entry's own requests.
//
// This information is stale, and other entries choose concurrently from the same
// information. The list lags by about a second, reports by about 100 ms. An entry
// therefore adds the requests that it assigned since the last report to the reported load.
// Entries agree without communication on where prompts with the same prefix go: by
// rendezvous hashing of the prefix and the server.
//
// Fleet neither does I/O nor reads a clock, except for its metrics; its callers pass the
// time in. Separate types connect it to voters and holders.
package fleet

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/pace"
)

const (
	removeAfter           = 1500 * time.Millisecond // a server absent from lists for this long is removed
	reportMaxAge          = 3 * time.Second         // older reports are ignored
	unreachableBackoff    = 700 * time.Millisecond  // initial avoidance of a server that could not be reached; doubles with each failure
	maxUnreachableBackoff = 5 * time.Second
	overloadBackoff       = 60 * time.Millisecond // avoidance of a server that refused for load
	maxLimitAvoidance     = time.Second           // avoidance of a server whose limit is used up
	maxPermitBackoff      = 8 * time.Second       // between two permits asked for and denied
	maxPermitDoublings    = 4                     // of the time until a permit is asked for again
	failureDecay          = 4 * time.Second       // time constant with which the failure rate decays (to 1/e)
	failureWeight         = 0.25                  // weight of the newest outcome in the failure rate
)

// serverKey identifies one start of one backend server.
type serverKey struct {
	instance string
	born     int64 // start time of the process, Unix milliseconds
}

// Fleet is the view that one process has of the backend servers. It is safe for concurrent
// use. Set the exported fields before the first use.
type Fleet struct {
	Domain string // failure domain of this process
	Seed   uint64 // seed of random choices; must differ between entries

	// HasService reports whether a service is published. A listing of another service does not replace a backend
	// server at the same address. Nil counts all services as published.
	HasService func(name string) bool

	mu            sync.Mutex
	servers       map[serverKey]*server
	byAddress     map[string]*server
	byService     map[string][]*server
	listAt        time.Time               // time as of which the newest list was read; zero if there is none
	departed      map[serverKey]departure // servers removed recently
	changed       chan struct{}           // closed and replaced on each change; see Changed
	urgentDemand  chan struct{}           // capacity 1; demand should be sent at once
	prefixesReady chan struct{}           // capacity 1; a server has newPrefixes

	announcementsReady chan struct{}    // capacity 1; unannounced is not empty
	unannounced        map[*server]bool // servers whose holder should be told of pending prompts

	demand        map[ModelName]*demandCount // since it was last taken
	versionNeeds  map[VersionNeed]bool       // since they were last taken
	entryCount    int                        // number of entries, 0 if unknown
	sentRates     map[string]*sentRate       // by service
	versions      map[string]*versionHistory // software versions, by service
	plainServices map[string]*plainService   // by name
	prioritySent  map[string]priorityRates   // by service
	usages        map[string]*usage          // by service
	medians       map[string]medianPaceOf    // by service
	rng           *rand.Rand
}

// server is the state of one start of a backend server.
type server struct {
	listing  bamboostep.Listing
	listedAt time.Time             // time of the newest list that contains it
	models   map[string]*heldModel // models that it holds, by name

	report   Report
	reportAt time.Time // time as of which report was true; zero if there is none

	taken     fadingValue // share of its slots that are taken, by the headers of its answers
	slowness  fadingValue // of its VM, by the headers of its answers
	loadSlots int         // slots, by the last of them
	loadAt    time.Time   // of the last of them

	inFlight         map[*Assignment]bool // this entry's requests
	lastAssigned     *Assignment          // newest of this entry's requests; nil before the first
	silence          silence              // whether it answers this entry's requests
	usedAdapters     map[AdapterRef]bool  // adapters used by requests since these were last taken
	prefixes         prefixCache          // estimate of its prefix cache
	newPrefixes      []PromptPrefix       // prefixes read here that have not been sent to its holder
	announcement     announcement         // exchange with its holder on prompts that wait for their first event
	pace             pace.Pace            // as its holder tells, zero where unknown
	paceAt           time.Time            // when the holder told it; zero if it has not
	firstEvents      []FirstEvent         // seen here that have not been told to its holder
	prefillShare     prefillShare         // share of time that it recently spent on prefill
	departsAt        time.Time            // when it shuts down, as its holder reports; zero if unknown
	avoidUntil       time.Time            // after a failed connection or a missing model; used only if there is no other server
	unreachableCount int                  // consecutive failures to reach it
	failureShare     float64              // moving average of failed requests as of failureAt; see failureRate
	failureAt        time.Time
	overloadedUntil  time.Time // after a refusal for load; used only if there is no other server
	backoffUntil     time.Time // not used at all before this time, as the server requested
	limitedUntil     time.Time // the limit that the server names allows no request before this time
	askAfter         time.Time // no permit is asked for before this time while there is another server
	deniedPermits    int       // permits denied since the last one that was granted
	removed          bool      // no longer in the Fleet
}

// heldModel is a model that a backend server holds.
type heldModel struct {
	adapters  map[string]bool // names of the loaded adapters
	missingAt time.Time       // when the server itself said that it does not hold the model; zero if it has not
}

// init allocates the maps and channels on first use. f.mu is held.
func (f *Fleet) init() {
	if f.servers != nil {
		return
	}
	f.servers = make(map[serverKey]*server)
	f.byAddress = make(map[string]*server)
	f.departed = make(map[serverKey]departure)
	f.byService = make(map[string][]*server)
	f.changed = make(chan struct{})
	f.urgentDemand = make(chan struct{}, 1)
	f.prefixesReady = make(chan struct{}, 1)
	f.announcementsReady = make(chan struct{}, 1)
	f.unannounced = make(map[*server]bool)
	f.demand = make(map[ModelName]*demandCount)
	f.versionNeeds = make(map[VersionNeed]bool)
	f.sentRates = make(map[string]*sentRate)
	f.versions = make(map[string]*versionHistory)
	f.plainServices = make(map[string]*plainService)
	f.prioritySent = make(map[string]priorityRates)
	f.usages = make(map[string]*usage)
	f.medians = make(map[string]medianPaceOf)
	f.rng = newRNG(f.Seed)
}

// Changed returns a channel that is closed when a backend server is added, removed or
// changes what it holds.
func (f *Fleet) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	return f.changed
}

// notifyChanged closes the channel that Changed returned. f.mu is held.
func (f *Fleet) notifyChanged() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// ApplyList applies a list of the platform that was read at time at. Lists may arrive out
// of order.
func (f *Fleet) ApplyList(listings []bamboostep.Listing, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	if at.After(f.listAt) {
		f.listAt = at
	}
	named := make(map[serverKey]bool, len(listings))
	for _, l := range listings {
		named[serverKey{l.Instance, l.StartedMS}] = true
		f.applyListing(l, at)
	}
	for k, s := range f.servers {
		if !named[k] && at.Sub(s.listedAt) > removeAfter {
			f.remove(k, s)
			f.recordDeparture(k, s.listing.Leaving, at)
		}
	}
	f.noteVersions(at)
	f.notifyChanged()
}

// applyListing adds or updates one listed server. A server that was seen leaving keeps
// that mark, and fresh reports take precedence over the listed models. f.mu is held.
func (f *Fleet) applyListing(l bamboostep.Listing, at time.Time) {
	k := serverKey{l.Instance, l.StartedMS}
	s := f.servers[k]
	if s == nil {
		if !f.supersedes(l) || !f.mayAdd(k, at) {
			return
		}
		l.Leaving = l.Leaving || f.departed[k].leaving
		s = f.add(l)
	}
	if at.Before(s.listedAt) {
		return
	}
	s.listedAt = at
	leaving := l.Leaving || s.listing.Leaving
	s.listing = l
	s.listing.Leaving = leaving
	if s.reportAt.IsZero() || at.Sub(s.reportAt) > reportMaxAge {
		s.setModels(l.Models)
	}
}

// supersedes reports whether an unknown start is at least as new as the known one at the
// same address, and not of a service that does not exist.
func (f *Fleet) supersedes(l bamboostep.Listing) bool {
	old := f.byAddress[l.Address]
	if old == nil {
		return true
	}
	return l.StartedMS >= old.listing.StartedMS && (f.hasService(l.Service) || !f.hasService(old.listing.Service))
}

func (f *Fleet) hasService(name string) bool { return f.HasService == nil || f.HasService(name) }

// add adds a server and removes an earlier start at the same address.
func (f *Fleet) add(l bamboostep.Listing) *server {
	if old := f.byAddress[l.Address]; old != nil {
		f.remove(serverKey{old.listing.Instance, old.listing.StartedMS}, old)
	}
	s := &server{listing: l, inFlight: make(map[*Assignment]bool), models: make(map[string]*heldModel)}
	f.servers[serverKey{l.Instance, l.StartedMS}] = s
	f.byAddress[l.Address] = s
	f.byService[l.Service] = append(f.byService[l.Service], s)
	return s
}

// remove drops a server from all indexes.
func (f *Fleet) remove(k serverKey, s *server) {
	s.removed = true
	f.noteUnknownVersion(s)
	delete(f.servers, k)
	delete(f.unannounced, s)
	if f.byAddress[s.listing.Address] == s {
		delete(f.byAddress, s.listing.Address)
	}
	service := s.listing.Service
	f.byService[service] = slices.DeleteFunc(f.byService[service], func(o *server) bool { return o == s })
}

// setModels replaces the models that a server is known to hold. A model keeps its
// missingAt.
func (s *server) setModels(models []bamboostep.LoadedModel) {
	now := make(map[string]*heldModel, len(models))
	for _, m := range models {
		h := &heldModel{adapters: make(map[string]bool, len(m.Adapters))}
		for _, a := range m.Adapters {
			h.adapters[a] = true
		}
		if old := s.models[m.Name]; old != nil {
			h.missingAt = old.missingAt
		}
		now[m.Name] = h
	}
	s.models = now
}

// Addresses returns the addresses of all known backend servers of a service.
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
