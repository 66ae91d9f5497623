package experiment

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep/standin/load"
)

// resultOf is a result without any request answered.
func resultOf(t *testing.T, status int) *load.Result {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(status)
		w.Write([]byte(`{"error":{"code":"overloaded"}}`))
	}))
	defer s.Close()
	g := &load.Generator{Entries: []string{s.URL}, Timeout: 10 * time.Second}
	return g.Run(context.Background(), []load.Arrival{{Target: load.Target{Name: "m", Model: "m"}, Prompt: "p", Tokens: 1}})
}

func TestReportsEverySeed(t *testing.T) {
	none := resultOf(t, http.StatusServiceUnavailable)
	var runs []Run
	for _, fault := range []bool{false, true} {
		for _, s := range Systems {
			runs = append(runs, Run{Deployment: "d", Seed: 3, Fault: fault, System: s.Name, Workers: 9, Models: 2, Adapters: 5, Result: none})
		}
	}
	var out strings.Builder
	printRun(&out, runs[0])
	printComparison(&out, runs)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if got, want := len(lines), 3; got != want {
		t.Fatalf("lines: got %d, want %d:\n%s", got, want, &out)
	}
	for i, want := range []string{"moves=7 models=2 adapters=5", "seed=3 fault=false", "seed=3 fault=true"} {
		if !strings.Contains(lines[i], want) {
			t.Errorf("line %d: got %q, want %q in it", i, lines[i], want)
		}
	}
	if !strings.Contains(lines[0], "refused_overloaded=1") {
		t.Errorf("refusals by reason: got %q", lines[0])
	}
}
