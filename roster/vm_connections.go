package roster

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"github.com/bamboostep/bamboostep"
)

// This file decides to which VMs an entry keeps connections.
//
// An entry is always connected to every VM of its own region. It opens connections to VMs
// of other regions only for a search, when a request found no backend server among the
// connected VMs that could take it. The caller asks the other regions which of their VMs
// hold the model or service, and the search connects to those. If a region does not answer,
// the search probes the VMs of that region a few at a time, since they may hold it too. A
// connection to another region is closed when no request has used it for IdleTimeout, and
// never while a request is using it.
//
// VMConnections is a pure state machine: the caller opens and closes the connections that it
// returns, and reports the results to it.

const (
	// DirectoryTimeout is the time that the other regions have to answer which of their VMs
	// hold the target of a search. VMs of a region without an answer are probed after it.
	DirectoryTimeout = 400 * time.Millisecond
	// ReportTimeout is the time from opening a connection to a VM until its first report is
	// overdue.
	ReportTimeout = 800 * time.Millisecond
	// MaxSilentProbes is the number of VMs of a region without a report after which a search
	// treats the region as partitioned, if none of its probed VMs has reported.
	MaxSilentProbes = 8
	// SearchCooldown is the minimum time between the end of a search and the next search for
	// the same target.
	SearchCooldown = time.Second
	// IdleTimeout is how long an unused connection to another region is kept.
	IdleTimeout = 30 * time.Second
	// SearchTimeout bounds the duration of a search.
	SearchTimeout = 5 * time.Second
	// SearchInterval is the minimum time between two steps of a search.
	SearchInterval = 20 * time.Millisecond
	// MaxProbes bounds the open probes: connections to VMs of regions that did not answer,
	// which no request has used yet.
	MaxProbes = 32
)

// SameRegion reports whether two regions are the same. An undeclared region is the same as
// any other.
func SameRegion(a, b string) bool { return a == "" || b == "" || a == b }

// SearchTarget is the target of a search: a VM of a place that holds a model, or any VM of the place
// if Model is empty.
type SearchTarget struct{ Place, Model string }

// VMChange tells the caller to open or close the connection to a VM.
type VMChange struct {
	VM   bamboostep.VM
	Open bool
}

// VMConnections holds the connections of one entry to VMs. Set the exported fields before the first
// event.
type VMConnections struct {
	Self       string // name of this entry; makes entries probe VMs in different orders
	Region     string // region of this entry; empty if none is declared
	ConnectAll bool   // treat every VM as one of this entry's region

	vms      map[string]*vmConn
	searches map[SearchTarget]*search
}

// vmConn is the state of the connection to one VM.
type vmConn struct {
	vm             bamboostep.VM
	open           bool // the caller was told to open it
	openedAt       time.Time
	lastUsedAt     time.Time
	activeRequests int  // requests that use the connection
	probe          bool // opened only to learn from its report what the VM holds
	reported       bool // the VM has reported since the connection was opened
}

// search is the state of the search for one target.
type search struct {
	startedAt       time.Time
	lastStepAt      time.Time
	endedAt         time.Time       // zero while the search is running
	answeredRegions map[string]bool // regions that answered which of their VMs hold the target
	contacted       []string        // VMs that it connected to, named by their region or probed
	visited         map[string]bool // the same VMs as a set
}

// IsLocal reports whether a VM is treated as one of this entry's region.
func (r *VMConnections) IsLocal(vm bamboostep.VM) bool {
	return r.ConnectAll || SameRegion(r.Region, vm.Region)
}

// Add adds or updates a VM. It returns a connection to open if the VM is in this entry's
// region.
func (r *VMConnections) Add(now time.Time, vm bamboostep.VM) []VMChange {
	if r.vms == nil {
		r.vms = make(map[string]*vmConn)
		r.searches = make(map[SearchTarget]*search)
	}
	v := r.vms[vm.Name]
	if v == nil {
		v = &vmConn{}
		r.vms[vm.Name] = v
	}
	v.vm = vm
	if r.IsLocal(vm) {
		v.probe = false
		return r.open(now, v, nil)
	}
	return nil
}

// Remove removes a VM. The caller closes its connection.
func (r *VMConnections) Remove(name string) { delete(r.vms, name) }

// IsOpen reports whether the connection to a VM is to be open.
func (r *VMConnections) IsOpen(name string) bool {
	v := r.vms[name]
	return v != nil && v.open
}

