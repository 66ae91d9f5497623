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

// This file decides to which VMs an entry holds a connection.
//
// It holds one to every VM of its own region, always. To a VM of another region
// it opens one only for a search: a request found no backend server that could
// take it among those connected. The other regions are asked which of their VMs
// hold what is wanted, and those are opened. VMs of a region that does not answer
// are walked through instead, a few at a time, since they may hold it all the
// same. A connection that was opened so is closed once it has served nothing for
// a while, and never while a request is on it.
//
// Reach is a pure state machine: its shell opens and closes the connections that
// it names, and tells it what came of them.

const (
	// DirectoryWait is how long another region has to say what it holds.
	DirectoryWait = 400 * time.Millisecond
	// AnswerWait is how long a VM has to report after its connection was asked for.
	AnswerWait = 800 * time.Millisecond
	// RegionProbes is how many VMs of a region may leave a search without a report before
	// the region counts as cut off, if none of it reports.
	RegionProbes = 8
	// SearchRest is the least time between the end of a search and the next for the
	// same.
	SearchRest = time.Second
	// IdleTime is how long a connection to another region is kept unused.
	IdleTime = 30 * time.Second
	// SearchLimit bounds a search.
	SearchLimit = 5 * time.Second
	// SearchStep is the least time between two steps of a search.
	SearchStep = 20 * time.Millisecond
	// MaxProbes bounds the connections to VMs of which nobody has said what they hold,
	// and which have served nothing yet.
	MaxProbes = 32
)

// SameRegion reports whether two regions count as one. A region that is not
// declared is part of every other.
func SameRegion(a, b string) bool { return a == "" || b == "" || a == b }

// Want is what a search looks for: a VM of a place that holds a model, or any of
// the place if no model is named.
type Want struct{ Place, Model string }

// Change is a connection to open or to close.
type Change struct {
	VM   bamboostep.VM
	Open bool
}

// Reach is the set of connections of one entry. Set the exported fields before the
// first event.
type Reach struct {
	Self   string // name of the entry, so that entries walk in different orders
	Region string // own; empty if none is declared
	All    bool   // every VM counts as one of the own region

	vms      map[string]*reached
	searches map[Want]*search
}

// reached is one VM.
type reached struct {
	vm       bamboostep.VM
	open     bool
	openedAt time.Time
	usedAt   time.Time
	using    int  // requests on the connection
	probe    bool // opened only to see what the VM holds
	reported bool // since it was opened
}

// search is the state of one search.
type search struct {
	began    time.Time
	stepped  time.Time
	ended    time.Time       // zero while it goes on
	answered map[string]bool // regions that said what they hold
	opened   []string        // VMs that it wants connected
	looked   map[string]bool // VMs that it need not look at any more
}

// Own reports whether a VM counts as one of the entry's own region.
func (r *Reach) Own(vm bamboostep.VM) bool { return r.All || SameRegion(r.Region, vm.Region) }

// Add takes in a VM, new or changed.
func (r *Reach) Add(now time.Time, vm bamboostep.VM) []Change {
	if r.vms == nil {
		r.vms = make(map[string]*reached)
		r.searches = make(map[Want]*search)
	}
	v := r.vms[vm.Name]
	if v == nil {
		v = &reached{}
		r.vms[vm.Name] = v
	}
	v.vm = vm
	if r.Own(vm) {
		v.probe = false
		return r.open(now, v, nil)
	}
	return nil
}

// Remove forgets a VM.
func (r *Reach) Remove(name string) { delete(r.vms, name) }

// Holds reports whether a VM is to be connected.
func (r *Reach) Holds(name string) bool {
	v := r.vms[name]
	return v != nil && v.open
}

// Seek says that a request found nothing that could take it. It reports whether a
// search goes on, so that waiting for it makes sense, and whether the other
// regions are to be asked now.
func (r *Reach) Seek(now time.Time, w Want) (searching, ask bool, changes []Change) {
	s := r.searches[w]
	if s == nil || !s.ended.IsZero() && now.Sub(s.ended) >= SearchRest {
		if !r.isElsewhere(w.Place) {
			delete(r.searches, w)
			return false, false, nil
		}
		s = &search{began: now, answered: make(map[string]bool), looked: make(map[string]bool)}
		r.searches[w] = s
		ask = true
	}
	if !s.ended.IsZero() || now.Sub(s.stepped) < SearchStep {
		return s.ended.IsZero(), ask, nil
	}
	s.stepped = now
	changes = r.walk(now, w, s)
	if r.isOver(now, w, s) {
		s.ended = now
	}
	return s.ended.IsZero(), ask, changes
}

// Known takes another region's word on which of its VMs hold what is wanted.
func (r *Reach) Known(now time.Time, w Want, region string, vms []string) []Change {
	s := r.searches[w]
	if s == nil || !s.ended.IsZero() {
		return nil
	}
	s.answered[region] = true
	var out []Change
	for _, name := range vms {
		v := r.vms[name]
		if v == nil || s.looked[name] {
			continue
		}
		s.note(name)
		v.probe = false
		out = r.open(now, v, out)
	}
	return out
}

// Reported says that a connected VM has sent a report.
func (r *Reach) Reported(name string) {
	if v := r.vms[name]; v != nil {
		v.reported = true
	}
}

// Use says that a request goes to a VM, and reports whether its connection is
// held. Done must be called once the request has left it.
func (r *Reach) Use(name string) bool {
	v := r.vms[name]
	if v == nil || !v.open {
		return false
	}
	v.using++
	v.probe = false
	return true
}

