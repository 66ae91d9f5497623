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
	PrefillGapUS int64   // the same while prompts are prefilled
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
