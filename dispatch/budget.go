package dispatch

import (
	"sync"
	"time"
)

// Budget limits retries to a share of the requests, so that retries cannot
// multiply the load when many attempts fail. It is a token bucket that every
// request fills by Share and every retry empties by one. PerSecond keeps a few
// retries available where requests are rare, and Burst lets a whole backend
// server's attempts be retried at once after a crash.
//
// Set the exported fields before the first call; zero fields take defaults.
type Budget struct {
	Share     float64 // retries allowed for each request
	PerSecond float64 // retries allowed each second, whatever the load
	Burst     float64 // retries saved up at most

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

// SetBurst changes how many retries may be saved up. What is saved beyond is lost.
func (b *Budget) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Burst = burst
	if b.initialized {
		b.tokens = min(b.tokens, burst)
	}
}

// Request notes that a request arrived.
func (b *Budget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.addTokens(b.Share)
}

// Retry reports whether a retry may be made, and takes it from the budget.
func (b *Budget) Retry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Left returns how many retries may be made now.
func (b *Budget) Left(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	return b.tokens
}

func (b *Budget) refill(now time.Time) {
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

func (b *Budget) addTokens(n float64) { b.tokens = min(b.tokens+n, b.Burst) }
