package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep"
)

// stillServer is a backend server whose report is ready made.
type stillServer struct {
	fakeServer
	report bamboostep.Report
	at     time.Time
}

func (s *stillServer) Report() (bamboostep.Report, time.Time) { return s.report, s.at }

type stillFleet struct {
	fakeFleet
	list []server
}

func (f *stillFleet) Servers(string) []server { return f.list }

// newStillFleet returns n backend servers that hold 40 models and adapters each.
func newStillFleet(n int) *stillFleet {
	f := &stillFleet{fakeFleet: *newTestFleet(0, nil, nil)}
	for i := range n {
		s := &stillServer{fakeServer: fakeServer{vm: bamboostep.VM{Name: fmt.Sprint("vm-", i)}}, at: time.Now()}
		s.report = bamboostep.Report{Ready: true, Incarnation: 1, Sequence: 1, EngineLoad: float64(i * 91 % 900)}
		for k := range 40 {
			s.report.Replicas = append(s.report.Replicas, bamboostep.Replica{Name: fmt.Sprint("other-", k), State: bamboostep.ReplicaResident})
		}
		s.report.Replicas[7].Name = "base"
		f.list = append(f.list, s)
	}
	return f
}

func chooseOnce(c *callers, j *job, tb testing.TB) {
	p := c.choose(j)
	if p == nil {
		tb.Fatal("no backend server was chosen")
	}
	p.leave()
}

func TestChooseAllocatesNothingThatGrows(t *testing.T) {
	allocs := make(map[int]float64)
	for _, n := range []int{10, 200} {
		c := newTestCallers(newStillFleet(n), nil)
		c.once.Do(c.init)
		j := &job{place: "engines", model: "base", work: 100}
		chooseOnce(c, j, t)
		allocs[n] = testing.AllocsPerRun(100, func() { chooseOnce(c, j, t) })
	}
	if got, want := allocs[200], allocs[10]; got > want {
		t.Errorf("a choice among 200 allocates %v times, among 10 %v times", got, want)
	}
}

// A backend server that went is forgotten, so replaced VMs take no memory.
func TestGoneBackendServersAreForgotten(t *testing.T) {
	f := newStillFleet(10)
	c := newTestCallers(f, nil)
	c.once.Do(c.init)
	j := &job{place: "engines", model: "base", work: 100}
	chooseOnce(c, j, t)
	f.list = f.list[:4]
	c.lanes.views["engines"].at = time.Time{}
	chooseOnce(c, j, t)
	if got, want := len(c.lanes.byVM), 4; got != want {
		t.Errorf("%d backend servers are remembered, want %d", got, want)
	}
}

// BenchmarkChoose200 is the whole decision: listing the candidates, scoring them
// and entering the attempt.
func BenchmarkChoose200(b *testing.B) {
	c := newTestCallers(newStillFleet(200), nil)
	c.once.Do(c.init)
	j := &job{place: "engines", model: "base", work: 100, request: bamboostep.Request{Prefix: []uint64{1, 2, 3, 4}}}
	b.ReportAllocs()
	for b.Loop() {
		chooseOnce(c, j, b)
	}
}

// BenchmarkChat is one streamed answer of eight tokens, without any network.
func BenchmarkChat(b *testing.B) {
	c := newTestCallers(newTestFleet(9, speak(spoken, -1), nil), nil)
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
