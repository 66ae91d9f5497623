package backend

import (
	"cmp"
	"reflect"
	"slices"
	"time"

	"github.com/bamboostep/bamboostep"
)

// loadBody is what is new in a report, against the one before it on the same
// connection. An agent sends one to each entry several times a second, so it
// goes as an array without names. The connection keeps the order, hence an entry
// that has one report has all before it.
type loadBody struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	Sequence     uint64
	Ready        bool
	Leaving      bool
	Running      int
	Waiting      int
	EngineLoad   float32
	LoadAgeMS    uint32
	ReservedMiB  int64
	HeldMiB      int64
	Term         uint64
	Order        uint64 // sequence of the highest fence
	Revision     uint64
	CacheDropped []uint64
	Changed      []bamboostep.Replica
	Gone         []replicaName
}

type replicaName struct {
	Name    string `msgpack:"name"`
	Version string `msgpack:"version"`
}

func nameOf(r bamboostep.Replica) replicaName { return replicaName{r.Name, r.Version} }

// sameVM reports whether a and b differ in nothing that a loadBody leaves out.
func sameVM(a, b bamboostep.Report) bool {
	return a.VM == b.VM &&
		a.Place == b.Place &&
		a.FailureDomain == b.FailureDomain &&
		a.Incarnation == b.Incarnation &&
		a.MemoryMiB == b.MemoryMiB
}

// saysNothingNew reports whether r differs from the report before it in nothing but
// its number and the age of the load.
func saysNothingNew(last, r bamboostep.Report) bool {
	last.Sequence = r.Sequence
	last.LoadAge = r.LoadAge
	same := sameVM(last, r) && slices.Equal(last.Replicas, r.Replicas) && len(r.CacheDropped) == 0
	last.Replicas, last.CacheDropped = r.Replicas, r.CacheDropped
	return same && reflect.DeepEqual(last, r)
}

func newLoadBody(last, r bamboostep.Report) loadBody {
	b := loadBody{
		Sequence:     r.Sequence,
		Ready:        r.Ready,
		Leaving:      r.Leaving,
		Running:      r.Running,
		Waiting:      r.Waiting,
		EngineLoad:   float32(r.EngineLoad),
		LoadAgeMS:    uint32(r.LoadAge.Milliseconds()),
		ReservedMiB:  r.ReservedMiB,
		HeldMiB:      r.UsedMiB,
		Term:         r.Fence.Term,
		Order:        r.Fence.Sequence,
		Revision:     r.Revision,
		CacheDropped: r.CacheDropped,
	}
	if !slices.Equal(last.Replicas, r.Replicas) {
		b.Changed, b.Gone = diffReplicas(last.Replicas, r.Replicas)
	}
	return b
}

// diffReplicas returns the replicas that are new or different, and those gone.
func diffReplicas(before, after []bamboostep.Replica) (changed []bamboostep.Replica, gone []replicaName) {
	old := make(map[replicaName]bamboostep.Replica, len(before))
	for _, r := range before {
		old[nameOf(r)] = r
	}
	for _, r := range after {
		if was, ok := old[nameOf(r)]; !ok || was != r {
			changed = append(changed, r)
		}
		delete(old, nameOf(r))
	}
	for _, r := range before {
		if _, left := old[nameOf(r)]; left {
			gone = append(gone, nameOf(r))
		}
	}
	return changed, gone
}

// onto returns the report that b describes, given the one before it.
func (b loadBody) onto(r bamboostep.Report) bamboostep.Report {
	r.Sequence = b.Sequence
	r.Ready = b.Ready
	r.Leaving = b.Leaving
	r.Running = b.Running
	r.Waiting = b.Waiting
	r.EngineLoad = float64(b.EngineLoad)
	r.LoadAge = time.Duration(b.LoadAgeMS) * time.Millisecond
	r.ReservedMiB = b.ReservedMiB
	r.UsedMiB = b.HeldMiB
	r.Fence = bamboostep.FencingToken{Term: b.Term, Sequence: b.Order}
	r.Revision = b.Revision
	r.CacheDropped = b.CacheDropped
	if len(b.Changed)+len(b.Gone) > 0 {
		r.Replicas = b.replicasOnto(r.Replicas)
	}
	return r
}

func (b loadBody) replicasOnto(before []bamboostep.Replica) []bamboostep.Replica {
	replaced := make(map[replicaName]bool, len(b.Changed)+len(b.Gone))
	for _, r := range b.Changed {
		replaced[nameOf(r)] = true
	}
	for _, n := range b.Gone {
		replaced[n] = true
	}
	after := slices.Clone(b.Changed)
	for _, r := range before {
		if !replaced[nameOf(r)] {
			after = append(after, r)
		}
	}
	slices.SortFunc(after, compareReplicas)
	return after
}

func compareReplicas(a, b bamboostep.Replica) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Version, b.Version))
}
