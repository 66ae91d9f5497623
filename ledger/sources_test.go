package ledger

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a client that asks all voters again with every answer, while a proof is wanted that is newer than any voter can give: after a
// loss of power all voters answer at once, with the proof that the last leader left them, until there is a new one.
func TestWantedProofIsNotAskedForWithEachAnswer(t *testing.T) {
	const (
		bound  = 2 * time.Second
		voters = 8
		way    = time.Millisecond
		run    = bound / 4 // for which the old proof is young
	)
	var reachable []Member
	for i := range voters {
		reachable = append(reachable, Member{Name: fmt.Sprint(i), Address: fmt.Sprint(i), FailureDomain: fmt.Sprint(i % 4)})
	}
	s := newSources(bound, 2, "0", 0)
	now := time.Minute
	proved := now - way // by the leader that has gone
	s.want(now)
	asked, _ := s.tick(now, reachable)
	most := 0
	for end := now + run; now < end && most < 1<<16; now += way {
		var next []question
		for _, q := range asked {
			if q.wait > 0 {
				next = append(next, q) // held back, since there is no change
				continue
			}
			more, _ := s.answer(now, answered{question: q, proved: proved})
			checked, _ := s.tick(now, reachable) // a client looks again after each answer
			next = append(next, more...)
			next = append(next, checked...)
		}
		asked = next
		most = max(most, len(asked))
	}
	// Two are followed; a check asks each voter once, and the next one comes after the others have answered.
	if want := voters + 2; most > want {
		t.Errorf("questions under way: got %d, want at most %d", most, want)
	}
}

// Guards against a client that asks a voter over and over whose connection is gone, while there is no other to follow: each question fails at
// once, and the loop takes the whole processor and ever more memory.
func TestFailedQuestionIsNotRepeatedAtOnce(t *testing.T) {
	const bound = 2 * time.Second
	only := []Member{{Name: "a", Address: "a", FailureDomain: "0"}}
	s := newSources(bound, 2, "0", 0)
	now := time.Minute
	s.prove(now, now)
	asked, _ := s.tick(now, only)
	if len(asked) != 1 {
		t.Fatalf("questions at first: got %d, want 1", len(asked))
	}
	if again, _ := s.answer(now, answered{question: asked[0], failed: "no connection"}); len(again) > 0 {
		t.Errorf("questions after the failure: got %d, want none", len(again))
	}
	if again, _ := s.tick(now, only); len(again) > 0 {
		t.Errorf("questions at once: got %d, want none", len(again))
	}
	due := s.due(now)
	if due <= now || due > now+bound/4 {
		t.Errorf("next tick: got %v after the failure, want within a quarter of the bound", due-now)
	}
	if again, _ := s.tick(due, only); len(again) != 1 || again[0].to != only[0] {
		t.Errorf("questions after a while: got %v, want one", again)
	}
}
