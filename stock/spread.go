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

	placer Placer    // restores lost copies and remembers for whom room was made
	moved  time.Time // of the first round, or the last that moved a copy for demand
}

var _ bamboostep.Placer = (*Spread)(nil)

const (
	spreadMoves  = 8               // in one round
	spreadRatio  = 0.85            // work of the VM that gets a copy, to that of the busiest holder, at most
	spreadGain   = 0.3             // least gain, in LeastWork
	spreadLost   = 0.4             // work that unloaded copies carried, to that of one copy of the model, at most
	storePart    = 0.7             // part of the gain that counts for a load from the store, which others wait for
	spareAfter   = 3 * time.Second // without moves for demand
	idleRate     = 0.1             // requests a second, below which nobody misses a model
	reasonSpread = "spread"
)

// Place implements bamboostep.Placer.
func (p *Spread) Place(now time.Time, fleet bamboostep.Fleet) []bamboostep.Move {
	if p.placer.rooms == nil {
		p.placer.rooms = make(map[string]room)
		p.moved = now
	}
	return eachPlace(fleet, func(v *view) {
		v.withdraw(fleet)
		p.restore(now, v)
		p.placer.useRooms(now, v)
		for range spreadMoves {
			if v.loads <= 0 || !p.spreadOne(now, v) {
				break
			}
		}
		if len(v.moves) > 0 {
			p.moved = now
		}
		if now.Sub(p.moved) >= spareAfter {
			v.fillAtHand()
		}
	})
}

// restore orders the copies that are missing, those of models with the fewest first
// and of the same number the most asked for.
func (p *Spread) restore(now time.Time, v *view) {
	missing := slices.DeleteFunc(slices.Clone(v.models), func(m *model) bool { return m.present() >= v.needs(m) })
	slices.SortStableFunc(missing, func(a, b *model) int {
		return cmp.Or(cmp.Compare(a.present(), b.present()), cmp.Compare(b.rate, a.rate))
	})
	for _, m := range missing {
		for m.present()+p.placer.roomsFor(m) < v.needs(m) && p.restoreOne(now, v, m) {
		}
	}
}

// restoreOne orders one copy, or makes room for it.
func (p *Spread) restoreOne(now time.Time, v *view, m *model) bool {
	var best *spreading
	for _, w := range v.workers {
		s := spreading{model: m, to: w}
		if m.on(w) || len(w.kept) > 0 || v.loads <= 0 || !v.makeSpread(&s, m.present() > 0) {
			continue
		}
		if best == nil || v.restoresBetter(&s, best) {
			best = &s
		}
	}
	if best == nil {
		return false
	}
	p.carryOut(now, v, best)
	return true
}

// restoresBetter compares two places for a copy of one model: where the weights are
// kept, then where less is lost for it, then apart from other copies, then where
// more memory is free.
func (v *view) restoresBetter(a, b *spreading) bool {
	if x, y := slices.Contains(a.to.copied, a.model.Version), slices.Contains(b.to.copied, b.model.Version); x != y {
		return x
	}
	if a.evict.work != b.evict.work {
		return a.evict.work < b.evict.work
	}
	if x, y := a.model.inDomain(a.to.domain), b.model.inDomain(b.to.domain); x != y {
		return y
	}
	return a.to.free > b.to.free
}

// needs returns how many copies m must have. One that nobody has asked for of late
// needs none while VMs keep its weights, since it is back within a moment.
func (v *view) needs(m *model) int {
	if v.idle(m) {
		return 0
	}
	return m.copiesWanted()
}

// idle reports whether nobody misses m while it is not held.
func (v *view) idle(m *model) bool {
	return m.rate < idleRate && m.quick &&
		slices.ContainsFunc(v.workers, func(w *worker) bool { return slices.Contains(w.copied, m.Version) })
}

// keepOneUnlessIdle lets copies go as long as one answers, and the last of an idle model.
func (v *view) keepOneUnlessIdle(r *replica) int { return min(1, v.needs(r.model)) }

