package backend

import (
	"testing"

	"github.com/bamboostep/bamboostep"
)

// Guards against an agent that holds the answers of any number of attempts, since each frees its place when its answer is whole and not when the entry has
// fetched it: beyond the bound nothing starts and each that runs keeps little, until entries have fetched enough.
func TestOutputThatIsNotFetchedHoldsAttemptsBack(t *testing.T) {
	const bound = 3 * windowBytes
	table := &table{concurrency: 2, queue: 10, maxOutput: bound}
	started := func(acts []action) (ids []bamboostep.AttemptID) {
		for _, a := range acts {
			if a.kind == actionStart {
				ids = append(ids, a.attempt)
			}
		}
		return ids
	}
	var running []bamboostep.AttemptID
	for _, id := range []bamboostep.AttemptID{"a", "b", "c", "d", "e", "f"} {
		running = append(running, started(table.offered(0, 1, bamboostep.Offer{Attempt: id, StartBy: 1e6}, false, ""))...)
	}
	var ended []bamboostep.AttemptID
	for len(running) > 0 && len(ended) < 3 {
		id := running[0]
		running = running[1:]
		for n := 0; n < windowBytes; n += ackEvery {
			if !table.room(id) {
				t.Fatalf("attempt %q has no room for its answer with %d bytes that are not acknowledged", id, table.outputBytes)
			}
			table.piece(id, bamboostep.Answer{Status: 200, Data: make([]byte, ackEvery), Last: n+ackEvery == windowBytes})
		}
		running = append(running, started(table.ended(0, id, nil))...)
		ended = append(ended, id)
	}
	if len(running) != 1 || len(table.queued) != 2 {
		t.Fatalf("with as much output as may be kept: got %v running and %d waiting, want 1 and 2", running, len(table.queued))
	}
	for n := 0; table.room(running[0]); n += ackEvery {
		if n >= minWindowBytes {
			t.Fatalf("attempt %q keeps %d bytes, want at most %d", running[0], n, minWindowBytes)
		}
		table.piece(running[0], bamboostep.Answer{Status: 200, Data: make([]byte, ackEvery)})
	}
	if got := started(table.tick(0)); len(got) != 0 {
		t.Errorf("started before output was fetched: %v", got)
	}
	table.acked(ended[0], windowBytes, true)
	if got := started(table.tick(0)); len(got) != 1 || !table.room(running[0]) {
		t.Errorf("after an answer was fetched: got %v started, want one, and room for %q", got, running[0])
	}
}
