package main

import "github.com/bamboostep/bamboostep/timeline"

// admit notes the arrival of a request for a declared target.
func (x *exchange) admit(j *job) {
	now := x.Clock.Now()
	x.budget.Request(now)
	x.demand.asked(x.target, now, j.work)
	x.note(timeline.Event{Kind: "request_received", Detail: string(x.class)})
}
