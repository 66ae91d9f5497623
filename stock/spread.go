package stock

import (
	"cmp"
	"slices"
	"time"

	"github.com/bamboostep/bamboostep"
)

// Spread is a placement policy for fleets whose demand moves within seconds. It
// does not wait for requests to come late: it gives a model one more copy wherever
// that takes work off the busiest VM that holds it, and lets copies with much less
// work go to make room. Where nobody asks, nothing moves.
//
// The hard point is not to take turns: a copy is added only if the VM that gets it
// stays well below the one that is relieved, and is unloaded only if it carries much
// less than what comes in its place.
type Spread struct {
	// LeastWork is the work of a VM, in tokens a second, that is not worth a move.
	LeastWork float64

	placer   Placer    // restores lost copies and remembers for whom room was made
	lastMove time.Time // of the first round, or the last that moved a copy for demand
}

var _ bamboostep.Placer = (*Spread)(nil)

const (
	maxSpreadMoves         = 8               // in one round
	maxTargetRateRatio     = 0.85            // work of the VM that gets a copy, to that of the busiest holder, at most
	minGainRatio           = 0.3             // least gain, in LeastWork
	maxEvictedPerCopyRatio = 0.4             // work that unloaded copies carried, to that of one copy of the model, at most
	storeLoadGainFactor    = 0.7             // part of the gain that counts for a load from the store, which others wait for
	spareCopyDelay         = 3 * time.Second // without moves for demand
	idleRequestRate        = 0.1             // requests a second, below which nobody misses a model
	reasonSpread           = "spread"
)

// Place implements bamboostep.Placer.
func (p *Spread) Place(now time.Time, fleet bamboostep.Fleet) []bamboostep.Move {
	if p.placer.spaceClaims == nil {
		p.placer.spaceClaims = make(map[string]spaceClaim)
		p.lastMove = now
	}
	return planEnginePlaces(fleet, func(v *placeView) {
		v.unloadUndeclared(fleet)
		p.restoreMissingCopies(now, v)
		p.placer.useSpaceClaims(now, v)
		for range maxSpreadMoves {
			if v.loadsLeft <= 0 || !p.applyBestCandidate(now, v) {
				break
			}
		}
		if len(v.moves) > 0 {
			p.lastMove = now
		}
		if now.Sub(p.lastMove) >= spareCopyDelay {
			v.addCachedCopies()
		}
	})
}

// restoreMissingCopies orders the copies that are missing, those of models with the fewest first
// and of the same number the most asked for.
func (p *Spread) restoreMissingCopies(now time.Time, v *placeView) {
	missing := slices.DeleteFunc(slices.Clone(v.models), func(m *model) bool { return m.activeCopies() >= v.requiredCopies(m) })
	slices.SortStableFunc(missing, func(a, b *model) int {
		return cmp.Or(cmp.Compare(a.activeCopies(), b.activeCopies()), cmp.Compare(b.requestRate, a.requestRate))
	})
	for _, m := range missing {
		for m.activeCopies()+p.placer.claimedCopies(m) < v.requiredCopies(m) && p.restoreCopy(now, v, m) {
		}
	}
}

// restoreCopy orders one copy, or makes room for it.
func (p *Spread) restoreCopy(now time.Time, v *placeView, m *model) bool {
	var best *candidateCopy
	for _, w := range v.workers {
		s := candidateCopy{model: m, worker: w}
		if m.isOn(w) || len(w.reservedFor) > 0 || v.loadsLeft <= 0 || !v.selectEvictionsFor(&s, m.activeCopies() > 0) {
			continue
		}
		if best == nil || v.isBetterRestore(&s, best) {
			best = &s
		}
	}
	if best == nil {
		return false
	}
	p.applyCandidate(now, v, best)
	return true
}

// isBetterRestore compares two places for a copy of one model: where the weights are
// kept, then where less is lost for it, then apart from other copies, then where
// more memory is free.
func (v *placeView) isBetterRestore(a, b *candidateCopy) bool {
	if x, y := slices.Contains(a.worker.cachedVersions, a.model.Version), slices.Contains(b.worker.cachedVersions, b.model.Version); x != y {
		return x
	}
	if a.evictions.tokenRate != b.evictions.tokenRate {
		return a.evictions.tokenRate < b.evictions.tokenRate
	}
	if x, y := a.model.hasCopyInDomain(a.worker.domain), b.model.hasCopyInDomain(b.worker.domain); x != y {
		return y
	}
	return a.worker.freeMiB > b.worker.freeMiB
}

// requiredCopies returns how many copies m must have. One that nobody has asked for of late
// requiredCopies none while VMs keep its weights, since it is back within a moment.
func (v *placeView) requiredCopies(m *model) int {
	if v.isIdle(m) {
		return 0
	}
	return m.minCopies()
}

// isIdle reports whether nobody misses m while it is not held.
func (v *placeView) isIdle(m *model) bool {
	return m.requestRate < idleRequestRate && m.fastReload &&
		slices.ContainsFunc(v.workers, func(w *worker) bool { return slices.Contains(w.cachedVersions, m.Version) })
}

