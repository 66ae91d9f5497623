package dispatch

import (
	"sync"
	"time"
)

// RetryBudget limits retries to a share of the requests, so that retries do not
// multiply the load when many attempts fail. It is a token bucket: each request
// adds Share tokens and each retry takes one. PerSecond refills the bucket at a
// fixed rate, so that a few retries are available when requests are rare. Burst
// is the capacity; it should cover all attempts of one backend server, so that
// they can be retried at once after a crash.
//
// Set the exported fields before the first call; zero fields take defaults. A
// RetryBudget is safe for concurrent use.
type RetryBudget struct {
	Share     float64 // retries allowed per request
	PerSecond float64 // retries allowed per second, whatever the load
	Burst     float64 // most retries that can accumulate

	mu          sync.Mutex
	initialized bool
	tokens      float64
	filledAt    time.Time
}

const (
	defaultRetryShare     = 0.2
	defaultRetryPerSecond = 2
	defaultRetryBurst     = 200
)

// SetBurst changes the capacity of the bucket. Tokens beyond it are lost.
func (b *RetryBudget) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Burst = burst
	if b.initialized {
		b.tokens = min(b.tokens, burst)
	}
}

// AddRequest records that a request arrived.
func (b *RetryBudget) AddRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.addTokens(b.Share)
}

// TakeRetry reports whether a retry is allowed, and if so takes it from the budget.
func (b *RetryBudget) TakeRetry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Available returns how many retries are allowed now.
func (b *RetryBudget) Available(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	return b.tokens
}

func (b *RetryBudget) refill(now time.Time) {
	if !b.initialized {
		b.initialized = true
		b.Share = orDefault(b.Share, defaultRetryShare)
		b.PerSecond = orDefault(b.PerSecond, defaultRetryPerSecond)
		b.Burst = orDefault(b.Burst, defaultRetryBurst)
		b.tokens = b.Burst
		b.filledAt = now
	}
	if passed := now.Sub(b.filledAt); passed > 0 {
		b.addTokens(passed.Seconds() * b.PerSecond)
		b.filledAt = now
	}
}

func (b *RetryBudget) addTokens(n float64) { b.tokens = min(b.tokens+n, b.Burst) }
