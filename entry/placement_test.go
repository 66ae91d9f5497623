package main

import (
	"testing"

	"github.com/bamboostep/bamboostep"
)

// The orders of one VM leave in the order they were chosen in, each under a higher
// fence than the one before, and those of a term that is over do not leave at all.
func TestOrdersOfOneVMLeaveInOrder(t *testing.T) {
	move := func(name string) bamboostep.Move {
		return bamboostep.Move{VM: "vm", Order: bamboostep.Order{Kind: bamboostep.UnloadAdapter, Name: name}}
	}
	p := &placement{
		term:     7,
		sequence: 4,
		pending:  map[pendingKey]bamboostep.Order{keyOf(move("old")): {}},
		queues:   map[string][]queuedMove{"vm": {{6, move("old")}, {7, move("a")}, {7, move("b")}}},
	}
	var last bamboostep.Fence
	for _, want := range []string{"a", "b"} {
		got, ok := p.nextMove("vm")
		if !ok || got.Order.Name != want || got.Order.Fence.Term != 7 || !last.Less(got.Order.Fence) {
			t.Errorf("got order %+v after fence %v, want %q under a higher one", got.Order, last, want)
		}
		last = got.Order.Fence
	}
	if _, ok := p.nextMove("vm"); ok || len(p.pending) != 0 || len(p.queues) != 0 {
		t.Errorf("at the end: got %v pending and %v queued, want none", p.pending, p.queues)
	}
}
