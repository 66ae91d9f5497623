package ledger_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/bamboostep/bamboostep/ledger"
)

// Guards against a process that never hears of a change again, because all voters that it knew were replaced while it was cut off: its
// settings name others by then (issue 44).
func TestClientFindsVotersThatReplacedAllItKnew(t *testing.T) {
	before := newCluster(t, "a", "b", "c")
	before.startAll()
	var named atomic.Pointer[[]ledger.Member]
	named.Store(&before.members)
	node, recorder := newNode("client")
	client := &ledger.Client{Node: node, Members: before.members, Seeds: func() []ledger.Member { return *named.Load() }, Recorder: recorder}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go client.Run(ctx)
	revision := func() uint64 {
		_, n := client.State().Set()
		return n
	}
	mustPublish(t, before.running[before.leader()].client, publication("p0", 0))
	before.eventually("first revision at the client", func() bool { return revision() == 1 })
	before.stopAll()

	after := newCluster(t, "d", "e", "f")
	after.startAll()
	const changes = 20 // more entries than those that the client has
	for i := range uint64(changes) {
		mustPublish(t, after.running[after.leader()].client, publication(fmt.Sprint("q", i), i))
	}
	named.Store(&after.members)
	after.eventually("newest revision at the client", func() bool { return revision() == changes })
}