// keepOneUnlessIdle lets copies go as long as one answers, and the last of an idle model.
func (v *placeView) keepOneUnlessIdle(r *replica) int { return min(1, v.requiredCopies(r.model)) }

// keepRequired lets copies go that are more than are restored.
func (v *placeView) keepRequired(r *replica) int { return v.requiredCopies(r.model) }

// candidateCopy is one copy that would relieve a VM.
type candidateCopy struct {
	model     *model
	worker    *worker
	evictions evictionSet
	gain      float64 // work that the busiest holder is relieved of, roughly, tokens a second
}

// applyBestCandidate makes the most useful move, if there is one.
func (p *Spread) applyBestCandidate(now time.Time, v *placeView) bool {
	loads := v.balancedLoads()
	models := slices.Clone(v.models)
	slices.SortStableFunc(models, func(a, b *model) int { return cmp.Compare(b.tokenRatePerCopy(), a.tokenRatePerCopy()) })
	var best *candidateCopy
	for _, m := range models {
		if s := p.bestCandidate(v, m, loads); s != nil && (best == nil || s.gain > best.gain) {
			best = s
		}
	}
	if best == nil {
		return false
	}
	p.applyCandidate(now, v, best)
	return true
}

func (p *Spread) applyCandidate(now time.Time, v *placeView, s *candidateCopy) {
	if !slices.Contains(s.worker.cachedVersions, s.model.Version) {
		v.storeLoadsLeft--
	}
	if len(s.evictions.copies) == 0 {
		v.planLoad(s.model, s.worker, reasonSpread)
		return
	}
	for _, r := range s.evictions.copies {
		v.planUnload(r, reasonRoom)
	}
	s.worker.reserveFor(s.model)
	p.placer.spaceClaims[s.worker.name] = spaceClaim{s.model.Name, now.Add(spaceClaimTTL)}
}

// bestCandidate returns the best place for one more copy of m, or nil if none helps.
func (p *Spread) bestCandidate(v *placeView, m *model, loads map[*worker]float64) *candidateCopy {
	level := 0.0
	for _, w := range m.holders() {
		level = max(level, loads[w])
	}
	if level < p.LeastWork || m.tokenRate <= 0 {
		return nil
	}
	var best *candidateCopy
	for _, w := range v.workers {
		s := candidateCopy{model: m, worker: w, gain: min(level-loads[w], m.tokenRatePerCopy())}
		if m.isOn(w) || len(w.reservedFor) > 0 || loads[w] > maxTargetRateRatio*level || !v.selectEvictionsFor(&s, true) {
			continue
		}
		if s.gain >= p.LeastWork*minGainRatio && (best == nil || s.gain > best.gain) {
			best = &s
		}
	}
	return best
}

// selectEvictionsFor finds what must go for a copy, and takes what that loses from its gain.
// It returns false if there is no way. Where others answer, a copy may not cost much
// more than it brings.
func (v *placeView) selectEvictionsFor(s *candidateCopy, others bool) bool {
	if !slices.Contains(s.worker.cachedVersions, s.model.Version) {
		if v.storeLoadsLeft <= 0 {
			return false
		}
		s.gain *= storeLoadGainFactor
	}
	if s.worker.freeMiB >= s.model.sizeMiB {
		return true
	}
	floor := v.keepOneUnlessIdle
	if others {
		floor = v.keepRequired
	}
	s.evictions = s.worker.selectEvictions(s.model.sizeMiB, floor, false)
	enough := s.evictions.freeMiB >= s.model.sizeMiB && len(s.evictions.copies) > 0 && len(s.evictions.copies) <= v.unloadsLeft
	if !enough || others && s.evictions.tokenRate > max(float64(len(s.evictions.copies)), maxEvictedPerCopyRatio*s.model.tokenRatePerCopy()) {
		return false
	}
	s.gain -= s.evictions.tokenRate
	return true
}

// addCachedCopies loads copies where memory is free and the VM keeps the weights: those of
// models without any first, then second copies of what is asked for, so that the
// loss of one VM leaves them reachable.
func (v *placeView) addCachedCopies() {
	byNeed := slices.SortedStableFunc(slices.Values(v.models), func(a, b *model) int {
		return cmp.Or(cmp.Compare(a.activeCopies(), b.activeCopies()), cmp.Compare(b.requestRate, a.requestRate))
	})
	for _, m := range byNeed {
		if v.loadsLeft <= 0 {
			return
		}
		if m.activeCopies() > 1 || m.activeCopies() == 1 && m.requestRate == 0 {
			continue
		}
		w := v.bestWorker(m, func(w *worker) bool {
			return w.freeMiB >= m.sizeMiB && len(w.reservedFor) == 0 && slices.Contains(w.cachedVersions, m.Version)
		})
		if w != nil {
			v.planLoad(m, w, reasonSpare)
		}
	}
}
