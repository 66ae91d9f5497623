package fleet

import (
	"testing"
	"time"

	"github.com/bamboostep/bamboostep"
)

// frozenEngineLoad is a load on engines of which one stands still: requests arrive at a steady
// rate, and the callers of those that get no answer leave.
const (
	frozenFor       = 6 * time.Second
	arrivalInterval = 20 * time.Millisecond
	answerTime      = 60 * time.Millisecond // to the first event, of an engine that runs
	callerPatience  = 2 * time.Second
	reportInterval  = 100 * time.Millisecond
)

// reportModel reports an engine that holds one model, at which requests of other entries wait.
func reportModel(f *Fleet, address string, now time.Time) {
	f.ApplyReport(Report{Instance: address, StartedMS: 1, Service: "s", Address: address, Domain: "a", Running: 20, Waiting: 30, CacheTokens: 100_000, Models: []bamboostep.LoadedModel{{Name: "m"}}}, now)
}

// TestFrozenEngineGetsFewRequests guards against requests that are sent to an engine whose VM
// stands still: its reports stop, and as callers leave and the last report ages, it looks like the
// least busy one. Nearly all callers must be sent elsewhere once it has answered nothing for a
// while.
func TestFrozenEngineGetsFewRequests(t *testing.T) {
	for name, answers := range map[string]bool{"engine and holder": false, "holder alone": true} {
		t.Run(name, func(t *testing.T) {
			f := &Fleet{Domain: "a", Seed: 1}
			start := time.UnixMilli(1_700_000_000_000)
			type sent struct {
				run     *Assignment
				at      time.Time
				started bool
			}
			var running []*sent
			late := 0
			for now := start; now.Before(start.Add(frozenFor)); now = now.Add(arrivalInterval) {
				if now.Sub(start)%reportInterval == 0 {
					reportModel(f, "sound-1", now)
					reportModel(f, "sound-2", now)
					if now == start {
						reportModel(f, "frozen", now)
					}
				}
				kept := running[:0]
				for _, r := range running {
					switch {
					case !answers && r.run.Address == "frozen" && now.Sub(r.at) >= callerPatience:
						r.run.End(EndedCanceled, now)
						continue
					case (answers || r.run.Address != "frozen") && now.Sub(r.at) >= 10*answerTime:
						r.run.End(EndedOK, now)
						continue
					case (answers || r.run.Address != "frozen") && now.Sub(r.at) >= answerTime && !r.started:
						r.started = true
						r.run.ObserveHeader(bamboostep.AnswerInfo{}, now)
						r.run.Started()
					}
					kept = append(kept, r)
				}
				running = kept
				run, err := f.Choose(now, Requirements{Service: "s", ModelName: ModelName{Model: "m"}, PromptTokens: 500, MaxAnswerTokens: 100})
				if err != nil {
					t.Fatal(err)
				}
				running = append(running, &sent{run: run, at: now})
				if run.Address == "frozen" && now.Sub(start) > 2*silenceThreshold {
					late++
				}
			}
			if want := 5; !answers && late > want {
				t.Errorf("frozen for %v: got %d requests to it later than %v, want at most %d", frozenFor, late, 2*silenceThreshold, want)
			}
			if want := 50; answers && late < want {
				t.Errorf("engine that answers though its holder does not report: got %d requests, want at least %d", late, want)
			}
		})
	}
}

// TestSilentEngineIsUsedAgain has an engine that answered nothing for a while report again, or
// answer.
func TestSilentEngineIsUsedAgain(t *testing.T) {
	start := time.UnixMilli(1_700_000_000_000)
	request := Requirements{Service: "s", ModelName: ModelName{Model: "m"}, PromptTokens: 500}
	for name, wake := range map[string]func(f *Fleet, r *Assignment, now time.Time){
		"report": func(f *Fleet, _ *Assignment, now time.Time) { reportModel(f, "a", now) },
		"answer": func(_ *Fleet, r *Assignment, now time.Time) { r.ObserveHeader(bamboostep.AnswerInfo{}, now) },
	} {
		t.Run(name, func(t *testing.T) {
			f := &Fleet{Domain: "a", Seed: 1}
			reportModel(f, "a", start)
			run, err := f.Choose(start, request)
			if err != nil {
				t.Fatal(err)
			}
			now := start.Add(2 * silenceThreshold)
			reportModel(f, "b", now)
			for range 3 {
				if other, err := f.Choose(now, request); err != nil || other.Address != "b" {
					t.Fatalf("while a is silent: got %v, %v, want b", other, err)
				}
			}
			wake(f, run, now)
			if again, err := f.Choose(now, Requirements{Service: "s", ModelName: ModelName{Model: "m"}, PromptTokens: 500, Exclude: []string{"b"}}); err != nil || again.Address != "a" {
				t.Errorf("after its %s: got %v, %v, want a", name, again, err)
			}
			got, _, _ := f.candidates(now, request)
			if len(got) != 2 {
				t.Errorf("after its %s: got %d candidates, want both", name, len(got))
			}
		})
	}
}
