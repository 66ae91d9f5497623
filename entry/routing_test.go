package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/dispatch"
)

// staticServer is a backend server with a fixed report.
type staticServer struct {
	fakeServer
	report bamboostep.Report
	at     time.Time
}

func (s *staticServer) Report() (bamboostep.Report, time.Time) { return s.report, s.at }

type staticFleet struct {
	fakeFleet
	list []backendServer
}

func (f *staticFleet) Servers(string) []backendServer { return f.list }

// newStaticFleet returns a fleet of n backend servers with 40 models and adapters
// each.
func newStaticFleet(n int) *staticFleet {
	f := &staticFleet{fakeFleet: *newTestFleet(0, nil, nil)}
	for i := range n {
		s := &staticServer{fakeServer: fakeServer{vm: bamboostep.VM{Name: fmt.Sprint("vm-", i)}}, at: time.Now()}
		s.report = bamboostep.Report{Ready: true, Incarnation: 1, Sequence: 1, EngineLoad: float64(i * 91 % 900)}
		for k := range 40 {
			s.report.Replicas = append(s.report.Replicas, bamboostep.Replica{Name: fmt.Sprint("other-", k), State: bamboostep.ReplicaResident})
		}
		s.report.Replicas[7].Name = "base"
		f.list = append(f.list, s)
	}
	return f
}

func chooseAndRelease(c *callerHandler, j *job, tb testing.TB) {
	asg := c.choose(j)
	if asg == nil {
		tb.Fatal("no backend server was chosen")
	}
	asg.release()
}

func TestChooseAllocationsDoNotGrowWithServers(t *testing.T) {
	allocs := make(map[int]float64)
	for _, n := range []int{10, 200} {
		c := newTestHandler(newStaticFleet(n), nil)
		c.once.Do(c.init)
		j := &job{place: "engines", model: "base", work: 100}
		chooseAndRelease(c, j, t)
		allocs[n] = testing.AllocsPerRun(100, func() { chooseAndRelease(c, j, t) })
	}
	if got, want := allocs[200], allocs[10]; got > want {
		t.Errorf("a choice among 200 allocates %v times, among 10 %v times", got, want)
	}
}

// manualClock is a clock that only advances when a test sets it.
type manualClock struct{ current time.Time }

func (c *manualClock) Now() time.Time { return c.current }

// listCandidates computes the candidates for j without any caching.
func listCandidates(c *callerHandler, j *job, now time.Time) []bamboostep.Candidate {
	var list []bamboostep.Candidate
	for _, s := range c.Fleet.Servers(j.place) {
		r, at := s.Report()
		resident := make(map[string]bool)
		for _, replica := range r.Replicas {
			resident[replica.Name] = replica.State == bamboostep.ReplicaResident
		}
		if !r.Ready || r.Leaving || (j.model != "" && !resident[j.model]) || j.retry.FailedOn(s.VM().Name) {
			continue
		}
		state := c.servers.byVM[s.VM().Name]
		list = append(list, bamboostep.Candidate{
			VM:             s.VM().Name,
			FailureDomain:  s.VM().FailureDomain,
			Local:          s.VM().FailureDomain == c.FailureDomain,
			Resident:       j.request.Adapter == "" || resident[j.request.Adapter],
			InFlight:       state.inFlight,
			InFlightTokens: state.inFlightWork,
			QueuedTokens:   r.EngineLoad + float64(r.Waiting)*defaultAnswerTokens,
			ReportAge:      now.Sub(at.Add(-r.LoadAge)),
			CachedBlocks:   state.cache.Match(j.request.Prefix),
			Suspects:       state.inFlightSuspects,
		})
	}
	return list
}

