package fleet

import (
	"math"
	"time"
)

// An engine reads prompts in chunks between the tokens of the requests that run. While
// it reads, each token of each of these takes ten times as long, so a long prompt slows
// all streams of its engine, and a long answer lasts long on an engine that reads all
// the time. The two are therefore kept apart where several engines hold a model.

const (
	readingFade = 2 * time.Second
	chunkTime   = 54 * time.Millisecond // that a chunk of a prompt adds to a step

	slowedWeight = 0.05 // of a moment that a running stream is held up, to one of waiting
	slowWeight   = 0.02 // of a moment that the own answer takes longer
)

// readingShare is the part of the time in which an engine reads prompts, of late.
type readingShare struct {
	share float64
	reads bool // at the last note
	at    time.Time
}

func (r *readingShare) note(reads bool, now time.Time) {
	r.share = r.now(now)
	r.reads, r.at = reads, now
}

func (r *readingShare) now(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	kept := math.Exp(-now.Sub(r.at).Seconds() / readingFade.Seconds())
	if r.reads {
		return r.share*kept + 1 - kept
	}
	return r.share * kept
}

// streamCost is what a request and the streams of an engine cost each other.
func (s *server) streamCost(now time.Time, w Want, uncached int) time.Duration {
	if !s.hasReport(now) {
		return 0
	}
	reads := float64(uncached) / prefillPerMS * float64(time.Millisecond)
	slowed := slowedWeight * reads * float64(s.report.Running)
	slow := slowWeight * float64(w.Answer) * s.reading.now(now) * float64(chunkTime)
	return time.Duration(slowed + slow)
}