// Done says that a request has left a VM.
func (r *Reach) Done(now time.Time, name string) {
	v := r.vms[name]
	if v == nil || v.using == 0 {
		return
	}
	v.using--
	v.usedAt = now
}

// Tick closes what has been idle and forgets old searches.
func (r *Reach) Tick(now time.Time) []Change {
	for w, s := range r.searches {
		if now.Sub(s.began) > IdleTime {
			delete(r.searches, w)
		}
	}
	var out []Change
	for _, name := range slices.Sorted(maps.Keys(r.vms)) {
		v := r.vms[name]
		if r.idle(v) && now.Sub(v.lastWanted()) >= IdleTime {
			out = r.close(v, out)
		}
	}
	return out
}

// idle reports whether a VM's connection may be closed.
func (r *Reach) idle(v *reached) bool { return v.open && v.using == 0 && !r.Own(v.vm) }

func (v *reached) lastWanted() time.Time {
	if v.usedAt.After(v.openedAt) {
		return v.usedAt
	}
	return v.openedAt
}

// walk opens the next VMs of the regions that did not answer in time.
func (r *Reach) walk(now time.Time, w Want, s *search) []Change {
	if now.Sub(s.began) < DirectoryWait {
		return nil
	}
	var out []Change
	for _, v := range r.left(now, w, s) {
		var room bool
		if room, out = r.makeRoom(now, v, out); !room {
			break
		}
		s.note(v.vm.Name)
		if !v.open {
			v.probe = true
			out = r.open(now, v, out)
		}
	}
	return out
}

// makeRoom closes another probe where there are too many for v to be one, and
// reports whether v may be opened.
func (r *Reach) makeRoom(now time.Time, v *reached, out []Change) (bool, []Change) {
	if v.open || r.countProbes() < MaxProbes {
		return true, out
	}
	spare := r.spare(now)
	if spare == nil {
		return false, out
	}
	return true, r.close(spare, out)
}

func (s *search) note(vm string) {
	s.looked[vm] = true
	s.opened = append(s.opened, vm)
}

// isOver reports whether a search has looked everywhere, or for too long.
func (r *Reach) isOver(now time.Time, w Want, s *search) bool {
	if now.Sub(s.began) >= SearchLimit {
		return true
	}
	if len(r.left(now, w, s)) > 0 {
		return false
	}
	for _, name := range s.opened {
		if v := r.vms[name]; v != nil && v.open && v.mayReport(now) {
			return false
		}
	}
	return true
}

// mayReport reports whether a VM's first report is still to be waited for.
func (v *reached) mayReport(now time.Time) bool {
	return !v.reported && now.Sub(v.openedAt) < AnswerWait
}

// isElsewhere reports whether other regions have VMs of a place.
func (r *Reach) isElsewhere(place string) bool {
	if r.All || r.Region == "" {
		return false
	}
	for _, v := range r.vms {
		if v.vm.Place == place && !r.Own(v.vm) {
			return true
		}
	}
	return false
}

// left returns the VMs that a search has yet to look at, in the order in which it
// does: those of regions that neither said what they hold nor seem cut off.
func (r *Reach) left(now time.Time, w Want, s *search) []*reached {
	silent := r.silentRegions(now, s)
	var out []*reached
	for name, v := range r.vms {
		if v.vm.Place != w.Place || r.Own(v.vm) || s.looked[name] || s.answered[v.vm.Region] || silent[v.vm.Region] {
			continue
		}
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b *reached) int {
		return cmp.Or(cmp.Compare(r.turn(s, a), r.turn(s, b)), cmp.Compare(a.vm.Name, b.vm.Name))
	})
	return out
}

// silentRegions returns the regions of which enough VMs were looked at and none
// reported.
func (r *Reach) silentRegions(now time.Time, s *search) map[string]bool {
	missed := make(map[string]int)
	reports := make(map[string]bool)
	for _, name := range s.opened {
		v := r.vms[name]
		switch {
		case v == nil || v.mayReport(now):
		case v.reported:
			reports[v.vm.Region] = true
		default:
			missed[v.vm.Region]++
		}
	}
	silent := make(map[string]bool)
	for region, n := range missed {
		silent[region] = n >= RegionProbes && !reports[region]
	}
	return silent
}

// turn spreads the walks of different entries, and of one entry at different times,
// over the VMs.
func (r *Reach) turn(s *search, v *reached) uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, r.Self, s.began.UnixNano(), v.vm.Name)
	return h.Sum64()
}

func (r *Reach) countProbes() int {
	n := 0
	for _, v := range r.vms {
		if v.open && v.probe {
			n++
		}
	}
	return n
}

// spare returns the probe that was opened first among those that are not waited
// for, or nil.
func (r *Reach) spare(now time.Time) *reached {
	var best *reached
	for _, v := range r.vms {
		if !v.probe || !r.idle(v) || v.mayReport(now) {
			continue
		}
		if best == nil || v.before(best) {
			best = v
		}
	}
	return best
}

func (v *reached) before(w *reached) bool {
	return cmp.Or(v.openedAt.Compare(w.openedAt), cmp.Compare(v.vm.Name, w.vm.Name)) < 0
}

func (r *Reach) open(now time.Time, v *reached, out []Change) []Change {
	if v.open {
		return out
	}
	v.open = true
	v.openedAt = now
	v.reported = false
	return append(out, Change{v.vm, true})
}

func (r *Reach) close(v *reached, out []Change) []Change {
	v.open = false
	v.probe = false
	return append(out, Change{v.vm, false})
}
