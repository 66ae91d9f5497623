// Package load is an open-loop load generator with histograms: it sends requests
// at the times of a schedule whatever becomes of the earlier ones, checks every
// answer against the engine stand-in's reference, and counts outcomes.
//
// A schedule is drawn from a seed alone, before anything is sent, so systems can
// be compared on the very same requests.
package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Target is a model or adapter that requests name, with its targets in time.
type Target struct {
	Name          string
	Model         string // base model; Name itself if Name is a model
	FirstToken    time.Duration
	BetweenTokens time.Duration
}

// Adapter returns the adapter's name, or "" if t is a model.
func (t Target) Adapter() string {
	if t.Name == t.Model {
		return ""
	}
	return t.Name
}

// Plan says which requests to draw. With shifts, some models are hot from the
// start, and each shift picks others; without, all are asked for alike.
type Plan struct {
	Targets    []Target
	Seed       uint64
	Duration   time.Duration
	Rate       float64       // requests a second, on average
	HotModels  int           // at one time
	HotFactor  float64       // share of a hot model, in shares of another one
	ShiftEvery time.Duration // between two shifts
	Burst      time.Duration // mean length of a burst and of a lull
	BurstSwing float64       // a burst has 1+BurstSwing times the rate, a lull 1-BurstSwing
	MaxTokens  int           // answers have between a quarter of it and all of it
	Prefixes   int           // shared prompt beginnings of a target
	MaxCount   int           // requests at most; 0 for no bound
}

// Arrival is one request of a schedule.
type Arrival struct {
	At     time.Duration
	Target Target
	Prompt string
	Tokens int
}

const sharedPromptWords = 120

// Draw returns the schedule of the plan, in order of time.
func (p Plan) Draw() []Arrival {
	d := drawing{plan: p, random: rand.New(rand.NewPCG(p.Seed, p.Seed^0x9e3779b9))}
	d.group()
	var schedule []Arrival
	for at := d.gap(0); at < p.Duration; at += d.gap(at) {
		if p.MaxCount > 0 && len(schedule) >= p.MaxCount {
			break
		}
		schedule = append(schedule, d.arrival(at))
	}
	return schedule
}

// drawing is the state of one Draw.
type drawing struct {
	plan      Plan
	random    *rand.Rand
	models    []string
	targets   map[string][]Target // by base model
	weights   []float64           // by model
	shiftAt   time.Duration
	bursting  bool
	burstEnds time.Duration
	prefixes  map[prefixKey]string
}

func (d *drawing) group() {
	d.targets = make(map[string][]Target)
	d.prefixes = make(map[prefixKey]string)
	for _, t := range d.plan.Targets {
		if d.targets[t.Model] == nil {
			d.models = append(d.models, t.Model)
		}
		d.targets[t.Model] = append(d.targets[t.Model], t)
	}
	d.weights = make([]float64, len(d.models))
	for i := range d.weights {
		d.weights[i] = 1
	}
}

// gap returns the time to the next arrival after at.
func (d *drawing) gap(at time.Duration) time.Duration {
	for at >= d.burstEnds && d.plan.Burst > 0 {
		d.bursting = !d.bursting
		d.burstEnds += time.Duration(d.random.ExpFloat64() * float64(d.plan.Burst))
	}
	rate := d.plan.Rate * (1 - d.plan.BurstSwing)
	if d.bursting {
		rate = d.plan.Rate * (1 + d.plan.BurstSwing)
	}
	return time.Duration(d.random.ExpFloat64() / rate * float64(time.Second))
}

func (d *drawing) arrival(at time.Duration) Arrival {
	for d.plan.ShiftEvery > 0 && at >= d.shiftAt {
		d.shift()
		d.shiftAt += d.plan.ShiftEvery
	}
	targets := d.targets[d.models[d.pickModel()]]
	t := targets[d.random.IntN(len(targets))]
	least := max(1, d.plan.MaxTokens/4)
	return Arrival{
		At:     at,
		Target: t,
		Prompt: d.prompt(t),
		Tokens: least + d.random.IntN(max(1, d.plan.MaxTokens-least+1)),
	}
}

// shift makes other models hot.
func (d *drawing) shift() {
	for i := range d.weights {
		d.weights[i] = 1
	}
	for _, i := range d.random.Perm(len(d.models))[:min(d.plan.HotModels, len(d.models))] {
		d.weights[i] = d.plan.HotFactor
	}
}

func (d *drawing) pickModel() int {
	sum := 0.0
	for _, w := range d.weights {
		sum += w
	}
	at := d.random.Float64() * sum
	for i, w := range d.weights {
		if at -= w; at < 0 {
			return i
		}
	}
	return len(d.weights) - 1
}

// prompt returns one of the target's shared beginnings with an end of its own.
func (d *drawing) prompt(t Target) string {
	key := prefixKey{t.Name, d.random.IntN(max(1, d.plan.Prefixes))}
	shared, ok := d.prefixes[key]
	if !ok {
		var b strings.Builder
		for i := range sharedPromptWords {
			fmt.Fprintf(&b, "%s-%d-%d ", key.target, key.number, i)
		}
		shared = b.String()
		d.prefixes[key] = shared
	}
	return fmt.Sprintf("%squestion %x", shared, d.random.Uint32())
}

// prefixKey names one shared beginning of prompts.
type prefixKey struct {
	target string
	number int
}
