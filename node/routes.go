package main

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/bamboostep/bamboostep/ledger"
	"github.com/bamboostep/bamboostep/platform"
	"github.com/bamboostep/bamboostep/route"
	"github.com/bamboostep/bamboostep/timeline"
)

// applyRoutes decodes the published routes of s and stores them in table if their version is
// higher than that of table. A lower version is ignored, since a voter that lags may send
// one. Routes that cannot be decoded or are invalid are recorded and not applied.
func applyRoutes(p *process, s *ledger.State, table *atomic.Pointer[route.Table]) {
	data, version := s.Set()
	current := table.Load()
	if data == nil || (current != nil && current.Revision >= version) {
		return
	}
	decoded, err := platform.ParseRoutes(data)
	if err != nil {
		p.recorder.Record(timeline.Event{Kind: "routes_unreadable", Revision: version, Detail: err.Error()})
		return
	}
	frozen, err := decoded.Freeze()
	if err != nil {
		p.recorder.Record(timeline.Event{Kind: "routes_invalid", Revision: version, Detail: err.Error()})
		return
	}
	table.Store(frozen.WithHistory(current, time.Now()))
	p.recorder.Record(timeline.Event{Kind: "routes_in_force", Revision: version, Detail: fmt.Sprintf("%d routes", len(decoded.Routes))})
}

// hasService returns a function that reports whether a service is in the routes in force. Before the first routes every
// service counts.
func hasService(table *atomic.Pointer[route.Table]) func(name string) bool {
	return func(name string) bool {
		t := table.Load()
		return t == nil || t.Service(name) != nil
	}
}
