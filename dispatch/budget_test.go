package dispatch

import (
	"testing"
	"time"
)

// TestBudgetFollowsItsShare guards against an entry that restarts, and does not know yet
// how many entries there are, using the retries of all of them. A smaller burst discards
// the tokens beyond it, and a larger one does not add tokens at once.
func TestBudgetFollowsItsShare(t *testing.T) {
	now := time.Unix(1000, 0)
	retries := func(b *RetryBudget) int {
		n := 0
		for b.TakeRetry(now) {
			n++
		}
		return n
	}
	b := &RetryBudget{Share: 0.2, PerSecond: 0.01, Burst: 40}
	b.AddRequest(now)
	b.SetBurst(6)
	if got := retries(b); got != 6 {
		t.Errorf("retries after the burst became smaller: got %d, want 6", got)
	}
	b.SetBurst(40)
	if got := retries(b); got != 0 {
		t.Errorf("retries after the burst became larger: got %d, want 0", got)
	}
	for range 50 {
		b.AddRequest(now)
	}
	if got := retries(b); got < 9 || got > 10 {
		t.Errorf("retries after 50 requests: got %d, want 10", got)
	}
}
