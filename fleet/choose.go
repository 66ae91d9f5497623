package fleet

import (
	"fmt"
	"slices"
	"time"

	"github.com/bamboostep/bamboostep"
)

// Want is what a request needs of a backend server.
type Want struct {
	Service string
	Name    ModelName // empty for a plain service
	Prompt  []bamboostep.PromptPart
	Tokens  int           // of the prompt
	Answer  int           // tokens at most
	Bytes   int           // of the request
	Slots   int           // of one backend server, where its listing does not say
	Avoid   []string      // addresses that failed this request
	Longest time.Duration // a longer wait for the first event is of no use; 0 for any
	Apart   bool          // any backend server by chance, not the one that others choose too
}

// NoServerError says why no backend server can take a request.
type NoServerError struct {
	Service string
	Reason  Reason
	Wait    time.Duration // of the best, where Reason is ReasonBusy
}

// Reason says why no backend server was chosen.
type Reason string

// The reasons.
const (
	ReasonNoServer Reason = "no_backend_server" // none of the service is known to be up
	ReasonNoModel  Reason = "model_not_held"    // none holds the model
	ReasonBusy     Reason = "all_busy"          // none would begin in time
	ReasonResting  Reason = "all_resting"       // those that could have asked this entry to wait
)

// Error implements error.
func (e *NoServerError) Error() string {
	return fmt.Sprintf("service %q: %s", e.Service, e.Reason)
}

// Run is one request of this entry at one backend server.
type Run struct {
	Address  string
	Instance string
	Domain   string
	Adapter  bool          // the adapter is there already, or none is needed
	Wait     time.Duration // expected until the first event

	// ReportAge is how old the backend server's report was that Wait rests on; below 0
	// without one.
	ReportAge time.Duration
	Running   int // by that report
	Waiting   int // by that report, for a place or while their prompts are read

	fleet   *Fleet
	server  *server
	hashes  []uint64
	prompt  []bamboostep.PromptPart
	tokens  int // not cached, while no event has come
	memory  int // tokens of KV cache
	began   time.Time
	started bool
	leaves  chan struct{} // closed once it is known when the backend server goes
}

// Choose picks a backend server and counts the request there until Run.End. The
// error is a *NoServerError.
func (f *Fleet) Choose(now time.Time, w Want) (*Run, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	hashes := chainHashes(w.Name, w.Prompt)
	candidates, reason := f.candidates(now, w)
	if len(candidates) == 0 {
		return nil, &NoServerError{Service: w.Service, Reason: reason}
	}
	home := f.homeOf(candidates, hashes)
	if w.Apart {
		f.chance.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
		candidates = f.firstInTime(now, w, candidates, hashes, home)
	}
	best := f.estimate(now, w, candidates[0], hashes, home)
	for _, s := range candidates[1:] {
		if e := f.estimate(now, w, s, hashes, home); e.cost < best.cost {
			best = e
		}
	}
	if w.Longest > 0 && best.wait > w.Longest {
		return nil, &NoServerError{Service: w.Service, Reason: ReasonBusy, Wait: best.wait}
	}
	return f.begin(now, w, best, hashes), nil
}

// firstInTime returns the first candidate that would begin in time, or all.
func (f *Fleet) firstInTime(now time.Time, w Want, candidates []*server, hashes []uint64, home *server) []*server {
	for i, s := range candidates {
		if w.Longest == 0 || f.estimate(now, w, s, hashes, home).wait <= w.Longest {
			return candidates[i : i+1]
		}
	}
	return candidates
}

// candidates returns the backend servers that could run a request. Those that
// failed or refused of late are left out while there are others; those that leave or
// asked this entry to wait always are.
func (f *Fleet) candidates(now time.Time, w Want) ([]*server, Reason) {
	reason := ReasonNoServer
	var good, doubtful []*server
	for _, s := range f.byService[w.Service] {
		if s.listing.Leaving || s.listing.Instance == "" || slices.Contains(w.Avoid, s.listing.Address) {
			continue
		}
		if w.Name.Model != "" && !s.holds(w.Name.Model) {
			if reason == ReasonNoServer {
				reason = ReasonNoModel
			}
			continue
		}
		if now.Before(s.restUntil) {
			reason = ReasonResting
			continue
		}
		if now.Before(s.failUntil) || now.Before(s.fullUntil) || s.report.Down {
			doubtful = append(doubtful, s)
			continue
		}
		good = append(good, s)
	}
	if len(good) > 0 {
		return good, ""
	}
	return doubtful, reason
}

func (s *server) holds(model string) bool {
	h := s.models[model]
	return h != nil && h.absent.IsZero() && !slices.Contains(s.report.Unloading, model)
}

// homeOf returns the candidate where prompts with the same beginning go: one in the
// own failure domain if there is any.
func (f *Fleet) homeOf(candidates []*server, hashes []uint64) *server {
	if len(hashes) < 2 {
		return nil
	}
	beginning := hashes[len(hashes)-2]
	var home *server
	var highest uint64
	for _, s := range candidates {
		near, homeNear := s.listing.Domain == f.Domain, home != nil && home.listing.Domain == f.Domain
		r := homeRank(beginning, s.listing.Instance)
		if home == nil || near && !homeNear || near == homeNear && r > highest {
			home, highest = s, r
		}
	}
	return home
}

// begin counts a request at its backend server.
func (f *Fleet) begin(now time.Time, w Want, e estimated, hashes []uint64) *Run {
	l := e.server.listing
	r := &Run{
		Address:   l.Address,
		Instance:  l.Instance,
		Domain:    l.Domain,
		Adapter:   e.adapter,
		Wait:      e.wait,
		ReportAge: e.server.reportAge(now),
		Running:   e.server.report.Running,
		Waiting:   e.server.waiting(now),
		fleet:     f,
		server:    e.server,
		hashes:    hashes,
		prompt:    w.Prompt,
		tokens:    e.uncached,
		memory:    w.Tokens + w.Answer,
		began:     now,
		leaves:    make(chan struct{}),
	}
	if !e.server.goesAt.IsZero() {
		close(r.leaves)
	}
	e.server.runs[r] = true
	if w.Name.Adapter != "" && e.adapter {
		e.server.noteUsed(AdapterCall(w.Name))
	}
	if w.Name.Model != "" {
		f.tally(w.Name).tokens += e.uncached + w.Answer
		f.noteSent(w.Service, e.uncached, now)
	}
	return r
}
