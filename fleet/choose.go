package fleet

import (
	"fmt"
	"slices"
	"time"

	"github.com/bamboostep/bamboostep/pace"
)

// Requirements states what a request needs from a backend server.
type Requirements struct {
	Service         string
	ModelName       ModelName     // zero for a plain service, which has no models
	Prompt          Prompt        // zero for a plain service
	PromptTokens    int           // length of the prompt
	MaxAnswerTokens int           // limit on the length of the answer
	BodyBytes       int           // size of the request body
	DefaultSlots    int           // concurrent requests per backend server, if its listing does not say
	Version         string        // of the backend server's software; empty for any
	Exclude         []string      // addresses of backend servers that already failed this request
	MaxWait         time.Duration // longest acceptable wait for the first event; 0 for no limit
	Promise         Promise       // what the route tells its callers
	Priority        int           // 0 is the highest

	// MayWait lets Choose return ReasonPaced instead of a server that would not begin the request
	// soon, see pacing.go.
	MayWait bool

	// Randomize selects a random server with an acceptable wait instead of the best one, so that
	// requests that are retried at the same time spread out.
	Randomize bool
}

// NoServerError reports that no backend server can take a request.
type NoServerError struct {
	Service       string
	Reason        Reason
	EstimatedWait time.Duration // shortest estimated wait of any candidate; set for ReasonBusy, ReasonLimited and ReasonPaced
	Room          time.Duration // until a server is expected to begin another request; 0 if unknown
	ReportAge     time.Duration // of the report that EstimatedWait rests on; negative if there was none
	Loaded        bool          // at least half of the places of the candidates are taken, or prompts wait at all of them
}

// Reason says why no backend server was chosen.
type Reason string

// The reasons for choosing no backend server.
const (
	ReasonNoServer  Reason = "no_backend_server"  // no usable server of the service is known
	ReasonNoVersion Reason = "version_not_served" // no server of the service runs the software version
	ReasonNoModel   Reason = "model_not_held"     // no server of the service holds the model
	ReasonBusy      Reason = "all_busy"           // every candidate's estimated wait exceeds the request's limit
	ReasonBackoff   Reason = "all_resting"        // the remaining servers asked this entry to retry later
	ReasonPaced     Reason = "paced"              // waiting here costs the request nothing, see Requirements.MayWait
	ReasonLimited   Reason = "all_at_limit"       // the remaining servers get as many requests as the limits allow that they name
)

// Error implements error.
func (e *NoServerError) Error() string {
	return fmt.Sprintf("service %q: %s", e.Service, e.Reason)
}

// Assignment is one request of this entry that is assigned to a backend server. It counts as in
// flight there until End.
type Assignment struct {
	Address       string
	Instance      string
	StartedMS     int64 // start of the backend server, Unix milliseconds
	Domain        string
	AdapterReady  bool          // the adapter is already loaded, or the request needs none
	EstimatedWait time.Duration // estimated time until the first event
	KeepsPromise  bool          // no promise was expected to be broken, neither of its own route nor to streams that run there
	ExpectedPause time.Duration // longest time between two of its events
	LimitWait     time.Duration // time until the server's limit is expected to allow a request; 0 if it is not known to be used up

	// ReportAge is the age of the server's last report when the request was assigned; negative
	// if there was none.
	ReportAge time.Duration
	Running   int // running requests, by that report
	Waiting   int // requests that were queued or in prefill, by that report
	Prefill   int // prompt tokens that were not cached, as estimated

	Pace    pace.Pace     // of the engine, as the estimate counted with; zero for a plain service
	PaceAge time.Duration // since its holder told it; negative if that of its peers stood for it

	// OthersTokens is the number of prompt tokens that other entries had waiting there, as its holder told; negative if
	// unknown.
	OthersTokens int

	fleet          *Fleet
	server         *server
	prompt         Prompt
	uncachedTokens int       // prompt tokens still to be prefilled, until the first event
	cacheTokens    int       // KV cache that the request may use, tokens
	answerTokens   int       // limit on the length of the answer
	alone          bool      // nothing else was waiting or being prefilled there
	firstEventAt   time.Time // zero before
	assignedAt     time.Time
	expectedFactor float64 // see plainFactor; 0 for a model engine, and once the run is recorded
	firstEventSeen bool
	departureKnown chan struct{} // closed once it is known when the server shuts down
}

