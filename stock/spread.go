package stock

import (
	"cmp"
	"slices"
	"time"

	"github.com/bamboostep/bamboostep"
)

// Spread is a placement policy for fleets whose demand shifts within seconds. It
// does not wait until requests are late: it adds a copy of a model wherever that
// takes work off the busiest VM that holds the model, and evicts copies with much
// less work to make room. Without demand, it only restores missing copies, removes
// undeclared ones and loads spare copies from weights that the VMs store.
//
// To avoid oscillation, a copy is added only if the load of its VM is well below
// that of the VM it relieves, and a copy is evicted only if it carries much less
// work than the one that replaces it.
type Spread struct {
	// MinTokenRate is the load of a VM, in tokens per second, below which it is not
	// relieved.
	MinTokenRate float64

	placer   Placer    // only its space claims are used
	lastMove time.Time // time of the first round or the last with moves, spare copies excluded
}

var _ bamboostep.Placer = (*Spread)(nil)

const (
	maxSpreadMoves         = 8               // moves for demand per round
	maxTargetRateRatio     = 0.85            // most load of the VM that gets a copy, relative to the busiest holder
	minGainRatio           = 0.3             // least gain, relative to MinTokenRate
	maxEvictedPerCopyRatio = 0.4             // most work of the evicted copies, relative to one copy of the model
	storeLoadGainFactor    = 0.7             // discounts a load from the store, since other loads wait for it
	spareCopyDelay         = 3 * time.Second // spare copies wait for this long without other moves
	idleRequestRate        = 0.1             // requests per second, below which a model counts as idle
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
		p.meetNeeds(now, v, fleet.Needs)
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

// restoreMissingCopies loads the missing copies or makes room for them. Models with
// the fewest copies come first, then those with the most requests.
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

// restoreCopy loads one copy of m, or starts to make room for it. It returns false if
// no worker is suitable.
func (p *Spread) restoreCopy(now time.Time, v *placeView, m *model) bool {
	return p.addCopy(now, v, m, v.workers, m.activeCopies() > 0)
}

// addCopy loads one copy of m on one of the given workers, or starts to make room for it there. It returns false if
// none of them is suitable. If hasOtherCopies is set, little may be evicted for it.
func (p *Spread) addCopy(now time.Time, v *placeView, m *model, workers []*worker, hasOtherCopies bool) bool {
	var best *candidateCopy
	for _, w := range workers {
		c := candidateCopy{model: m, worker: w}
		if m.isOn(w) || len(w.reservedFor) > 0 || v.loadsLeft <= 0 || !v.selectEvictionsFor(&c, hasOtherCopies) {
			continue
		}
		if best == nil || v.isBetterRestore(&c, best) {
			best = &c
		}
	}
	if best == nil {
		return false
	}
	p.applyCandidate(now, v, best)
	return true
}

// meetNeeds loads copies of models that are needed on certain workers, or makes room for them there.
func (p *Spread) meetNeeds(now time.Time, v *placeView, needs []bamboostep.Need) {
	for _, n := range needs {
		m := v.modelsByName[n.Model]
		if m == nil {
			continue
		}
		var workers []*worker
		met := false
		for _, w := range v.workers {
			if slices.Contains(n.VMs, w.name) {
				workers = append(workers, w)
				met = met || m.isOn(w) || p.placer.spaceClaims[w.name].model == m.Name
			}
		}
		if !met {
			p.addCopy(now, v, m, workers, false)
		}
	}
}

// isBetterRestore reports whether a is better than b for a copy of the same model. It
// prefers a worker that stores the weights, then evicting less work, then a failure
// domain without a copy, then more free memory.
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

// requiredCopies returns how many copies of m must be kept. An idle model needs none,
// since it loads quickly when a request needs it.
func (v *placeView) requiredCopies(m *model) int {
	if v.isIdle(m) {
		return 0
	}
	return m.minCopies()
}

// isIdle reports whether m may be left without a copy: it has almost no requests and
// loads quickly on some worker that stores its weights.
func (v *placeView) isIdle(m *model) bool {
	return m.requestRate < idleRequestRate && m.fastReload &&
		slices.ContainsFunc(v.workers, func(w *worker) bool { return slices.Contains(w.cachedVersions, m.Version) })
}

// keepOneUnlessIdle allows the eviction of all copies but one, and of the last copy
// of an idle model.
func (v *placeView) keepOneUnlessIdle(r *replica) int { return min(1, v.requiredCopies(r.model)) }

// keepRequired allows the eviction of copies that would not be restored.
func (v *placeView) keepRequired(r *replica) int { return v.requiredCopies(r.model) }

// candidateCopy is a copy that could be added, with the evictions that it needs.
type candidateCopy struct {
	model     *model
	worker    *worker
	evictions evictionSet
	gain      float64 // approximate work taken off the busiest holder, tokens per second
}

// applyBestCandidate adds the copy with the largest gain. It returns false if no copy
// is worth adding.
func (p *Spread) applyBestCandidate(now time.Time, v *placeView) bool {
	loads := v.balancedLoads()
	models := slices.Clone(v.models)
	slices.SortStableFunc(models, func(a, b *model) int { return cmp.Compare(b.tokenRatePerCopy(), a.tokenRatePerCopy()) })
	var best *candidateCopy
	for _, m := range models {
		if c := p.bestCandidate(v, m, loads); c != nil && (best == nil || c.gain > best.gain) {
			best = c
		}
	}
	if best == nil {
		return false
	}
	p.applyCandidate(now, v, best)
	return true
}

// applyCandidate plans the load of a candidate. If it needs evictions, it plans these
// and claims the memory, and a later round loads the copy.
func (p *Spread) applyCandidate(now time.Time, v *placeView, c *candidateCopy) {
	if !slices.Contains(c.worker.cachedVersions, c.model.Version) {
		v.storeLoadsLeft--
	}
	if len(c.evictions.copies) == 0 {
		v.planLoad(c.model, c.worker, reasonSpread)
		return
	}
	for _, r := range c.evictions.copies {
		v.planUnload(r, reasonRoom)
	}
	c.worker.reserveFor(c.model)
	p.placer.spaceClaims[c.worker.name] = spaceClaim{c.model.Name, now.Add(spaceClaimTTL)}
}

// bestCandidate returns the copy of m with the largest gain, or nil if none is worth
// adding. The loads are those of balancedLoads.
func (p *Spread) bestCandidate(v *placeView, m *model, loads map[*worker]float64) *candidateCopy {
	maxLoad := 0.0
	for _, w := range m.holders() {
		maxLoad = max(maxLoad, loads[w])
	}
	if maxLoad < p.MinTokenRate || m.tokenRate <= 0 {
		return nil
	}
	var best *candidateCopy
	for _, w := range v.workers {
		c := candidateCopy{model: m, worker: w, gain: min(maxLoad-loads[w], m.tokenRatePerCopy())}
		if m.isOn(w) || len(w.reservedFor) > 0 || loads[w] > maxTargetRateRatio*maxLoad || !v.selectEvictionsFor(&c, true) {
			continue
		}
		if c.gain >= p.MinTokenRate*minGainRatio && (best == nil || c.gain > best.gain) {
			best = &c
		}
	}
	return best
}

// selectEvictionsFor selects the evictions that c needs and subtracts their work from
// its gain. It returns false if the copy cannot be loaded. If the model has other
// copies, the evicted ones must be idle or carry at most maxEvictedPerCopyRatio of the
// work of one of these.
func (v *placeView) selectEvictionsFor(c *candidateCopy, hasOtherCopies bool) bool {
	if !slices.Contains(c.worker.cachedVersions, c.model.Version) {
		if v.storeLoadsLeft <= 0 {
			return false
		}
		c.gain *= storeLoadGainFactor
	}
	if c.worker.freeMiB >= c.model.sizeMiB {
		return true
	}
	floor := v.keepOneUnlessIdle
	if hasOtherCopies {
		floor = v.keepRequired
	}
	c.evictions = c.worker.selectEvictions(c.model.sizeMiB, floor, false)
	enough := c.evictions.freeMiB >= c.model.sizeMiB && len(c.evictions.copies) > 0 && len(c.evictions.copies) <= v.unloadsLeft
	if !enough || hasOtherCopies && c.evictions.tokenRate > max(float64(len(c.evictions.copies)), maxEvictedPerCopyRatio*c.model.tokenRatePerCopy()) {
		return false
	}
	c.gain -= c.evictions.tokenRate
	return true
}

// addCachedCopies loads copies where memory is free and the VM stores the weights:
// first of models without any copy, then second copies of models with requests, so
// that these survive the loss of one VM.
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
