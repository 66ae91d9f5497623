package backend

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bamboostep/bamboostep"
)

func drawReport(t *rapid.T) bamboostep.Report {
	r := bamboostep.Report{
		Ready:      rapid.Bool().Draw(t, "ready"),
		Running:    rapid.IntRange(0, 9).Draw(t, "running"),
		EngineLoad: float64(rapid.IntRange(0, 999).Draw(t, "load")),
		LoadAge:    time.Duration(rapid.IntRange(0, 999).Draw(t, "age")) * time.Millisecond,
		Fence:      bamboostep.Fence{Term: rapid.Uint64().Draw(t, "term"), Sequence: rapid.Uint64().Draw(t, "sequence")},
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
