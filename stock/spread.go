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

	placer Placer // restores lost copies and remembers for whom room was made
}

var _ bamboostep.Placer = (*Spread)(nil)

const (
	spreadMoves  = 8    // in one round
	spreadRatio  = 0.85 // work of the VM that gets a copy, to that of the busiest holder, at most
	spreadGain   = 0.3  // least gain, in LeastWork
	spreadLost   = 0.4  // work that unloaded copies carried, to that of one copy of the model, at most
	storePart    = 0.7  // part of the gain that counts for a load from the store, which others wait for
	reasonSpread = "spread"
)

// Place implements bamboostep.Placer.
func (p *Spread) Place(now time.Time, fleet bamboostep.Fleet) []bamboostep.Move {
	if p.placer.rooms == nil {
		p.placer.rooms = make(map[string]room)
	}
	return eachPlace(fleet, func(v *view) {
		v.withdraw(fleet)
		v.restore(func(m *model) bool { return m.present() < m.copiesWanted() })
		p.placer.useRooms(now, v)
		for range spreadMoves {
			if v.loads <= 0 || !p.spreadOne(now, v) {
				break
			}
		}
		v.secondCopies()
	})
}

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
		if m.on(w) || len(w.kept) > 0 || loads[w] > spreadRatio*level || !v.makeSpread(&s) {
			continue
		}
		if s.gain >= p.LeastWork*spreadGain && (best == nil || s.gain > best.gain) {
			best = &s
		}
	}
	return best
}

// makeSpread finds what must go for a copy, and takes what that loses from its gain.
// It returns false if there is no way.
func (v *view) makeSpread(s *spreading) bool {
	if !slices.Contains(s.to.copied, s.model.Version) {
		if v.store <= 0 {
			return false
		}
		s.gain *= storePart
	}
	if s.to.free >= s.model.size {
		return true
	}
	s.evict = s.to.surplus(s.model.size, keepOne, false)
	enough := s.evict.free >= s.model.size && len(s.evict.copies) > 0 && len(s.evict.copies) <= v.unloads
	if !enough || s.evict.work > spreadLost*s.model.workOfOne() {
		return false
	}
	s.gain -= s.evict.work
	return true
}

// secondCopies loads a second copy of models that are asked for, where memory is free
// and the VM keeps the weights, so that the loss of one VM leaves them reachable.
func (v *view) secondCopies() {
	byRate := slices.SortedStableFunc(slices.Values(v.models), func(a, b *model) int { return cmp.Compare(b.rate, a.rate) })
	for _, m := range byRate {
		if v.loads <= 0 || m.rate == 0 {
			return
		}
		if m.present() != 1 {
			continue
		}
		w := v.bestWorker(m, func(w *worker) bool {
			return w.free >= m.size && slices.Contains(w.copied, m.Version)
		})
		if w != nil {
			v.addLoad(m, w, reasonSpare)
		}
	}
}
