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
	spreadMoves  = 6   // in one round
	spreadRatio  = 0.9 // work of the VM that gets a copy, to that of the VM that is relieved, at most
	spreadLost   = 0.4 // work that unloaded copies carried, to that of the new copy, at most
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
	score float64 // work of the VM that gets the copy, and what is lost for it
}

// spreadOne makes the most useful move, if there is one.
func (p *Spread) spreadOne(now time.Time, v *view) bool {
	loads := v.presentLoads()
	models := slices.Clone(v.models)
	slices.SortStableFunc(models, func(a, b *model) int { return cmp.Compare(b.workOfOne(), a.workOfOne()) })
	for _, m := range models {
		best := v.bestSpreading(m, loads, p.LeastWork)
		if best == nil {
			continue
		}
		p.carryOut(now, v, best)
		return true
	}
	return false
}

func (p *Spread) carryOut(now time.Time, v *view, s *spreading) {
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

// presentLoads returns the work of each worker, with that of each model spread over
// the copies that answer or load.
func (v *view) presentLoads() map[*worker]float64 {
	loads := make(map[*worker]float64, len(v.workers))
	for _, m := range v.models {
		n := float64(max(1, m.holders()))
		for _, w := range v.workers {
			if m.on(w) {
				loads[w] += m.work / n
			}
		}
	}
	return loads
}

// holders counts the copies of m, those that wait for room included.
func (m *model) holders() int {
	on := make(map[*worker]bool)
	for _, r := range m.copies {
		if r.State != bamboostep.ReplicaUnloading {
			on[r.worker] = true
		}
	}
	return len(on)
}

// bestSpreading returns the best place for one more copy of m, or nil if none helps.
func (v *view) bestSpreading(m *model, loads map[*worker]float64, least float64) *spreading {
	busiest := 0.0
	for _, w := range v.workers {
		if m.on(w) {
			busiest = max(busiest, loads[w])
		}
	}
	if busiest < least || m.work <= 0 {
		return nil
	}
	share := m.work / float64(m.holders()+1)
	var best *spreading
	for _, w := range v.workers {
		if m.on(w) || len(w.kept) > 0 || loads[w]+share > spreadRatio*busiest {
			continue
		}
		s := spreading{model: m, to: w, score: loads[w] + share}
		if w.free < m.size {
			s.evict = w.surplus(m.size, keepOne, false)
			if s.evict.free < m.size || s.evict.work > spreadLost*share || len(s.evict.copies) == 0 || len(s.evict.copies) > v.unloads {
				continue
			}
			s.score += s.evict.work
		}
		if !slices.Contains(w.copied, m.Version) {
			s.score += share / 2 // a load from the store takes longer, and others wait for it
		}
		if best == nil || s.score < best.score {
			best = &s
		}
	}
	return best
}

// secondCopies loads a second copy of models that are asked for, where memory is
// free, so that the loss of one VM leaves them reachable.
func (v *view) secondCopies() {
	byRate := slices.SortedStableFunc(slices.Values(v.models), func(a, b *model) int { return cmp.Compare(b.rate, a.rate) })
	for _, m := range byRate {
		if v.loads <= 0 || m.rate == 0 {
			return
		}
		if m.present() != 1 {
			continue
		}
		if w := v.bestWorker(m, func(w *worker) bool { return w.free >= m.size }); w != nil {
			v.addLoad(m, w, reasonSpare)
		}
	}
}