// Choose selects the backend server with the lowest estimated cost and counts the request
// as in flight there until End is called. The error is a *NoServerError.
func (f *Fleet) Choose(now time.Time, req Requirements) (*Assignment, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	candidates, limited, reason := f.candidates(now, req)
	if len(candidates) == 0 {
		return nil, &NoServerError{Service: req.Service, Reason: reason, Room: f.backoffLeft(now, req, reason)}
	}
	best := f.cheapest(now, req, candidates)
	if req.MaxWait > 0 && best.wait > req.MaxWait && len(limited) > 0 {
		best = f.cheapest(now, req, append(limited, best.server))
	}
	if err := f.refuse(now, req, candidates, best); err != nil {
		return nil, err
	}
	return f.assign(now, req, best), nil
}

// refuse returns why a request is not sent to the best of the candidates, or nil if it is. One that
// cannot have its first event in time is not, unless there are free places and no prompt waits: then the estimate may be wrong.
func (f *Fleet) refuse(now time.Time, req Requirements, candidates []*server, best estimate) error {
	late := req.MaxWait > 0 && best.wait > req.MaxWait
	if !late && !(req.MayWait && best.wait > roomAhead && !req.keptBy(best) && allReported(now, candidates)) {
		return nil
	}
	p := f.pacingOf(now, req, candidates, best)
	err := &NoServerError{Service: req.Service, EstimatedWait: best.wait, Room: p.room, ReportAge: best.server.reportAge(now), Loaded: p.taken}
	switch {
	case late && best.limitWait > 0:
		err.Reason = ReasonLimited
	case late && (p.taken || f.prefill(now, best) > req.MaxWait):
		err.Reason = ReasonBusy
	case !late && req.holdsBack(best, p):
		err.Reason = ReasonPaced
	default:
		return nil
	}
	return err
}

// backoffLeft returns the time until the first server takes requests again that has asked this entry to
// retry later, if that is the reason why there is none.
func (f *Fleet) backoffLeft(now time.Time, req Requirements, reason Reason) time.Duration {
	left := time.Duration(0)
	if reason != ReasonBackoff {
		return 0
	}
	for _, s := range f.byService[req.Service] {
		if wait := s.backoffUntil.Sub(now); wait > 0 && (left == 0 || wait < left) {
			left = wait
		}
	}
	return left
}

// cheapest returns the estimate of the candidate with the lowest cost.
func (f *Fleet) cheapest(now time.Time, req Requirements, candidates []*server) estimate {
	affinity := f.affinityServer(now, candidates, req)
	if req.Randomize {
		f.rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
		candidates = f.firstWithinMaxWait(now, req, candidates, affinity)
	}
	best := f.balancedEstimate(now, req, candidates[0], affinity)
	for _, s := range candidates[1:] {
		if e := f.balancedEstimate(now, req, s, affinity); better(e, best) {
			best = e
		}
	}
	return best
}

// firstWithinMaxWait returns the first candidate whose estimated wait is within the
// request's limit, or all candidates if there is none.
func (f *Fleet) firstWithinMaxWait(now time.Time, req Requirements, candidates []*server, affinity *server) []*server {
	for i, s := range candidates {
		if req.MaxWait == 0 || f.estimate(now, req, s, affinity).wait <= req.MaxWait {
			return candidates[i : i+1]
		}
	}
	return candidates
}

// candidates returns the backend servers that could run a request. Servers that recently
// failed, refused for load, do not answer their holder or have gone silent are returned only if
// there is no other, and so are those whose limit is used up for now. The latter are returned separately
// if there are others. Servers that are leaving or that asked this entry to retry later are
// never returned. If there are no candidates, the Reason says why.
func (f *Fleet) candidates(now time.Time, req Requirements) (candidates, limited []*server, reason Reason) {
	reason = ReasonNoServer
	if req.Version != "" {
		reason = ReasonNoVersion
	}
	var preferred, fallback []*server
	for _, s := range f.byService[req.Service] {
		if s.listing.Leaving || s.listing.Instance == "" || req.Version != "" && s.listing.SoftwareVersion != req.Version {
			continue
		}
		if reason == ReasonNoVersion {
			reason = ReasonNoServer
		}
		if slices.Contains(req.Exclude, s.listing.Address) {
			continue
		}
		if req.ModelName.Model != "" && !s.holdsModel(req.ModelName.Model) {
			if reason == ReasonNoServer {
				reason = ReasonNoModel
			}
			continue
		}
		switch {
		case now.Before(s.backoffUntil):
			reason = ReasonBackoff
		case now.Before(s.avoidUntil) || now.Before(s.overloadedUntil) || s.report.Down || s.silent(now):
			fallback = append(fallback, s)
		case now.Before(s.limitedUntil) || now.Before(s.askAfter):
			limited = append(limited, s)
		default:
			preferred = append(preferred, s)
		}
	}
	if len(preferred) > 0 {
		return preferred, limited, ""
	}
	return append(fallback, limited...), nil, reason
}

