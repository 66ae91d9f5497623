package gateway

import (
	"testing"
	"time"
)

// TestShutdownAcceptsStreamsThatFinish guards against streams that are cut off by a
// shutdown: a stream that would not finish in time must be rejected at once, so that its
// caller can go to another entry.
func TestShutdownAcceptsStreamsThatFinish(t *testing.T) {
	s := ShutdownPlan{Grace: 8 * time.Second}
	for name, c := range map[string]struct {
		elapsed time.Duration
		tokens  int
		fits    bool
	}{
		"plain request":        {2 * time.Second, 0, true},
		"short stream":         {time.Second, 300, true},
		"long stream, at once": {0, 600, true},
		"long stream":          {time.Second, 600, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := s.CanFinish(c.elapsed, c.tokens); got != c.fits {
				t.Errorf("fits: got %v, want %v", got, c.fits)
			}
		})
	}
}

// TestShutdownWithRunningStreams checks the phases of a shutdown while streams of
// several seconds keep arriving: what is accepted must have the time to finish.
func TestShutdownWithRunningStreams(t *testing.T) {
	s := ShutdownPlan{Grace: 8 * time.Second}
	for name, c := range map[string]struct {
		elapsed       time.Duration
		running       int64
		refuses, ends bool
	}{
		"start":                         {0, 3, false, false},
		"callers still arrive":          {2700 * time.Millisecond, 3, false, false},
		"a new stream would be cut off": {3 * time.Second, 3, true, false},
		"none left, callers may arrive": {3500 * time.Millisecond, 0, true, false},
		"none left":                     {4 * time.Second, 0, true, true},
		"streams still running":         {7500 * time.Millisecond, 1, true, false},
		"before it is killed":           {7800 * time.Millisecond, 1, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			if got := s.RejectsNew(c.elapsed); got != c.refuses {
				t.Errorf("refuses: got %v, want %v", got, c.refuses)
			}
			if got := s.ShouldExit(c.elapsed, c.running); got != c.ends {
				t.Errorf("ends: got %v, want %v", got, c.ends)
			}
		})
	}
}
