package main

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/catalog"
	"github.com/bamboostep/bamboostep/daemon"
	"github.com/bamboostep/bamboostep/timeline"
)

// fakeFleet is a fleet of fakeServers.
type fakeFleet struct {
	set *catalog.Set

	mu      sync.Mutex
	servers map[string][]*fakeServer
}

func (f *fakeFleet) Set() *catalog.Set { return f.set }

func (f *fakeFleet) Servers(place string) []backendServer {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []backendServer
	for _, s := range f.servers[place] {
		if !s.isDown() {
			list = append(list, s)
		}
	}
	return list
}

// fakeServer is a backend server whose attempts are answered by a function.
type fakeServer struct {
	vm       bamboostep.VM
	replicas []string
	offer    func(offer bamboostep.Offer, yield func(bamboostep.Answer) error) error

	mu     sync.Mutex
	down   bool
	offers []bamboostep.Offer
}

func (s *fakeServer) VM() bamboostep.VM { return s.vm }

func (s *fakeServer) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

func (s *fakeServer) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *fakeServer) Report() (bamboostep.Report, time.Time) {
	r := bamboostep.Report{VM: s.vm.Name, Ready: true, Incarnation: 1, Sequence: 1}
	for _, name := range s.replicas {
		r.Replicas = append(r.Replicas, bamboostep.Replica{Name: name, State: bamboostep.ReplicaResident})
	}
	return r, time.Now()
}

func (s *fakeServer) Offer(ctx context.Context, offer bamboostep.Offer, _ time.Duration, yield func(bamboostep.Answer) error) error {
	s.mu.Lock()
	s.offers = append(s.offers, offer)
	s.mu.Unlock()
	return s.offer(offer, yield)
}

// offered returns the offers made so far.
func (s *fakeServer) offered() []bamboostep.Offer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]bamboostep.Offer(nil), s.offers...)
}

func failure(outcome bamboostep.Outcome, code string) error {
	return &bamboostep.AttemptError{Failure: bamboostep.Failure{Outcome: outcome, Code: code}}
}

// answerWith returns an offer function that sends the rest of text after
// offer.PriorText word by word. It fails after failAfter words, or never if failAfter
// is negative.
func answerWith(text string, failAfter int) func(bamboostep.Offer, func(bamboostep.Answer) error) error {
	return func(offer bamboostep.Offer, yield func(bamboostep.Answer) error) error {
		rest := strings.TrimPrefix(text, string(offer.PriorText))
		words := strings.SplitAfter(rest, " ")
		for i, w := range words {
			if i == failAfter {
				return failure(bamboostep.Unknown, "connection_lost")
			}
			last := i == len(words)-1
			if err := yield(bamboostep.Answer{Attempt: offer.Attempt, Data: []byte(w), Tokens: 1, Last: last, FinishReason: "stop"}); err != nil {
				return err
			}
		}
		return nil
	}
}

// fakeLedger is an in-memory ledger. Its calls fail with err if that is set.
type fakeLedger struct {
	bamboostep.Ledger

	mu     sync.Mutex
	claims map[string]*bamboostep.ClaimResult
	err    error
}

func (l *fakeLedger) Claim(_ context.Context, c bamboostep.Claim) (bamboostep.ClaimResult, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil {
		return bamboostep.ClaimResult{}, l.err
	}
	if l.claims == nil {
		l.claims = make(map[string]*bamboostep.ClaimResult)
	}
	if r := l.claims[c.Name]; r != nil {
		if r.State == bamboostep.ClaimHeld && r.Holder == c.Attempt {
			return bamboostep.ClaimResult{State: bamboostep.ClaimGranted, Holder: c.Attempt}, nil
		}
		return *r, nil
	}
	l.claims[c.Name] = &bamboostep.ClaimResult{State: bamboostep.ClaimHeld, Holder: c.Attempt}
	return bamboostep.ClaimResult{State: bamboostep.ClaimGranted, Holder: c.Attempt}, nil
}

