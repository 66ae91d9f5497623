package main

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/bamboostep/bamboostep"
)

// After a model was unloaded, the next round runs early, since a load may be
// waiting for the memory. Unloaded adapters do not cause an early round: nothing
// waits for their memory.
func TestEarlyRoundAfterModelUnload(t *testing.T) {
	tests := map[string]struct {
		kind bamboostep.OrderKind
		want int32 // number of rounds half an interval later
	}{
		"model":   {bamboostep.UnloadModel, 2},
		"adapter": {bamboostep.UnloadAdapter, 1},
		"load":    {bamboostep.LoadModel, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var rounds atomic.Int32
				p := &placementLoop{
					Registry:   prometheus.NewRegistry(),
					Demand:     func() []bamboostep.Demand { return nil },
					Leader:     func() (string, uint64, bool) { return "other", 1, false },
					SendDemand: func(string, []bamboostep.Demand) { rounds.Add(1) },
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go p.Run(ctx)
				time.Sleep(roundInterval)
				synctest.Wait()
				p.signalMemoryFreed(bamboostep.Order{Kind: tt.kind})
				time.Sleep(roundInterval / 2)
				synctest.Wait()
				if got := rounds.Load(); got != tt.want {
					t.Errorf("rounds: got %d, want %d", got, tt.want)
				}
			})
		})
	}
}

// The orders of a VM are sent in the order in which they were queued, with
// increasing fencing tokens. Orders from an earlier term are dropped.
func TestOrdersOfVMAreSentInOrder(t *testing.T) {
	move := func(name string) bamboostep.Move {
		return bamboostep.Move{VM: "vm", Order: bamboostep.Order{Kind: bamboostep.UnloadAdapter, Name: name}}
	}
	p := &placementLoop{
		term:     7,
		sequence: 4,
		pending:  map[pendingKey]bamboostep.Order{keyOf(move("old")): {}},
		queues:   map[string][]queuedMove{"vm": {{6, move("old")}, {7, move("a")}, {7, move("b")}}},
	}
	var last bamboostep.FencingToken
	for _, want := range []string{"a", "b"} {
		got, ok := p.dequeue("vm")
		if !ok || got.Order.Name != want || got.Order.Fence.Term != 7 || !last.Less(got.Order.Fence) {
			t.Errorf("got order %+v after fence %v, want %q under a higher one", got.Order, last, want)
		}
		last = got.Order.Fence
	}
	if _, ok := p.dequeue("vm"); ok || len(p.pending) != 0 || len(p.queues) != 0 {
		t.Errorf("at the end: got %v pending and %v queued, want none", p.pending, p.queues)
	}
}