// Search starts a search or continues the running one, because a request found no backend
// server that could take it. searching reports whether the search is still running, so
// that waiting may help. ask reports that a search was started, so that the caller must
// ask the other regions. Without VMs of the place in other regions, Search does nothing.
func (r *VMConnections) Search(now time.Time, w SearchTarget) (searching, ask bool, changes []VMChange) {
	s := r.searches[w]
	if s == nil || !s.endedAt.IsZero() && now.Sub(s.endedAt) >= SearchCooldown {
		if !r.hasRemoteVMs(w.Place) {
			delete(r.searches, w)
			return false, false, nil
		}
		s = &search{startedAt: now, answeredRegions: make(map[string]bool), visited: make(map[string]bool)}
		r.searches[w] = s
		ask = true
	}
	if !s.endedAt.IsZero() || now.Sub(s.lastStepAt) < SearchInterval {
		return s.endedAt.IsZero(), ask, nil
	}
	s.lastStepAt = now
	changes = r.probeNext(now, w, s)
	if r.isDone(now, w, s) {
		s.endedAt = now
	}
	return s.endedAt.IsZero(), ask, changes
}

// AddHolders takes the answer of another region: the names of its VMs that hold the target.
func (r *VMConnections) AddHolders(now time.Time, w SearchTarget, region string, vms []string) []VMChange {
	s := r.searches[w]
	if s == nil || !s.endedAt.IsZero() {
		return nil
	}
	s.answeredRegions[region] = true
	var out []VMChange
	for _, name := range vms {
		v := r.vms[name]
		if v == nil || s.visited[name] {
			continue
		}
		s.markVisited(name)
		v.probe = false
		out = r.open(now, v, out)
	}
	return out
}

// MarkReported records that a connected VM has sent a report.
func (r *VMConnections) MarkReported(name string) {
	if v := r.vms[name]; v != nil {
		v.reported = true
	}
}

// Acquire marks a connection as used by a request, and reports false if it is not open. Call
// Release once the request has ended.
func (r *VMConnections) Acquire(name string) bool {
	v := r.vms[name]
	if v == nil || !v.open {
		return false
	}
	v.activeRequests++
	v.probe = false
	return true
}

// Release records that a request no longer uses a connection.
func (r *VMConnections) Release(now time.Time, name string) {
	v := r.vms[name]
	if v == nil || v.activeRequests == 0 {
		return
	}
	v.activeRequests--
	v.lastUsedAt = now
}

// Tick returns idle connections to close, and removes old searches.
func (r *VMConnections) Tick(now time.Time) []VMChange {
	for w, s := range r.searches {
		if now.Sub(s.startedAt) > IdleTimeout {
			delete(r.searches, w)
		}
	}
	var out []VMChange
	for _, name := range slices.Sorted(maps.Keys(r.vms)) {
		v := r.vms[name]
		if r.isClosable(v) && now.Sub(v.lastActivity()) >= IdleTimeout {
			out = r.close(v, out)
		}
	}
	return out
}

// isClosable reports whether a connection is open, unused and to a VM of another region.
func (r *VMConnections) isClosable(v *vmConn) bool {
	return v.open && v.activeRequests == 0 && !r.IsLocal(v.vm)
}

// lastActivity returns when the connection was opened, or last used by a request if that is
// later.
func (v *vmConn) lastActivity() time.Time {
	if v.lastUsedAt.After(v.openedAt) {
		return v.lastUsedAt
	}
	return v.openedAt
}

// probeNext opens probes to the next VMs of the regions that did not answer in time, as far
// as MaxProbes allows.
func (r *VMConnections) probeNext(now time.Time, w SearchTarget, s *search) []VMChange {
	if now.Sub(s.startedAt) < DirectoryTimeout {
		return nil
	}
	var out []VMChange
	for _, v := range r.unvisited(now, w, s) {
		var ok bool
		if ok, out = r.makeProbeRoom(now, v, out); !ok {
			break
		}
		s.markVisited(v.vm.Name)
		if !v.open {
			v.probe = true
			out = r.open(now, v, out)
		}
	}
	return out
}

// makeProbeRoom reports whether a probe to v may be opened. At MaxProbes it closes another
// probe first, if there is one whose report has arrived or is overdue.
func (r *VMConnections) makeProbeRoom(now time.Time, v *vmConn, out []VMChange) (bool, []VMChange) {
	if v.open || r.countProbes() < MaxProbes {
		return true, out
	}
	evicted := r.evictableProbe(now)
	if evicted == nil {
		return false, out
	}
	return true, r.close(evicted, out)
}