// keepNeeded lets copies go that are more than are restored.
func (v *view) keepNeeded(r *replica) int { return v.needs(r.model) }

// spreading is one copy that would relieve a VM.
type spreading struct {
	model *model
	to    *worker
	evict surplus
	gain  float64 // work that the busiest holder is relieved of, roughly, tokens a second
}

// spreadOne makes the most useful move, if there is one.
func (p *Spread) spreadOne(now time.Time, v *view) bool {
	loads := v.levels()
	models := slices.Clone(v.models)
	slices.SortStableFunc(models, func(a, b *model) int { return cmp.Compare(b.workOfOne(), a.workOfOne()) })
	var best *spreading
	for _, m := range models {
		if s := p.bestFor(v, m, loads); s != nil && (best == nil || s.gain > best.gain) {
			best = s
		}
	}
	if best == nil {
		return false
	}
	p.carryOut(now, v, best)
	return true
}

func (p *Spread) carryOut(now time.Time, v *view, s *spreading) {
	if !slices.Contains(s.to.copied, s.model.Version) {
		v.store--
	}
	if len(s.evict.copies) == 0 {
		v.addLoad(s.model, s.to, reasonSpread)
		return
	}
	for _, r := range s.evict.copies {
		v.addUnload(r, reasonRoom)
	}
	s.to.setAside(s.model)
	p.placer.rooms[s.to.name] = room{s.model.Name, now.Add(roomKept)}
}

// bestFor returns the best place for one more copy of m, or nil if none helps.
func (p *Spread) bestFor(v *view, m *model, loads map[*worker]float64) *spreading {
	level := 0.0
	for _, w := range m.holders() {
		level = max(level, loads[w])
	}
	if level < p.LeastWork || m.work <= 0 {
		return nil
	}
	var best *spreading
	for _, w := range v.workers {
		s := spreading{model: m, to: w, gain: min(level-loads[w], m.workOfOne())}
		if m.on(w) || len(w.kept) > 0 || loads[w] > spreadRatio*level || !v.makeSpread(&s, true) {
			continue
		}
		if s.gain >= p.LeastWork*spreadGain && (best == nil || s.gain > best.gain) {
			best = &s
		}
	}
	return best
}

// makeSpread finds what must go for a copy, and takes what that loses from its gain.
// It returns false if there is no way. Where others answer, a copy may not cost much
// more than it brings.
func (v *view) makeSpread(s *spreading, others bool) bool {
	if !slices.Contains(s.to.copied, s.model.Version) {
		if v.store <= 0 {
			return false
		}
		s.gain *= storePart
	}
	if s.to.free >= s.model.size {
		return true
	}
	floor := v.keepOneUnlessIdle
	if others {
		floor = v.keepNeeded
	}
	s.evict = s.to.surplus(s.model.size, floor, false)
	enough := s.evict.free >= s.model.size && len(s.evict.copies) > 0 && len(s.evict.copies) <= v.unloads
	if !enough || others && s.evict.work > max(float64(len(s.evict.copies)), spreadLost*s.model.workOfOne()) {
		return false
	}
	s.gain -= s.evict.work
	return true
}

// fillAtHand loads copies where memory is free and the VM keeps the weights: those of
// models without any first, then second copies of what is asked for, so that the
// loss of one VM leaves them reachable.
func (v *view) fillAtHand() {
	byNeed := slices.SortedStableFunc(slices.Values(v.models), func(a, b *model) int {
		return cmp.Or(cmp.Compare(a.present(), b.present()), cmp.Compare(b.rate, a.rate))
	})
	for _, m := range byNeed {
		if v.loads <= 0 {
			return
		}
		if m.present() > 1 || m.present() == 1 && m.rate == 0 {
			continue
		}
		w := v.bestWorker(m, func(w *worker) bool {
			return w.free >= m.size && len(w.kept) == 0 && slices.Contains(w.copied, m.Version)
		})
		if w != nil {
			v.addLoad(m, w, reasonSpare)
		}
	}
}
