package ledger

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Lease says whether a process may still rely on what it knows of the ledger. What it
// knows was the newest when a quorum last proved it; what has been published since may
// differ. A process that is cut off, or was stopped meanwhile, must not go on by it for
// longer than others have been promised.
//
// The hard point is a VM that was suspended: its steady clock did not count that time, so
// old proofs look new. The clock that does count it shows that it happened, and no proof
// from before is good then.
type Lease struct {
	Client *Client
	For    time.Duration // after a proof; 0 for ever

	mu        sync.Mutex
	slept     time.Duration // time that the steady clock did not count, at the last look
	looked    bool
	wokenAt   time.Time            // when that was seen to have grown; zero for never
	suspended func() time.Duration // for tests; nil for the system's clocks
}

// sleepStep is the least suspension that is one; the two clocks are not read at the
// same moment.
const sleepStep = 50 * time.Millisecond

// Valid reports whether what the process knows is good at a time.
func (l *Lease) Valid(now time.Time) bool {
	if l == nil || l.For == 0 {
		return true
	}
	proved := l.Client.Current()
	if proved.IsZero() || now.Sub(proved) >= l.For {
		return false
	}
	return proved.After(l.woken(now))
}

// woken returns when the process was last seen to have been suspended, the zero time
// for never.
func (l *Lease) woken(now time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	read := l.suspended
	if read == nil {
		read = suspendedTime
	}
	slept := read()
	if l.looked && slept > l.slept+sleepStep {
		l.wokenAt = now
	}
	if !l.looked || slept > l.slept+sleepStep {
		l.slept, l.looked = slept, true
	}
	return l.wokenAt
}

// suspendedTime returns for how long the VM has been suspended since it started.
func suspendedTime() time.Duration {
	return clockTime(unix.CLOCK_BOOTTIME) - clockTime(unix.CLOCK_MONOTONIC)
}

func clockTime(clock int32) time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(clock, &ts) != nil {
		return 0 // a system without the clock does not suspend
	}
	return time.Duration(ts.Nano())
}
