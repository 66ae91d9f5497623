package quota

import (
	"time"

	"github.com/bamboostep/bamboostep/route"
)

// What an entry grants while it can ask no voter: its share of the rate, and of the level
// that the bucket had when a voter last told it. The share follows what the entry admitted of
// the workspace of late, since callers are spread unevenly over entries. Half of it is an equal
// part, so that an entry that callers turn to only now can grant something as well. Both
// halves add up to no more than one half over all entries.

const equalWeight = 0.5 // of the equal part in an entry's share

// ownBucket is what an entry grants of a workspace without voters.
type ownBucket struct {
	bucket
	burst   float64
	basedOn time.Time // when a voter told the level from which it started
}

// sharedUse is what voters last told of a workspace.
type sharedUse struct {
	level     float64
	at        time.Time // of level
	part      float64   // of this entry in what all entries used
	partKnown bool
}

// noteLevel keeps a level that a voter told; of levels told within one interval, the lowest.
// mu is held.
func (m *Limiter) noteLevel(now time.Time, workspace string, level float64) {
	if m.shared == nil {
		m.shared = make(map[string]sharedUse)
	}
	s := m.shared[workspace]
	if now.Sub(s.at) < reportInterval && s.level < level {
		return
	}
	s.level, s.at = level, now
	m.shared[workspace] = s
}

// noteRecent keeps this entry's part in what all used of a workspace. mu is held.
func (m *Limiter) noteRecent(now time.Time, workspace string, all float64) {
	s := m.shared[workspace]
	h := m.history(now)
	own := max(0, h.sum(now, now.Add(-h.span()), workspace))
	s.part, s.partKnown = 0, true
	if all > 0 {
		s.part = min(1, own/all)
	}
	m.shared[workspace] = s
}

// share returns this entry's share of a workspace's quota. mu is held.
func (m *Limiter) share(now time.Time, workspace string) float64 {
	equal := 1 / float64(max(1, m.knownEntries(now)))
	s := m.shared[workspace]
	if !s.partKnown {
		return equal
	}
	return equalWeight*equal + (1-equalWeight)*s.part
}

// admitStandalone admits requests within this entry's share of the quota.
func (m *Limiter) admitStandalone(now time.Time, w *route.Workspace, cost float64) Decision {
	m.mu.Lock()
	defer m.mu.Unlock()
	share := m.share(now, w.Name)
	perSecond := w.Quota.PerSecond * share
	b := m.ownBucket(now, w, share)
	b.refill(now, perSecond, max(b.burst, cost))
	if wait := b.timeUntil(cost, perSecond); wait > 0 {
		return Decision{RetryAfter: wait}
	}
	b.level -= cost
	m.charge(now, w.Name, cost, nil)
	return Decision{Admitted: true}
}

// ownBucket returns the entry's bucket of a workspace. It starts anew from a level that a voter
// has told since, less what this entry has admitted since then. mu is held.
func (m *Limiter) ownBucket(now time.Time, w *route.Workspace, share float64) *ownBucket {
	b := m.standalone[w.Name]
	if b == nil {
		b = &ownBucket{bucket: bucket{updatedAt: m.startedAt}} // starts empty, so that a restart grants no extra burst
		if m.standalone == nil {
			m.standalone = make(map[string]*ownBucket)
		}
		m.standalone[w.Name] = b
	}
	b.burst = max(b.burst, standaloneBurstShare*w.Quota.Burst*share)
	if s := m.shared[w.Name]; s.at.After(b.basedOn) {
		b.basedOn, b.updatedAt = s.at, s.at
		b.burst = max(standaloneBurstShare*w.Quota.Burst, s.level) * share
		b.level = share*max(0, s.level) - m.history(now).sum(now, s.at, w.Name)
	}
	return b
}
