package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep/standin/engine"
)

// The schedule of one seed is the same each time, keeps its rate and moves each
// model's share tenfold.
func TestScheduleShifts(t *testing.T) {
	plan := Plan{Seed: 7, Duration: 40 * time.Second, Rate: 50, HotModels: 1, HotFactor: 10, ShiftEvery: 20 * time.Second,
		Burst: 100 * time.Millisecond, BurstSwing: 0.5, MaxTokens: 8, Prefixes: 2}
	for i := range 4 {
		name := fmt.Sprintf("m%d", i)
		plan.Targets = append(plan.Targets, Target{Name: name, Model: name})
	}
	schedule := plan.Draw()
	if n := len(schedule); n < 1700 || n > 2300 {
		t.Errorf("requests: got %d, want about 2000", n)
	}
	if again := plan.Draw(); again[100] != schedule[100] || len(again) != len(schedule) {
		t.Errorf("second draw: got %v, want %v", again[100], schedule[100])
	}
	shares := make(map[string]float64)
	for _, a := range schedule {
		if a.At >= 20*time.Second {
			shares[a.Target.Name]++
		}
	}
	least, most := 1e9, 0.0
	for _, n := range shares {
		least, most = min(least, n), max(most, n)
	}
	if ratio := most / least; ratio < 8 || ratio > 14 {
		t.Errorf("hottest model over coldest after the shift: got %.1f, want about 10", ratio)
	}
}

// streamOf answers with the reference, changed by a fault.
func streamOf(fault string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var q chatRequest
		json.NewDecoder(r.Body).Decode(&q)
		if fault == "refused" {
			w.WriteHeader(http.StatusServiceUnavailable)
			fmt.Fprint(w, `{"error":{"code":"overloaded","outcome":"not_run"}}`)
			return
		}
		text := engine.Reference("m", q.Model, q.Messages[0].Content, q.MaxTokens)
		if fault == "crossed" {
			text = engine.Reference("m", q.Model, "another", q.MaxTokens)
		}
		fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", text)
		if fault != "cut" {
			fmt.Fprint(w, "data: [DONE]\n\n")
		}
	}
}

func TestAnswersAreJudged(t *testing.T) {
	tests := map[string]struct {
		fault string
		want  Outcome
	}{
		"whole":   {"", InTime},
		"cut":     {"cut", Wrong},
		"crossed": {"crossed", Wrong},
		"refused": {"refused", "refused_overloaded"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(streamOf(tt.fault))
			defer s.Close()
			g := &Generator{Entries: []string{s.URL}, Timeout: 10 * time.Second}
			target := Target{Name: "a", Model: "m", FirstToken: 10 * time.Second}
			result := g.Run(context.Background(), []Arrival{{Target: target, Prompt: "p", Tokens: 3}})
			if got := result.Count(tt.want); got != 1 {
				t.Errorf("outcome %q: got %d, want 1 of %v", tt.want, got, result.outcomes)
			}
		})
	}
}
