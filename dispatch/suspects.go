package dispatch

import (
	"time"

	"github.com/bamboostep/bamboostep"
)

// Suspects knows the requests that were running when a backend server crashed.
type Suspects struct{}

// Verdict says how a request may run.
type Verdict struct {
	Suspect    bool          // apart from other suspects only
	Refused    bool          // not at all
	RetryAfter time.Duration // when refused
}

// Judge returns how the request with the fingerprint may run.
func (s *Suspects) Judge(now time.Time, fingerprint uint64) Verdict { return Verdict{} }

// Note takes in suspects and returns those that are news.
func (s *Suspects) Note(now time.Time, list []bamboostep.Suspect) []bamboostep.Suspect { return nil }

// Cleared notes that a request ran to its end.
func (s *Suspects) Cleared(fingerprint uint64) {}
