package gateway

import (
	"testing"
	"time"
)

// TestStoppingTakesWhatEnds is a process that is told to stop while short and long
// streams come: one that would be cut is refused at once, so that its caller goes
// elsewhere.
func TestStoppingTakesWhatEnds(t *testing.T) {
	s := Stopping{Grace: 8 * time.Second}
	for name, c := range map[string]struct {
		passed time.Duration
		tokens int
		fits   bool
	}{
		"plain request":        {2 * time.Second, 0, true},
		"short stream":         {time.Second, 300, true},
		"long stream, at once": {0, 600, true},
		"long stream":          {time.Second, 600, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := s.Fits(c.passed, c.tokens); got != c.fits {
				t.Errorf("fits: got %v, want %v", got, c.fits)
			}
		})
	}
}

// TestStoppingUnderStreams is a process that is told to stop while streams of
// several seconds keep coming: what is taken must have the time to end.
func TestStoppingUnderStreams(t *testing.T) {
	s := Stopping{Grace: 8 * time.Second}
	for name, c := range map[string]struct {
		passed        time.Duration
		running       int64
		refuses, ends bool
	}{
		"just told":                       {0, 3, false, false},
		"callers still come":              {2700 * time.Millisecond, 3, false, false},
		"a stream taken now would be cut": {3 * time.Second, 3, true, false},
		"none left, callers may come":     {3500 * time.Millisecond, 0, true, false},
		"none left":                       {4 * time.Second, 0, true, true},
		"streams go on":                   {7500 * time.Millisecond, 1, true, false},
		"before it is killed":             {7800 * time.Millisecond, 1, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			if got := s.Refuses(c.passed); got != c.refuses {
				t.Errorf("refuses: got %v, want %v", got, c.refuses)
			}
			if got := s.Ends(c.passed, c.running); got != c.ends {
				t.Errorf("ends: got %v, want %v", got, c.ends)
			}
		})
	}
}