// markVisited records that the search has connected to a VM.
func (s *search) markVisited(vm string) {
	s.visited[vm] = true
	s.contacted = append(s.contacted, vm)
}

// isDone reports whether a search has ended: it has no VMs left to probe and waits for no
// report, or has reached SearchTimeout.
func (r *VMConnections) isDone(now time.Time, w SearchTarget, s *search) bool {
	if now.Sub(s.startedAt) >= SearchTimeout {
		return true
	}
	if len(r.unvisited(now, w, s)) > 0 {
		return false
	}
	for _, name := range s.contacted {
		if v := r.vms[name]; v != nil && v.open && v.awaitsReport(now) {
			return false
		}
	}
	return true
}

// awaitsReport reports whether the VM's first report is neither received nor overdue.
func (v *vmConn) awaitsReport(now time.Time) bool {
	return !v.reported && now.Sub(v.openedAt) < ReportTimeout
}

// hasRemoteVMs reports whether other regions have VMs of a place.
func (r *VMConnections) hasRemoteVMs(place string) bool {
	if r.ConnectAll || r.Region == "" {
		return false
	}
	for _, v := range r.vms {
		if v.vm.Place == place && !r.IsLocal(v.vm) {
			return true
		}
	}
	return false
}

// unvisited returns the VMs that a search may still probe, in probing order. It leaves out
// the VMs of regions that have answered or appear partitioned.
func (r *VMConnections) unvisited(now time.Time, w SearchTarget, s *search) []*vmConn {
	unresponsive := r.unresponsiveRegions(now, s)
	var out []*vmConn
	for name, v := range r.vms {
		if v.vm.Place != w.Place || r.IsLocal(v.vm) || s.visited[name] || s.answeredRegions[v.vm.Region] || unresponsive[v.vm.Region] {
			continue
		}
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b *vmConn) int {
		return cmp.Or(cmp.Compare(r.probeRank(s, a), r.probeRank(s, b)), cmp.Compare(a.vm.Name, b.vm.Name))
	})
	return out
}

// unresponsiveRegions returns the regions in which at least MaxSilentProbes reports are
// overdue and no connected VM of the search has reported.
func (r *VMConnections) unresponsiveRegions(now time.Time, s *search) map[string]bool {
	overdue := make(map[string]int)
	hasReport := make(map[string]bool)
	for _, name := range s.contacted {
		v := r.vms[name]
		switch {
		case v == nil || v.awaitsReport(now):
		case v.reported:
			hasReport[v.vm.Region] = true
		default:
			overdue[v.vm.Region]++
		}
	}
	unresponsive := make(map[string]bool)
	for region, n := range overdue {
		unresponsive[region] = n >= MaxSilentProbes && !hasReport[region]
	}
	return unresponsive
}

// probeRank orders the VMs of a search. The order differs between entries and between
// searches, so that the probes are spread over the VMs.
func (r *VMConnections) probeRank(s *search, v *vmConn) uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, r.Self, s.startedAt.UnixNano(), v.vm.Name)
	return h.Sum64()
}

// countProbes returns the number of open probes.
func (r *VMConnections) countProbes() int {
	n := 0
	for _, v := range r.vms {
		if v.open && v.probe {
			n++
		}
	}
	return n
}

// evictableProbe returns the oldest probe that is unused and whose report has arrived or is
// overdue, or nil.
func (r *VMConnections) evictableProbe(now time.Time) *vmConn {
	var oldest *vmConn
	for _, v := range r.vms {
		if !v.probe || !r.isClosable(v) || v.awaitsReport(now) {
			continue
		}
		if oldest == nil || v.openedBefore(oldest) {
			oldest = v
		}
	}
	return oldest
}

// openedBefore orders connections by opening time, then by VM name.
func (v *vmConn) openedBefore(w *vmConn) bool {
	return cmp.Or(v.openedAt.Compare(w.openedAt), cmp.Compare(v.vm.Name, w.vm.Name)) < 0
}

// open marks a connection as open and appends the change to out, if it is not open yet.
func (r *VMConnections) open(now time.Time, v *vmConn, out []VMChange) []VMChange {
	if v.open {
		return out
	}
	v.open = true
	v.openedAt = now
	v.reported = false
	return append(out, VMChange{v.vm, true})
}

// close marks a connection as closed and appends the change to out.
func (r *VMConnections) close(v *vmConn, out []VMChange) []VMChange {
	v.open = false
	v.probe = false
	return append(out, VMChange{v.vm, false})
}
