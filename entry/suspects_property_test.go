package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/bamboostep/bamboostep"
)

const (
	crashPrompt       = "poison"
	answerWords       = 12
	wordTime          = 20 * time.Millisecond
	prefillTime       = 30 * time.Millisecond
	maxNormalRequests = 40
)

// crashingAgent is an agent whose engine crashes when it reads a certain prompt.
// It follows the agents' protocol: a suspect runs alone, and before attempts fail
// because of a crash, all entries are told which attempts were running.
type crashingAgent struct {
	vm      string
	entries []*callerHandler
	restart time.Duration

	mu      sync.Mutex
	idle    sync.Cond
	down    bool
	probes  int // suspects that wait or run
	running map[bamboostep.AttemptID]*runningAttempt
	crashes int
}

type runningAttempt struct {
	offer   bamboostep.Offer
	cancel  context.CancelFunc
	crashed bool
}

func (a *crashingAgent) VM() bamboostep.VM { return bamboostep.VM{Name: a.vm} }

func (a *crashingAgent) Report() (bamboostep.Report, time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return bamboostep.Report{VM: a.vm, Ready: !a.down, Incarnation: 1, Sequence: 1,
		Replicas: []bamboostep.Replica{{Name: "base", State: bamboostep.ReplicaResident}}}, time.Now()
}

// start waits until the offer may run. It returns nil if the engine is down.
func (a *crashingAgent) start(offer bamboostep.Offer, cancel context.CancelFunc) *runningAttempt {
	a.mu.Lock()
	defer a.mu.Unlock()
	if offer.RunAlone {
		a.probes++
	}
	for !a.down && (offer.RunAlone && len(a.running) > 0 || !offer.RunAlone && a.probes > 0) {
		a.idle.Wait()
	}
	if a.down {
		a.finish(offer)
		return nil
	}
	r := &runningAttempt{offer: offer, cancel: cancel}
	a.running[offer.Attempt] = r
	return r
}

func (a *crashingAgent) finish(offer bamboostep.Offer) {
	if offer.RunAlone {
		a.probes--
	}
	a.idle.Broadcast()
}

func (a *crashingAgent) Offer(ctx context.Context, offer bamboostep.Offer, _ time.Duration, yield func(bamboostep.Answer) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := a.start(offer, cancel)
	if r == nil {
		return failure(bamboostep.NotRun, "backend_down")
	}
	err := a.generate(ctx, offer, yield)
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.crashed {
		return &bamboostep.AttemptError{Failure: bamboostep.Failure{Outcome: bamboostep.Unknown, Code: "backend_broke_off", Crashed: true}}
	}
	delete(a.running, offer.Attempt)
	a.finish(offer)
	return err
}

func (a *crashingAgent) generate(ctx context.Context, offer bamboostep.Offer, yield func(bamboostep.Answer) error) error {
	words := strings.SplitAfter(expectedAnswer(string(offer.Request.Body)), " ")
	done := len(strings.Fields(string(offer.PriorText)))
	pause(ctx, prefillTime)
	if strings.Contains(string(offer.Request.Body), crashPrompt) && ctx.Err() == nil {
		a.crash()
	}
	for i := done; i < answerWords; i++ {
		pause(ctx, wordTime)
		if ctx.Err() != nil {
			return failure(bamboostep.Ran, "cancelled")
		}
		if err := yield(bamboostep.Answer{Attempt: offer.Attempt, Data: []byte(words[i]), Tokens: 1, Last: i == answerWords-1}); err != nil {
			return err
		}
	}
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// crash fails all running attempts and restarts the engine later.
func (a *crashingAgent) crash() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.crashes++
	a.down = true
	var batch []bamboostep.Suspect
	for id, r := range a.running {
		batch = append(batch, bamboostep.Suspect{Fingerprint: r.offer.Request.Fingerprint, Attempt: id, VM: a.vm, Crashes: 1})
	}
	for _, e := range a.entries {
		e.RecordSuspects(batch)
	}
	for id, r := range a.running {
		r.crashed = true
		r.cancel()
		delete(a.running, id)
		a.finish(r.offer)
	}
	time.AfterFunc(a.restart, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.down = false
	})
}

func expectedAnswer(body string) string {
	var words []string
	for i := range answerWords {
		words = append(words, fmt.Sprintf("%d-%d", len(body), i))
	}
	return strings.Join(words, " ")
}

type crashingFleet struct {
	fakeFleet
	agents []*crashingAgent
}

