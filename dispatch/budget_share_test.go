package dispatch

import (
	"testing"
	"time"
)

// Entries that start again before they know how many they are must not take the part
// of all others: what was saved beyond a smaller burst is lost, and a larger one is
// not there at once.
func TestBudgetFollowsItsShare(t *testing.T) {
	now := time.Unix(1000, 0)
	retries := func(b *Budget) int {
		n := 0
		for b.Retry(now) {
			n++
		}
		return n
	}
	b := &Budget{Share: 0.2, PerSecond: 0.01, Burst: 40}
	b.Request(now)
	b.SetBurst(6)
	if got := retries(b); got != 6 {
		t.Errorf("retries after the burst became smaller: got %d, want 6", got)
	}
	b.SetBurst(40)
	if got := retries(b); got != 0 {
		t.Errorf("retries after the burst became larger: got %d, want 0", got)
	}
	for range 50 {
		b.Request(now)
	}
	if got := retries(b); got < 9 || got > 10 {
		t.Errorf("retries after 50 requests: got %d, want 10", got)
	}
}