func (l *fakeLedger) Settle(_ context.Context, s bamboostep.Settlement) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil {
		return l.err
	}
	r := l.claims[s.Name]
	if r == nil || r.State != bamboostep.ClaimHeld || r.Holder != s.Attempt {
		return nil
	}
	if s.Outcome == bamboostep.NotRun {
		delete(l.claims, s.Name)
		return nil
	}
	r.State = bamboostep.ClaimSettled
	r.Settlement = s
	return nil
}

var testObjects = catalog.Objects{
	Models:   []bamboostep.Model{{Name: "base", Place: "engines", Class: bamboostep.ClassQuestion, FirstTokenMS: 390, BetweenTokensMS: 71}},
	Adapters: []bamboostep.Adapter{{Name: "seams", Model: "base", Version: "v7", WeightsMiB: 12}},
	Services: []bamboostep.Service{
		{Name: "checks", Place: "apps", PathPrefix: "/checks", Class: bamboostep.ClassQuestion, Idempotent: true, AnswerMS: 100},
		{Name: "orders", Place: "apps", PathPrefix: "/orders", Class: bamboostep.ClassWrite, NameHeader: "X-Order", NameField: "order", AnswerMS: 200},
	},
}

// newTestFleet returns a fleet of n engines and n applications that all behave
// alike.
func newTestFleet(n int, engine, app func(bamboostep.Offer, func(bamboostep.Answer) error) error) *fakeFleet {
	f := &fakeFleet{set: catalog.New(testObjects).WithRevision(7), servers: make(map[string][]*fakeServer)}
	for i := range n {
		name := string(rune('a' + i))
		f.servers["engines"] = append(f.servers["engines"], &fakeServer{vm: bamboostep.VM{Name: "engine-" + name}, replicas: []string{"base"}, offer: engine})
		f.servers["apps"] = append(f.servers["apps"], &fakeServer{vm: bamboostep.VM{Name: "app-" + name}, offer: app})
	}
	return f
}

func newTestHandler(f fleet, l bamboostep.Ledger) *callerHandler {
	return &callerHandler{Name: "entry-a", Fleet: f, Ledger: l, Clock: daemon.SystemClock{},
		Recorder: &timeline.Recorder{Process: "entry-a", Clock: &timeline.Clock{Wall: daemon.SystemClock{}}},
		Limits:   callerLimits{HeldClaimWait: time.Millisecond, NoServerWait: 20 * time.Millisecond, ClaimTimeout: 20 * time.Millisecond}}
}

func startHandler(t *testing.T, c *callerHandler) *httptest.Server {
	t.Helper()
	s := httptest.NewServer(c)
	t.Cleanup(s.Close)
	return s
}

// response is a response as the caller read it.
type response struct {
	status int
	header http.Header
	body   string
	err    error
}

func call(t *testing.T, s *httptest.Server, method, path, body string, header ...string) response {
	t.Helper()
	r, err := http.NewRequest(method, s.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	resp, err := s.Client().Do(r)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header, string(text), err}
}

// blockingEngine signals when it has started an answer, and completes it once it
// is released.
type blockingEngine struct{ started, release chan bool }

func newBlockingEngine() *blockingEngine { return &blockingEngine{make(chan bool), make(chan bool)} }

func (e *blockingEngine) offer(o bamboostep.Offer, yield func(bamboostep.Answer) error) error {
	e.started <- true
	<-e.release
	return answerWith(testAnswer, -1)(o, yield)
}

// startBusy occupies the engine with one request and feeds c measurements that
// make it predict the next one to be late. It returns a function that sends
// another request, and one that completes the first request and checks its answer.
func startBusy(t *testing.T, c *callerHandler, engine *blockingEngine) (send func() response, release func()) {
	t.Helper()
	for range 10 {
		c.observeWait(waitKey{"engines", bamboostep.ClassQuestion}, 0, 10*time.Millisecond)
		c.observeWait(waitKey{"engines", bamboostep.ClassQuestion}, 100, 5*time.Second)
	}
	s := startHandler(t, c)
	send = func() response { return call(t, s, "POST", "/v1/completions", `{"model":"base","prompt":"how?"}`) }
	first := make(chan response)
	go func() { first <- send() }()
	<-engine.started
	return send, func() {
		t.Helper()
		close(engine.release)
		if got := <-first; got.status != http.StatusOK {
			t.Errorf("first request got %+v, want 200", got)
		}
	}
}
