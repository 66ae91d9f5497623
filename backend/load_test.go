package backend

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/wire"
)

func drawReport(t *rapid.T) bamboostep.Report {
	r := bamboostep.Report{
		Ready:      rapid.Bool().Draw(t, "ready"),
		Running:    rapid.IntRange(0, 9).Draw(t, "running"),
		EngineLoad: float64(rapid.IntRange(0, 999).Draw(t, "load")),
		LoadAge:    time.Duration(rapid.IntRange(0, 999).Draw(t, "age")) * time.Millisecond,
		Fence:      bamboostep.FencingToken{Term: rapid.Uint64().Draw(t, "term"), Sequence: rapid.Uint64().Draw(t, "sequence")},
	}
	names := rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}), rapid.ID[string]).Draw(t, "names")
	slices.Sort(names)
	for _, name := range names {
		r.Replicas = append(r.Replicas, bamboostep.Replica{
			Name:  name,
			State: rapid.SampledFrom([]bamboostep.ReplicaState{bamboostep.ReplicaLoading, bamboostep.ReplicaResident}).Draw(t, "state"),
		})
	}
	return r
}

// An entry that has one report and gets what is new has the next report.
func TestLoadBodyGivesTheNextReport(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		last, want := drawReport(t), drawReport(t)
		got := newLoadBody(last, want).onto(last)
		if !slices.Equal(got.Replicas, want.Replicas) {
			t.Errorf("got replicas %v, want %v", got.Replicas, want.Replicas)
		}
		got.Replicas, want.Replicas = nil, nil
		if !reflect.DeepEqual(got, want) {
			t.Errorf("got report %+v, want %+v", got, want)
		}
	})
}

// drawNextReport returns a report that differs from the last in one thing at most,
// besides the age of the load.
func drawNextReport(t *rapid.T, last bamboostep.Report) bamboostep.Report {
	r := last
	r.CacheDropped = nil
	r.LoadAge += time.Millisecond
	switch rapid.IntRange(0, 9).Draw(t, "what is new") {
	case 0:
		r.Running++
	case 1:
		r.Waiting++
	case 2:
		r.Ready = !r.Ready
	case 3:
		r.Leaving = !r.Leaving
	case 4:
		r.EngineLoad++
	case 5:
		r.UsedMiB++
	case 6:
		r.Revision++
	case 7:
		r.CacheDropped = []uint64{1}
	}
	return r
}

// Whatever reports an agent makes, an entry that is sent only what is new has each
// one's content, but for its number and the age of the load; and no report is older
// than its bound.
func TestLeftOutReportsSayNothingNew(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &peer{conn: &wire.Conn{}}
		var now, sentAt time.Duration
		var at bamboostep.Report // as the entry has it
		known := false
		for i := range rapid.IntRange(1, 20).Draw(t, "reports") {
			r := drawReport(t)
			if known && rapid.Bool().Draw(t, "little new") {
				r = drawNextReport(t, at)
			}
			r.Sequence = uint64(i)
			now += time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond
			if p.isDue(now, r) {
				p.last, p.lastAt = &r, now
				at, known, sentAt = r, true, now
			}
			if age := now - sentAt; age >= maxReportAge {
				t.Fatalf("the last report is %v old, want less than %v", age, maxReportAge)
			}
			want := r
			want.Sequence, want.LoadAge = at.Sequence, at.LoadAge
			at.CacheDropped, want.CacheDropped = nil, slices.Clone(want.CacheDropped)
			if at.Sequence == r.Sequence {
				want.CacheDropped = nil // it was told
			}
			if !reflect.DeepEqual(at, want) {
				t.Fatalf("the entry has %+v, want %+v", at, want)
			}
		}
	})
}
