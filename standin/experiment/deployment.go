// Package experiment measures the policy against the plain ways of doing it, with
// the real programs before stand-in engines on this machine.
//
// Every system gets the same schedule of requests, drawn from a seed, and the same
// faults at the same time of the run. Figures are of one machine on which all
// processes share the processors, so only systems measured side by side compare.
package experiment

import (
	"fmt"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/catalog"
	"github.com/bamboostep/bamboostep/standin/load"
)

// System is one way of routing and placing, by the entry's settings.
type System struct {
	Name      string
	Router    string
	Placer    string
	Admission string
}

// Systems are the product, first, and the baselines, which have its admission.
var Systems = []System{
	{"product", "score", "demand", "predicted_wait"},
	{"round_robin", "round_robin", "on_demand", "predicted_wait"},
	{"least_load", "least_load", "on_demand", "predicted_wait"},
	{"static", "score", "static", "predicted_wait"},
}

// PlainSystems are baselines that have neither the product's router nor its admission.
// They run only when they are named.
var PlainSystems = []System{
	{"plain_round_robin", "round_robin", "on_demand", "none"},
	{"plain_least_load", "least_load", "on_demand", "none"},
	{"plain_static", "least_load", "static", "none"},
}

// deployment is one of the users' deployments.
type deployment struct {
	name     string
	set      *catalog.Set
	place    bamboostep.Place
	objects  string // folder
	requests float64
}

// requestsPerWorker is the mean rate of requests, for each worker a second; at 20
// tokens each it takes about two thirds of an engine.
const requestsPerWorker = 6.0

func loadDeployment(name, objects string) (*deployment, error) {
	set, err := catalog.Load(objects)
	if err != nil {
		return nil, err
	}
	for _, p := range set.Objects().Places {
		if p.Kind == bamboostep.EnginePlace {
			return &deployment{name: name, set: set, place: p, objects: objects, requests: requestsPerWorker * float64(p.Workers)}, nil
		}
	}
	return nil, fmt.Errorf("objects in %q declare no place with engines", objects)
}

// targets returns every model and adapter that callers may name.
func (d *deployment) targets() []load.Target {
	var targets []load.Target
	for _, m := range d.set.Objects().Models {
		targets = append(targets, target(m.Name, m))
	}
	for _, a := range d.set.Objects().Adapters {
		if m, ok := d.set.Model(a.Model); ok {
			targets = append(targets, target(a.Name, m))
		}
	}
	return targets
}

func target(name string, m bamboostep.Model) load.Target {
	return load.Target{
		Name:          name,
		Model:         m.Name,
		FirstToken:    time.Duration(m.FirstTokenMS) * time.Millisecond,
		BetweenTokens: time.Duration(m.BetweenTokensMS) * time.Millisecond,
	}
}

// plan is the schedule of one seed.
func (d *deployment) plan(seed uint64, cfg Config) load.Plan {
	return load.Plan{
		Targets:    d.targets(),
		Seed:       seed,
		Duration:   cfg.Duration,
		Rate:       d.requests * cfg.RateFactor,
		HotModels:  max(1, len(d.set.Objects().Models)/modelsPerHot),
		HotFactor:  hotFactor,
		ShiftEvery: cfg.ShiftEvery,
		Burst:      burst,
		BurstSwing: burstSwing,
		MaxTokens:  maxTokens,
		Prefixes:   prefixes,
	}
}

const (
	modelsPerHot = 13 // one model in so many is hot
	hotFactor    = 10
	burst        = time.Second
	burstSwing   = 0.5
	maxTokens    = 32
	prefixes     = 4
)

// engineArgs are the speeds of one engine: about 5 steps of 30 to 42 ms a token at
// most for 8 sequences at once, so about 190 tokens a second.
var engineArgs = []string{
	"--step", "30ms", "--step_per_sequence", "1500us", "--prefill_per_token", "200us",
	"--max_batch", "8", "--max_waiting", "512",
}
