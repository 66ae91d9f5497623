// Package pace estimates how fast a model engine works now, from what its holder and the
// entries see of its requests. Engines of one service may differ: their VMs are of
// different speed, or share their hardware with others. Nothing here is preset. Until an
// engine was observed its pace is unknown, and the pace of its peers stands for it.
//
// The package does no I/O and reads no clock.
package pace

import "time"

// Pace is how fast an engine works, as of its newest observations. A zero field is
// unknown. It is immutable.
type Pace struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	PrefillPerMS float64 // prompt tokens that are prefilled in a millisecond
	EventGapUS   int64   // time between two events of a stream while no prompt is prefilled, microseconds
	PrefillGapUS int64   // the same while prompts are prefilled without a break
}

// EventGap returns the time between two events while no prompt is prefilled; 0 if it is unknown.
func (p Pace) EventGap() time.Duration { return time.Duration(p.EventGapUS) * time.Microsecond }

// PrefillGap returns the time between two events while prompts are prefilled; 0 if it is unknown.
func (p Pace) PrefillGap() time.Duration { return time.Duration(p.PrefillGapUS) * time.Microsecond }

// Prefill returns the time that an engine of this pace takes to prefill tokens; 0 if it is unknown.
func (p Pace) Prefill(tokens int) time.Duration {
	if p.PrefillPerMS <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / p.PrefillPerMS * float64(time.Millisecond))
}

// Complete reports whether no field is unknown.
func (p Pace) Complete() bool { return p.PrefillPerMS > 0 && p.EventGapUS > 0 && p.PrefillGapUS > 0 }

// LongestGap returns the longest time between two events that is expected while tokens are prefilled: a decode
// step takes the longer for them, and never longer than while prompts are prefilled without a break.
func (p Pace) LongestGap(tokens int) time.Duration {
	added := p.Prefill(tokens)
	if p.PrefillGapUS > 0 {
		added = min(added, max(0, p.PrefillGap()-p.EventGap()))
	}
	return p.EventGap() + added
}

// Similar reports whether no field differs from that of o by more than a tenth.
func (p Pace) Similar(o Pace) bool {
	return similar(p.PrefillPerMS, o.PrefillPerMS) && similar(float64(p.EventGapUS), float64(o.EventGapUS)) &&
		similar(float64(p.PrefillGapUS), float64(o.PrefillGapUS))
}

func similar(a, b float64) bool { return max(a, b) <= 1.1*min(a, b) }

// Valid reports whether the fields are figures that an engine can have.
func (p Pace) Valid() bool {
	return p.PrefillPerMS >= 0 && p.PrefillPerMS <= maxTokensPerMS && p.EventGapUS >= 0 && p.PrefillGapUS >= 0 &&
		p.EventGap() <= maxGap && p.PrefillGap() <= maxGap
}

// Bounds beyond which a figure is garbage. They are far beyond any accelerator.
const (
	maxTokensPerMS = 1e6
	maxGap         = time.Minute
)
