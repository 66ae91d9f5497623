package fleet

import "time"

// Backend servers that have gone silent: the VM stands still, or its network is gone without a
// reset. Requests there get no answer, and their callers leave after a while, so that by the
// requests in flight and by a report that is too old to be used, the server looks idle. A holder
// that is silent alone, or an engine that is slow alone, is no sign of that.

// silenceThreshold is how long a backend server may leave requests without an answer while there
// is no report of it.
const silenceThreshold = time.Second

// silenceRetry is the time after which a silent server is tried again by a request.
const silenceRetry = 5 * time.Second

// silence follows whether a backend server answers this entry's requests.
type silence struct {
	answeredAt      time.Time // of the last head of a response
	unansweredSince time.Time // when the first request was sent after that; zero if there is none
	assignedAt      time.Time // of the last request
}

// assigned notes that a request is sent.
func (s *silence) assigned(now time.Time) {
	if s.unansweredSince.IsZero() {
		s.unansweredSince = now
	}
	s.assignedAt = now
}

// answered notes the head of a response of the server.
func (s *silence) answered(now time.Time) {
	s.answeredAt = now
	s.unansweredSince = time.Time{}
}

// silent reports whether a server that did report is taken to have gone silent: it has left
// requests without an answer, or been neither heard of nor asked for as long as a report counts.
func (s *server) silent(now time.Time) bool {
	if s.reportAt.IsZero() || now.Sub(s.silence.assignedAt) >= silenceRetry {
		return false
	}
	quiet := min(now.Sub(s.reportAt), now.Sub(s.silence.answeredAt))
	unanswered := !s.silence.unansweredSince.IsZero() && now.Sub(s.silence.unansweredSince) > silenceThreshold
	return quiet > silenceThreshold && unanswered || quiet > reportMaxAge
}
