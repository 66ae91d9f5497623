package fleet

import "time"

// What a request is expected to meet at a backend server, as time until its first
// event. An engine reads prompts one after another between the tokens of the requests
// that run, so what counts most is how much it has to read before this prompt, and how
// much of this one it keeps from others.

// Costs of a request at a backend server, as time until its first event.
const (
	prefillPerMS  = 38.0 // prompt tokens read in a millisecond
	stepCost      = 0.35 // milliseconds that each running request adds
	noRoomCost    = 400 * time.Millisecond
	farCost       = 2 * time.Millisecond   // in another failure domain, and as much again for each
	farBytes      = 1 << 10                // bytes of the request
	adapterCost   = 8 * time.Millisecond   // of an adapter that must be loaded first
	busyCost      = 500 * time.Millisecond // of waiting for a model's load before an adapter's
	failShareCost = 4 * time.Second        // of a backend server all of whose requests fail
	homeShare     = 0.7                    // part of a prompt's beginning that its home is taken to keep
	meanPrompt    = 1500                   // tokens not cached of a waiting request of another entry
	plainWork     = 30 * time.Millisecond
)

// estimated is what a request is expected to meet at a backend server.
type estimated struct {
	server   *server
	wait     time.Duration // until the first event
	cost     time.Duration // wait, and all that counts against it besides
	uncached int           // tokens
	adapter  bool
}

func (f *Fleet) estimate(now time.Time, w Want, s *server, hashes []uint64, home *server) estimated {
	e := estimated{server: s, adapter: true}
	if w.Name.Model == "" {
		e.wait = s.plainWait(now, w.Slots)
	} else {
		e.uncached = w.Tokens - s.cachedTokens(w, hashes, s == home)
		e.wait = s.engineWait(now, w, e.uncached+f.unseen(now, s))
		if w.Name.Adapter != "" && !s.models[w.Name.Model].adapters[w.Name.Adapter] {
			e.adapter = false
			e.wait += adapterCost
			if s.report.Busy {
				e.wait += busyCost
			}
		}
	}
	e.cost = e.wait + time.Duration(s.failing(now)*float64(failShareCost))
	if w.Name.Model != "" {
		e.cost += s.streamCost(now, w, e.uncached)
	}
	if s.listing.Domain != f.Domain {
		e.cost += farCost + farCost*time.Duration(w.Bytes/farBytes)
	}
	return e
}

// cachedTokens estimates how many tokens of a prompt need not be read again.
func (s *server) cachedTokens(w Want, hashes []uint64, home bool) int {
	cached := s.parts.cached(hashes)
	if !home || len(w.Prompt) < 2 {
		return cached
	}
	shared := 0
	for _, part := range w.Prompt[:len(w.Prompt)-1] {
		shared += part.Tokens
	}
	return max(cached, int(homeShare*float64(shared)))
}

// plainWait estimates the wait at a backend server of a plain service.
func (s *server) plainWait(now time.Time, slots int) time.Duration {
	if s.listing.Slots > 0 {
		slots = s.listing.Slots
	}
	busy := 0
	if now.Sub(s.loadAt) < reportMaxAge {
		busy = s.load.Running + s.load.Waiting
	}
	busy = max(busy, len(s.runs)) + s.runsSince(s.loadAt)
	return time.Duration(float64(plainWork) * float64(busy) / float64(max(1, slots)))
}

// runsSince counts own requests that began after a time.
func (s *server) runsSince(t time.Time) int {
	n := 0
	for r := range s.runs {
		if r.began.After(t) {
			n++
		}
	}
	return n
}

// engineWait estimates the wait for the first event at a model engine.
func (s *server) engineWait(now time.Time, w Want, uncached int) time.Duration {
	own := s.ownBacklog()
	backlog := own.tokens + max(0, s.waiting(now)-own.waiting)*meanPrompt
	running := own.running
	if s.hasReport(now) {
		running = max(running, s.report.Running)
	}
	wait := time.Duration(float64(backlog+uncached) / prefillPerMS * float64(time.Millisecond))
	wait += time.Duration(stepCost * float64(running) * float64(time.Millisecond))
	if s.hasReport(now) && s.lacksRoom(w, own) {
		wait += noRoomCost
	}
	return wait
}

func (s *server) hasReport(now time.Time) bool {
	return !s.reportAt.IsZero() && now.Sub(s.reportAt) <= reportMaxAge
}

func (s *server) reportAge(now time.Time) time.Duration {
	if s.reportAt.IsZero() {
		return -1
	}
	return now.Sub(s.reportAt)
}

// waiting returns how many requests an engine has that it has not read whole.
func (s *server) waiting(now time.Time) int {
	if !s.hasReport(now) {
		return 0
	}
	return s.report.Waiting + s.report.Reading
}

// lacksRoom reports whether a request would wait for slots or KV cache.
func (s *server) lacksRoom(w Want, own backlog) bool {
	if s.listing.Slots > 0 && max(s.report.Running+s.report.Waiting, own.running+own.waiting) >= s.listing.Slots {
		return true
	}
	need := w.Tokens + w.Answer
	return s.report.CacheTokens > 0 && s.report.CacheUsed+own.recent+need > s.report.CacheTokens
}

// backlog is what an entry's own requests mean to an engine.
type backlog struct {
	tokens  int // not read yet
	waiting int // requests without an event
	running int
	recent  int // tokens of KV cache of requests that the report cannot show
}

func (s *server) ownBacklog() backlog {
	var b backlog
	for r := range s.runs {
		if r.started {
			b.running++
			continue
		}
		b.waiting++
		b.tokens += r.tokens
		if r.began.After(s.reportAt) {
			b.recent += r.memory
		}
	}
	return b
}
