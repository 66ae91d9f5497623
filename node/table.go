package main

import (
	"fmt"
	"sync/atomic"

	"github.com/bamboostep/bamboostep/ledger"
	"github.com/bamboostep/bamboostep/platform"
	"github.com/bamboostep/bamboostep/route"
	"github.com/bamboostep/bamboostep/timeline"
)

// noteTable puts newly published routes in force. A process never goes back to a
// lower number, whichever voter tells it of one.
func noteTable(p *process, s *ledger.State, table *atomic.Pointer[route.Table]) {
	data, number := s.Set()
	now := table.Load()
	if data == nil || (now != nil && now.Number >= number) {
		return
	}
	next, err := platform.ParseRoutes(data)
	if err != nil {
		p.recorder.Record(timeline.Event{Kind: "routes_unreadable", Revision: number, Detail: err.Error()})
		return
	}
	frozen, err := next.Freeze()
	if err != nil {
		p.recorder.Record(timeline.Event{Kind: "routes_invalid", Revision: number, Detail: err.Error()})
		return
	}
	table.Store(frozen)
	p.recorder.Record(timeline.Event{Kind: "routes_in_force", Revision: number, Detail: fmt.Sprintf("%d routes", len(next.Routes))})
}
