package quota

import (
	"maps"
	"time"

	"github.com/bamboostep/bamboostep/route"
)

// What was used of quotas of late.
//
// A voter that starts knows nothing of what was used before. Each entry keeps what it has
// admitted over the span in which quotas are bounded, and tells it once to each voter
// (usageReport). From the reports of all entries, the voter works out the level that the
// bucket would have had if it had been full one span before the start: then no span holds
// more than the rate and the burst allow, on whichever side of the start it begins. The
// part of entries that have not told theirs, or that have not run for a whole span, counts
// as used.

const (
	defaultSpan  = 10 * time.Second // if the settings name no window for quotas
	slotsPerSpan = 32
)

// history holds amounts by workspace, in slots of time. Its zero value is not usable.
type history struct {
	slot  time.Duration
	used  map[string]*slots
	since time.Time // nothing is known of before
}

// slots are the amounts of one workspace, newest first.
type slots struct {
	newest  int64 // number of the newest slot, counted from the zero of Unix time
	amounts [slotsPerSpan]float64
}

func newHistory(span time.Duration, now time.Time) *history {
	if span <= 0 {
		span = defaultSpan
	}
	return &history{slot: span / slotsPerSpan, used: make(map[string]*slots), since: now}
}

func (h *history) span() time.Duration { return h.slot * slotsPerSpan }

// add counts an amount as used at now. A negative amount is a refund.
func (h *history) add(now time.Time, workspace string, amount float64) {
	s := h.used[workspace]
	if s == nil {
		s = &slots{}
		h.used[workspace] = s
	}
	s.advance(h.number(now))
	s.amounts[0] += amount
}

func (h *history) number(now time.Time) int64 { return now.UnixNano() / int64(h.slot) }

// advance makes the numbered slot the newest one.
func (s *slots) advance(number int64) {
	by := min(max(0, number-s.newest), slotsPerSpan)
	if by == 0 {
		return
	}
	copy(s.amounts[by:], s.amounts[:slotsPerSpan-by])
	clear(s.amounts[:by])
	s.newest = number
}

// sum returns what was used of a workspace in the slots that reach past the time.
func (h *history) sum(now, past time.Time, workspace string) float64 {
	s := h.used[workspace]
	if s == nil {
		return 0
	}
	s.advance(h.number(now))
	sum := 0.0
	for i, amount := range s.amounts {
		if s.newest-int64(i) < h.number(past) {
			break
		}
		sum += amount
	}
	return sum
}

// snapshot returns a report of all that is known at now, and forgets workspaces of which
// nothing was used.
func (h *history) snapshot(now time.Time) usageReport {
	r := usageReport{SlotMS: float64(h.slot) / float64(time.Millisecond), Used: make(map[string][]float32, len(h.used))}
	r.KnownMS = float64(min(h.span(), now.Sub(h.since))) / float64(time.Millisecond)
	maps.DeleteFunc(h.used, func(_ string, s *slots) bool {
		s.advance(h.number(now))
		return s.amounts == [slotsPerSpan]float64{}
	})
	for workspace, s := range h.used {
		amounts := make([]float32, slotsPerSpan)
		for i, amount := range s.amounts {
			amounts[i] = float32(amount)
		}
		r.Used[workspace] = amounts
	}
	return r
}

// usageReport is what an entry has admitted of late. A voter counts the first one of each
// entry.
type usageReport struct {
	Entry   string               `msgpack:"entry"`
	Entries int                  `msgpack:"entries"`  // number of entries, as the entry knew it of late; 0 if it did not
	KnownMS float64              `msgpack:"known_ms"` // how far back the entry knows what it admitted, at most a span
	AgeMS   float64              `msgpack:"age_ms"`   // since the amounts were taken
	SlotMS  float64              `msgpack:"slot_ms"`
	Used    map[string][]float32 `msgpack:"used"` // amounts by workspace, in slots, newest first
}

// age returns the least age of what was used in a slot: the newest slot may have begun when
// the amounts were taken, and ends with them.
func (r *usageReport) age(slot int) time.Duration {
	return time.Duration((r.AgeMS + float64(max(0, slot-1))*r.SlotMS) * float64(time.Millisecond))
}

// past is what a voter was told of the time before its start.
type past struct {
	told    map[string]float64   // by entry, the part of the span that it knows
	entries int                  // the largest number of entries that one named
	used    map[string][]float64 // by workspace, in slots before the start, newest first
	slot    time.Duration        // of used
}

// add counts an entry's report, unless one was counted already. late is called with what was
// used after the start.
func (p *past) add(r usageReport, sinceStart, span time.Duration, late func(workspace string, amount float64)) {
	if _, told := p.told[r.Entry]; told {
		return
	}
	if p.told == nil {
		p.told, p.used = make(map[string]float64), make(map[string][]float64)
	}
	p.slot = span / slotsPerSpan
	p.told[r.Entry] = min(1, r.KnownMS*float64(time.Millisecond)/float64(span))
	p.entries = max(p.entries, r.Entries, len(p.told))
	for workspace, amounts := range r.Used {
		for i, amount := range amounts {
			p.addAmount(workspace, r.age(i)-sinceStart, float64(amount), late)
		}
	}
}

// addAmount counts an amount that was used so long before the start.
func (p *past) addAmount(workspace string, before time.Duration, amount float64, late func(string, float64)) {
	switch {
	case amount == 0 || before >= p.slot*slotsPerSpan:
		return
	case before < 0:
		late(workspace, amount)
		return
	}
	if p.used[workspace] == nil {
		p.used[workspace] = make([]float64, slotsPerSpan)
	}
	p.used[workspace][before/p.slot] += amount
}

// share returns the part of all that was used that the voter was told of.
func (p *past) share() float64 {
	if p.entries == 0 {
		return 0
	}
	sum := 0.0
	for _, known := range p.told {
		sum += known
	}
	return sum / float64(p.entries)
}

// level returns the level that a bucket had at the start, as far as it is known. It is never
// below zero, the level of a bucket of which nothing is known.
func (p *past) level(workspace string, q route.Quota) float64 {
	b := bucket{level: q.Burst}
	used := p.used[workspace]
	for i := len(used) - 1; i >= 0; i-- {
		b.level = min(b.level+q.PerSecond*p.slot.Seconds(), q.Burst) - used[i]
	}
	return max(0, b.level-(1-p.share())*q.Burst)
}