// holdsModel reports whether requests for a model can be sent to the server.
func (s *server) holdsModel(model string) bool {
	h := s.models[model]
	return h != nil && h.missingAt.IsZero() && !slices.Contains(s.report.Unloading, model)
}

// affinityServer returns the candidate to which prompts with the same shared prefix (all
// parts but the last) are sent, so that its prefix cache serves them. Rendezvous hashing
// makes the entries of a failure domain agree on it without communication. Candidates in
// the own failure domain are preferred, unless affinityAnywhere holds. It returns nil if the prompt has no shared prefix.
func (f *Fleet) affinityServer(now time.Time, candidates []*server, req Requirements) *server {
	p := req.Prompt
	if p.shared == (PromptPrefix{}) {
		return nil
	}
	var affinity *server
	var highest uint64
	anywhere := f.affinityAnywhere(now, req)
	for _, s := range candidates {
		local, bestLocal := anywhere || s.listing.Domain == f.Domain, anywhere || affinity != nil && affinity.listing.Domain == f.Domain
		r := rendezvousWeight(p.shared.Hash, s.listing.Instance)
		if affinity == nil || local && !bestLocal || local == bestLocal && r > highest {
			affinity, highest = s, r
		}
	}
	return affinity
}

// assign records a request as in flight at the estimated server.
func (f *Fleet) assign(now time.Time, req Requirements, e estimate) *Assignment {
	l := e.server.listing
	r := &Assignment{
		Address:        l.Address,
		Instance:       l.Instance,
		StartedMS:      l.StartedMS,
		Domain:         l.Domain,
		AdapterReady:   e.adapterReady,
		EstimatedWait:  e.wait,
		KeepsPromise:   e.keepsPromise(),
		ExpectedPause:  e.pause,
		LimitWait:      e.limitWait,
		ReportAge:      e.server.reportAge(now),
		Running:        e.server.report.Running,
		Waiting:        e.server.pendingPrefills(now),
		OthersTokens:   e.server.announcement.othersTokens(now, e.server),
		Prefill:        e.uncachedTokens,
		PaceAge:        e.server.paceAge(now),
		fleet:          f,
		server:         e.server,
		prompt:         req.Prompt,
		uncachedTokens: e.uncachedTokens,
		cacheTokens:    req.PromptTokens + req.MaxAnswerTokens,
		answerTokens:   req.MaxAnswerTokens,
		alone:          e.alone,
		assignedAt:     now,
		departureKnown: make(chan struct{}),
	}
	if !e.server.departsAt.IsZero() {
		close(r.departureKnown)
	}
	if req.ModelName.Model == "" {
		r.expectedFactor = f.plainFactor(now, e.server, req.DefaultSlots)
	}
	e.server.inFlight[r], e.server.lastAssigned = true, r
	e.server.silence.assigned(now)
	if req.ModelName.Adapter != "" && e.adapterReady {
		e.server.recordAdapterUse(AdapterRef(req.ModelName))
	}
	if req.ModelName.Model != "" {
		f.demandFor(req.ModelName).tokens += e.uncachedTokens + req.MaxAnswerTokens
		f.recordSent(req.Service, e.uncachedTokens, now)
		f.addPending(e.server, e.uncachedTokens)
		f.recordPriority(req, e.uncachedTokens, now)
		r.Pace = f.paceOf(e.server, now)
		u := f.usageOf(req.Service)
		u.promptTokens = average(u.promptTokens, float64(e.uncachedTokens))
		u.answerTokens = average(u.answerTokens, float64(req.MaxAnswerTokens))
	}
	return r
}
