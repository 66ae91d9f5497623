package stock

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// A model is hot when its requests come late and each of its copies has much to do
// itself. The second condition keeps moves from being spent where more copies would
// not help: when all workers are busy alike, when a model is late only because it
// shares its workers with a hot one, and when a model has just got enough copies but
// the share of its late requests still fades.

const (
	demandHorizon = 60 * time.Second // how long an added copy is assumed to be of use
	loadsPerModel = 2                // copies of one model that load at one time
	hotWork       = 0.7              // work of one copy of a hot model, in mean loads of a worker
	evictionRatio = 0.7              // a copy that carries more of the added one's work stays
	roomKept      = 5 * time.Second  // for the copy that it was made for
)

// followDemand adds copies of hot models, as long as that gains more than the
// declared cost of the moves.
func (p *Placer) followDemand(now time.Time, v *view) {
	p.useRooms(now, v)
	mean := v.meanLoad()
	hot := slices.DeleteFunc(slices.Clone(v.models), func(m *model) bool {
		return m.gain(0) <= v.place.MoveWeight || m.workOfOne() < hotWork*mean
	})
	slices.SortStableFunc(hot, func(a, b *model) int { return cmp.Compare(b.gain(0), a.gain(0)) })
	for _, m := range hot {
		planned := p.roomsFor(m) // copies that wait for room
		for range loadsPerModel - (m.present() - m.resident()) - planned {
			if !p.addForDemand(now, v, m, planned) {
				planned++
			}
		}
	}
}

// room is memory on one worker that copies were unloaded for.
type room struct {
	model string
	until time.Time
}

// useRooms loads copies where room was made for them. Until it is reported free the
// memory is kept, so that what was unloaded is not loaded there again at once.
func (p *Placer) useRooms(now time.Time, v *view) {
	maps.DeleteFunc(p.rooms, func(_ string, r room) bool { return now.After(r.until) })
	for _, w := range v.workers {
		r, ok := p.rooms[w.name]
		m := v.named[r.model]
		switch {
		case !ok || m == nil:
		case m.on(w):
			delete(p.rooms, w.name)
		case w.free >= m.size && v.loads > 0:
			v.addLoad(m, w, reasonDemand)
			delete(p.rooms, w.name)
		case w.free+w.coming < m.size:
			delete(p.rooms, w.name) // another copy has taken it
		default:
			w.setAside(m)
		}
	}
}

// roomsFor returns how many copies of m wait for room that is made for them.
func (p *Placer) roomsFor(m *model) int {
	n := 0
	for _, r := range p.rooms {
		if r.model == m.Name {
			n++
		}
	}
	return n
}

// gain estimates how many requests more would be in time over the horizon with
// one more copy of m, beside so many that are planned already.
func (m *model) gain(planned int) float64 {
	return m.late * demandHorizon.Seconds() / float64(m.present()+planned+1)
}

// workOfOne returns the work of one copy, those that load included.
func (m *model) workOfOne() float64 { return m.work / float64(max(1, m.present())) }

// meanLoad returns the mean load of all workers.
func (v *view) meanLoad() float64 {
	sum := 0.0
	for _, w := range v.workers {
		sum += w.load
	}
	return sum / float64(max(1, len(v.workers)))
}

// addForDemand adds a copy of m on the least loaded worker where it fits. If there
// is none it unloads copies that carry less, and a later round adds the copy. That
// is done while the store is still busy with other loads, too. Copies that wait for
// room already count as planned.
func (p *Placer) addForDemand(now time.Time, v *view, m *model, planned int) (loaded bool) {
	if m.gain(planned) <= v.place.MoveWeight {
		return false
	}
	carried := m.work / float64(m.present()+planned+1)
	w := v.bestWorker(m, func(w *worker) bool { return w.free >= m.size })
	switch {
	case w != nil && v.loads > 0:
		v.addLoad(m, w, reasonDemand)
		return true
	case w != nil:
		w.setAside(m)
	case v.roomIsComing(m) || m.gain(planned) <= 2*v.place.MoveWeight:
	default:
		at := v.unloadSurplus(m, func(r *replica) int {
			if r.work() > carried*evictionRatio {
				return r.model.resident()
			}
			return keepDeclared(r)
		})
		if at != nil {
			p.rooms[at.name] = room{m.Name, now.Add(roomKept)}
		}
	}
	return false
}