// After any sequence of reports, choices and failures, the cached candidates equal
// those of a full listing.
func TestCachedCandidatesMatchFullListing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c", "d"}
		f := newStaticFleet(0)
		clock := &manualClock{current: time.Unix(1000, 0)}
		c := newTestHandler(f, nil)
		c.Clock = clock
		c.FailureDomain = "near"
		c.once.Do(c.init)
		var assignments []*assignment
		var removed []backendServer
		draw := func(n int, label string) int { return rapid.IntRange(0, n-1).Draw(t, label) }
		report := func(s *staticServer) {
			s.report.Sequence++
			s.report.Ready = draw(8, "ready") > 0
			s.report.Leaving = draw(8, "leaving") == 0
			s.report.EngineLoad = float64(draw(500, "load"))
			s.report.Waiting = draw(3, "waiting")
			s.report.CacheDropped = []uint64{1, 2, 3}[draw(4, "dropped"):]
			s.at = clock.current
			if draw(2, "replicas change") == 0 {
				return
			}
			s.report.Replicas = nil
			for _, name := range names {
				states := []bamboostep.ReplicaState{bamboostep.ReplicaResident, bamboostep.ReplicaLoading}
				if draw(3, "held") > 0 {
					s.report.Replicas = append(s.report.Replicas, bamboostep.Replica{Name: name, State: states[draw(2, "state")]})
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"come": func(*rapid.T) {
				domain := []string{"near", "far"}[draw(2, "domain")]
				s := &staticServer{fakeServer: fakeServer{vm: bamboostep.VM{Name: fmt.Sprint("vm-", draw(6, "vm")), FailureDomain: domain}}}
				f.list = slices.DeleteFunc(f.list, func(o backendServer) bool { return o.VM().Name == s.vm.Name })
				s.report.Incarnation = uint64(draw(2, "incarnation"))
				f.list = append(f.list, s)
				report(s)
			},
			"go": func(*rapid.T) {
				if len(f.list) > 0 {
					i := draw(len(f.list), "server")
					removed = append(removed, f.list[i])
					f.list = slices.Delete(f.list, i, i+1)
				}
			},
			"come back": func(*rapid.T) {
				if len(removed) > 0 && !slices.ContainsFunc(f.list, func(o backendServer) bool { return o.VM().Name == removed[0].VM().Name }) {
					f.list = append(f.list, removed[0])
					removed = removed[1:]
				}
			},
			"report": func(*rapid.T) {
				if len(f.list) > 0 {
					report(f.list[draw(len(f.list), "server")].(*staticServer))
				}
			},
			"end": func(*rapid.T) {
				if len(assignments) > 0 {
					assignments[0].release()
					assignments = assignments[1:]
				}
			},
			"choose": func(t *rapid.T) {
				clock.current = clock.current.Add(reportRefreshInterval)
				j := &job{place: "engines", model: append(names, "")[draw(5, "model")], work: 100}
				j.request.Adapter = append(names, "")[draw(5, "adapter")]
				j.request.Prefix = []uint64{1, 2, 3}[:draw(4, "prefix")]
				j.verdict.Alone = draw(4, "alone") == 0
				if draw(3, "tried") == 0 {
					now, vm := clock.current, fmt.Sprint("vm-", draw(6, "tried vm"))
					j.retry.Deadline = now.Add(time.Hour)
					j.retry.Budget = &dispatch.RetryBudget{}
					j.retry.AttemptFailed(now, vm, bamboostep.Failure{Outcome: bamboostep.NotRun})
				}
				got := c.candidates(j, clock.current, false).candidates
				if want := listCandidates(c, j, clock.current); !slices.Equal(got, want) {
					t.Fatalf("candidates for %+v:\ngot  %+v\nwant %+v", j.request, got, want)
				}
				if p := c.choose(j); p != nil {
					assignments = append(assignments, p)
				}
			},
		})
	})
}

// The state of removed backend servers is freed, so that replacing VMs does not
// leak memory.
func TestRemovedBackendServersAreForgotten(t *testing.T) {
	f := newStaticFleet(10)
	c := newTestHandler(f, nil)
	c.once.Do(c.init)
	j := &job{place: "engines", model: "base", work: 100}
	chooseAndRelease(c, j, t)
	f.list = f.list[:4]
	c.servers.views["engines"].refreshedAt = time.Time{}
	chooseAndRelease(c, j, t)
	if got, want := len(c.servers.byVM), 4; got != want {
		t.Errorf("%d backend servers are remembered, want %d", got, want)
	}
}

// BenchmarkChoose measures a whole decision among 200 backend servers: listing the
// candidates, scoring them and assigning the attempt.
func BenchmarkChoose(b *testing.B) {
	prompt := []uint64{1, 2, 3, 4}
	tests := map[string]struct {
		adapter string
		shared  int // leading blocks of the prompt that are cached by every backend server
	}{
		"Model":                {},
		"Adapter":              {adapter: "other-9"},
		"AdapterSharedPrompts": {adapter: "other-9", shared: 2},
	}
	for name, tt := range tests {
		b.Run(name, func(b *testing.B) {
			c := newTestHandler(newStaticFleet(200), nil)
			c.once.Do(c.init)
			j := &job{place: "engines", model: "base", work: 100, request: bamboostep.Request{Adapter: tt.adapter, Prefix: prompt}}
			chooseAndRelease(c, j, b)
			for i, state := range c.servers.views["engines"].states {
				fillCache(state, i, prompt[:tt.shared])
			}
			b.ReportAllocs()
			for b.Loop() {
				chooseAndRelease(c, j, b)
			}
		})
	}
}

// fillCache fills the prefix cache of a backend server up to its limit.
func fillCache(state *serverState, number int, prompt []uint64) {
	for k := range state.cache.Limit {
		state.cache.Add([]uint64{uint64(number*totalCacheBlocks + k + 1000)})
	}
	state.cache.Add(prompt)
}

// BenchmarkChat measures a streamed answer of eight tokens, without network.
func BenchmarkChat(b *testing.B) {
	c := newTestHandler(newTestFleet(9, answerWith(testAnswer, -1), nil), nil)
	body := `{"model":"base","stream":true,"messages":[{"role":"user","content":"how?"}]}`
	b.ReportAllocs()
	for b.Loop() {
		rec := httptest.NewRecorder()
		c.ServeHTTP(rec, httptest.NewRequest("POST", "/v1/chat/completions", strings.NewReader(body)))
		if rec.Code != http.StatusOK {
			b.Fatal(rec.Body)
		}
	}
}
