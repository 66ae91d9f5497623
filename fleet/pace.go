package fleet

import (
	"slices"
	"time"

	"github.com/bamboostep/bamboostep/pace"
)

// How fast the engines work, as their holders tell, and what stands for a pace that is not known.
//
// What is unknown of an engine is taken from the median of its service, scaled by the time between events if that is known of both: an engine that
// decodes slowly prefills slowly. The last pace that a holder told holds until its engine starts anew, since most engines differ for good. If
// nothing is known of a whole service, each prompt token counts unitPrefillTime, which orders engines by what they have to prefill and finds none of
// them too slow.

const (
	medianMaxAge       = time.Second
	unitPrefillTime    = 10 * time.Microsecond // of a prompt token at an engine of which nothing is known, nor of its peers
	maxNewFirstEvents  = 16                    // limit of first events queued for one holder
	minFirstEventShare = 0.5                   // of the mean prompt: what takes less tells more of the way than of the engine
	usageWeight        = 0.05                  // of the newest request in a usage
)

// usage is what requests of a service use, as exponential moving averages over this entry's own. It is zero before the first.
type usage struct {
	promptTokens float64 // that must be prefilled
	answerTokens float64 // that requests may have at most
	runTime      float64 // milliseconds from the first event to the end, for each token that the answer may have
}

// average returns the moving average after a value.
func average(mean, value float64) float64 {
	if mean == 0 {
		return value
	}
	return mean + usageWeight*(value-mean)
}

// usageOf returns the usage of a service, creating it if needed. f.mu is held.
func (f *Fleet) usageOf(service string) *usage {
	u := f.usages[service]
	if u == nil {
		u = &usage{}
		f.usages[service] = u
	}
	return u
}

// ApplyPace applies the pace that the holder of the engine at address told at now, unless it is of another start of the engine.
func (f *Fleet) ApplyPace(address string, n PaceUpdate, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	if s := f.byAddress[address]; s != nil && s.listing.StartedMS == n.StartedMS {
		f.setPace(s, n.Pace, now)
	}
}

// setPace records the pace that a holder told, unless it is none that an engine can have. A median that lacks a figure is taken anew at the next use.
// f.mu is held.
func (f *Fleet) setPace(s *server, p pace.Pace, now time.Time) {
	if !p.Valid() {
		return
	}
	s.pace, s.paceAt = p, now
	if !f.medians[s.listing.Service].pace.Complete() {
		delete(f.medians, s.listing.Service)
	}
}

// paceAge returns the time since the holder told the pace, or -1 if it has not.
func (s *server) paceAge(now time.Time) time.Duration {
	if s.paceAt.IsZero() {
		return -1
	}
	return now.Sub(s.paceAt)
}

// paceOf returns the pace of an engine, with that of its peers for what is not known. f.mu is held.
func (f *Fleet) paceOf(s *server, now time.Time) pace.Pace {
	p := s.pace
	if p.Complete() {
		return p
	}
	peers := f.medianPace(s.listing.Service, now)
	slowness := 1.0
	if p.EventGapUS > 0 && peers.EventGapUS > 0 {
		slowness = float64(p.EventGapUS) / float64(peers.EventGapUS)
	}
	if p.EventGapUS == 0 {
		p.EventGapUS = peers.EventGapUS
	}
	if p.PrefillGapUS == 0 {
		p.PrefillGapUS = int64(slowness * float64(peers.PrefillGapUS))
	}
	if p.PrefillPerMS == 0 {
		p.PrefillPerMS = peers.PrefillPerMS / slowness
	}
	return p
}

// medianPaceOf is the median of the paces that are known of a service's engines, field by field.
type medianPaceOf struct {
	pace pace.Pace
	at   time.Time
}

// medianPace returns the median of the known paces of a service. It is at most medianMaxAge old. f.mu is held.
func (f *Fleet) medianPace(service string, now time.Time) pace.Pace {
	m, known := f.medians[service]
	if known && now.Sub(m.at) < medianMaxAge {
		return m.pace
	}
	var prefill []float64
	var gap, prefillGap []int64
	for _, s := range f.byService[service] {
		prefill = appendKnown(prefill, s.pace.PrefillPerMS)
		gap = appendKnown(gap, s.pace.EventGapUS)
		prefillGap = appendKnown(prefillGap, s.pace.PrefillGapUS)
	}
	p := pace.Pace{PrefillPerMS: median(prefill), EventGapUS: median(gap), PrefillGapUS: median(prefillGap)}
	f.medians[service] = medianPaceOf{p, now}
	return p
}

func appendKnown[T int64 | float64](known []T, v T) []T {
	if v == 0 {
		return known
	}
	return append(known, v)
}

// median returns the middle value, 0 if there is none.
func median[T int64 | float64](v []T) T {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[len(v)/2]
}

// prefillTime returns the time that an engine of pace p takes to prefill tokens.
func prefillTime(p pace.Pace, tokens int) time.Duration {
	if p.PrefillPerMS == 0 {
		return time.Duration(tokens) * unitPrefillTime
	}
	return p.Prefill(tokens)
}

// FirstEvent records that the first event of a stream came at now, or a later one. If the request had its engine to itself, the engine's holder is
// told.
func (r *Assignment) FirstEvent(now time.Time) {
	if !r.markStarted() {
		return
	}
	f, s := r.fleet, r.server
	f.mu.Lock()
	defer f.mu.Unlock()
	r.firstEventAt = now
	enough := float64(r.uncachedTokens) >= minFirstEventShare*f.usageOf(s.listing.Service).promptTokens
	if r.alone && enough && s.lastAssigned == r && r.AdapterReady && len(s.firstEvents) < maxNewFirstEvents {
		s.firstEvents = append(s.firstEvents, FirstEvent{Tokens: r.uncachedTokens, TookUS: now.Sub(r.assignedAt).Microseconds()})
	}
}

// recordRunTime adds the time that an answer took from its first event to its end. f.mu is held.
func (f *Fleet) recordRunTime(r *Assignment, now time.Time) {
	if r.firstEventAt.IsZero() || r.answerTokens == 0 {
		return
	}
	u := f.usageOf(r.server.listing.Service)
	u.runTime = average(u.runTime, milliseconds(now.Sub(r.firstEventAt))/float64(r.answerTokens))
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// TakeFirstEvents returns what holders have not been told of first events, keyed by the address of the engine.
func (f *Fleet) TakeFirstEvents() map[string]FirstEventUpdate {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	out := make(map[string]FirstEventUpdate)
	for _, s := range f.servers {
		if len(s.firstEvents) > 0 {
			out[s.listing.Address] = FirstEventUpdate{StartedMS: s.listing.StartedMS, FirstEvents: s.firstEvents}
			s.firstEvents = nil
		}
	}
	return out
}