func (f *crashingFleet) Servers(string) []backendServer {
	var list []backendServer
	for _, a := range f.agents {
		list = append(list, a)
	}
	return list
}

// askModel sends a prompt and returns the text of the answer, or the error.
func askModel(t *testing.T, e *callerHandler, prompt string) (string, *httptest.ResponseRecorder, errorDetail) {
	body := `{"model":"base","stream":true,"messages":[{"content":"` + prompt + `"}]}`
	rec := httptest.NewRecorder()
	e.ServeHTTP(rec, httptest.NewRequest("POST", "/v1/chat/completions", strings.NewReader(body)))
	if rec.Code == 200 {
		text, done := streamText(t, rec.Body.String())
		if done && text == expectedAnswer(body) {
			return text, rec, errorDetail{}
		}
		return "", rec, errorDetail{Code: "wrong_answer", Message: rec.Body.String()}
	}
	var e2 errorResponse
	json.Unmarshal(rec.Body.Bytes(), &e2)
	return "", rec, e2.Error
}

// A request that crashes every backend server running it is resent repeatedly to
// any entry, among normal requests. It takes down at most two backend servers and
// is then refused at once, and all other requests get their complete answers. One
// engine may also crash independently.
func TestCrashingRequestIsContained(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ms := func(name string, low, high int) time.Duration {
			return time.Duration(rapid.IntRange(low, high).Draw(rt, name)) * time.Millisecond
		}
		agents := rapid.IntRange(2, 4).Draw(rt, "agents")
		restart := ms("restart", 100, 3000)
		resendPause := ms("poison_gap", 0, 500)
		arrivals := rapid.SliceOfN(rapid.IntRange(0, 3000), 1, maxNormalRequests).Draw(rt, "arrivals")
		kill := ms("kill", 0, 4000)
		resends := rapid.SliceOfN(rapid.IntRange(0, 2), 2, 8).Draw(rt, "resends")
		var mu sync.Mutex
		var problems []string
		problem := func(format string, args ...any) {
			mu.Lock()
			defer mu.Unlock()
			problems = append(problems, fmt.Sprintf(format, args...))
		}
		crashes := 0
		synctest.Test(t, func(t *testing.T) {
			f := &crashingFleet{fakeFleet: *newTestFleet(0, nil, nil)}
			var entries []*callerHandler
			for range 3 {
				e := newTestHandler(f, nil)
				e.Limits = callerLimits{MinDeadline: 30 * time.Second}
				e.ShareSuspects = func(list []bamboostep.Suspect) {
					for _, other := range entries {
						if other != e {
							time.AfterFunc(time.Millisecond, func() { other.RecordSuspects(list) })
						}
					}
				}
				entries = append(entries, e)
			}
			for i := range agents {
				a := &crashingAgent{vm: fmt.Sprint("vm-", i), entries: entries, restart: restart, running: make(map[bamboostep.AttemptID]*runningAttempt)}
				a.idle.L = &a.mu
				f.agents = append(f.agents, a)
			}
			var all sync.WaitGroup
			for i, at := range slices.Sorted(slices.Values(arrivals)) {
				all.Go(func() {
					time.Sleep(time.Duration(at)*time.Millisecond + time.Duration(i)*time.Microsecond)
					began := time.Now()
					if _, _, e := askModel(t, entries[i%len(entries)], strings.Repeat("x", i)); e.Code != "" {
						problem("normal request %d at %d ms got %+v after %v", i, at, e, time.Since(began))
					}
				})
			}
			all.Go(func() {
				time.Sleep(500*time.Millisecond + 100*time.Nanosecond)
				for i, entry := range resends {
					began := time.Now()
					_, rec, e := askModel(t, entries[entry], crashPrompt)
					if e.Code != "crashes_backend_servers" || rec.Header().Get("Retry-After") == "" {
						problem("sending %d of the crashing request got %+v", i, e)
					}
					if spent := time.Since(began); i > 0 && spent > 0 {
						problem("sending %d was refused after %v, want at once", i, spent)
					}
					time.Sleep(resendPause)
				}
			})
			if kill > 0 {
				time.AfterFunc(kill, f.agents[0].crash)
			}
			all.Wait()
			time.Sleep(restart + time.Minute)
			for _, a := range f.agents {
				a.mu.Lock()
				crashes += a.crashes
				a.mu.Unlock()
			}
		})
		want := 2
		if kill > 0 {
			want++
		}
		if crashes > want {
			rt.Errorf("%d backend servers crashed, want at most %d", crashes, want)
		}
		for _, p := range problems {
			rt.Error(p)
		}
	})
}
