package placement

import (
	"math"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/fleet"
	"github.com/bamboostep/bamboostep/route"
)

// demandFade is the time in which what was asked fades to a third.
const demandFade = 3 * time.Second

// demand adds up what the entries' callers ask of each model. Older counts fade, so
// that a shift shows within seconds.
type demand struct {
	models map[string]*asked
}

type asked struct {
	requests float64
	tokens   float64
	late     float64
	at       time.Time
}

func (a *asked) fade(now time.Time) {
	if passed := now.Sub(a.at); passed > 0 {
		f := math.Exp(-passed.Seconds() / demandFade.Seconds())
		a.requests *= f
		a.tokens *= f
		a.late *= f
		a.at = now
	}
}

// note takes an entry's demand, and reports whether callers wait for a model.
func (d *demand) note(notes []fleet.Demand, now time.Time) (urgent bool) {
	if d.models == nil {
		d.models = make(map[string]*asked)
	}
	for _, n := range notes {
		a := d.models[n.Model]
		if a == nil {
			a = &asked{at: now}
			d.models[n.Model] = a
		}
		a.fade(now)
		a.requests += float64(n.Asked)
		a.tokens += float64(n.Tokens)
		a.late += float64(n.Late)
		urgent = urgent || n.Late > 0
	}
	return urgent
}

// rate returns the requests a second for all models.
func (d *demand) rate(models []route.Model, now time.Time) float64 {
	sum := 0.0
	for _, m := range models {
		sum += d.of(m.Name, now).Rate
	}
	return sum
}

// of returns the demand for a model now.
func (d *demand) of(model string, now time.Time) bamboostep.Demand {
	out := bamboostep.Demand{Name: model}
	a := d.models[model]
	if a == nil {
		return out
	}
	a.fade(now)
	out.Rate = a.requests / demandFade.Seconds()
	out.Work = a.tokens / demandFade.Seconds()
	if a.requests > 0 {
		out.LateShare = min(1, a.late/a.requests)
	}
	return out
}
