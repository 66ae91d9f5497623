package ledger_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/ledger"
	"github.com/bamboostep/bamboostep/timeline"
	"github.com/bamboostep/bamboostep/wire"
)

const testDeadline = 60 * time.Second

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

// cluster runs real voters over loopback, each with its own disk.
type cluster struct {
	t       testing.TB
	root    string
	members []ledger.Member
	running map[string]*process
}

type process struct {
	voter    *ledger.Voter
	client   *ledger.Client
	registry *prometheus.Registry
	cancel   context.CancelFunc
	done     chan error
}

func newCluster(t testing.TB, names ...string) *cluster {
	c := &cluster{t: t, root: t.TempDir(), running: make(map[string]*process)}
	for _, name := range names {
		c.members = append(c.members, c.newMember(name))
	}
	t.Cleanup(c.stopAll)
	return c
}

// newMember gives a name an address that is free now.
func (c *cluster) newMember(name string) ledger.Member {
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	defer nl.Close()
	return ledger.Member{Name: name, Address: nl.Addr().String(), FailureDomain: name}
}

func newNode(name string) (*wire.Node, *timeline.Recorder) {
	clock := &timeline.Clock{Wall: systemClock{}}
	node := &wire.Node{Hello: wire.Hello{Name: name, Role: "entry"}, Clock: clock}
	return node, &timeline.Recorder{Process: name, Clock: clock}
}

func (c *cluster) start(m ledger.Member) *process {
	c.t.Helper()
	node, recorder := newNode(m.Name)
	registry := prometheus.NewRegistry()
	node.Metrics = wire.NewMetrics(registry)
	v := &ledger.Voter{
		Name:     m.Name,
		Members:  c.members,
		Dir:      filepath.Join(c.root, m.Name),
		Node:     node,
		Recorder: recorder,
		Registry: registry,
	}
	var mux wire.Mux
	v.Register(&mux)
	nl, err := net.Listen("tcp", m.Address)
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{
		voter:    v,
		client:   &ledger.Client{Node: node, Members: c.members, Local: v, Recorder: recorder},
		registry: registry,
		cancel:   cancel,
		done:     make(chan error, 1),
	}
	listener := &wire.Listener{Node: node, Net: nl, Handler: &mux}
	stopped := make(chan error, 1)
	go func() { stopped <- listener.Run(ctx) }()
	go p.client.Run(ctx)
	go func() {
		err := v.Run(ctx)
		cancel()
		<-stopped
		p.done <- err
	}()
	c.running[m.Name] = p
	return p
}

func (c *cluster) startAll() {
	for _, m := range c.members {
		c.start(m)
	}
}

func (c *cluster) stop(name string) error {
	p := c.running[name]
	delete(c.running, name)
	p.cancel()
	return <-p.done
}

func (c *cluster) stopAll() {
	for name := range c.running {
		c.stop(name)
	}
}

// leader waits for a running voter that leads.
func (c *cluster) leader() string {
	c.t.Helper()
	var name string
	c.eventually("a leader", func() bool {
		for n, p := range c.running {
			if _, _, self := p.voter.Leader(); self {
				name = n
				return true
			}
		}
		return false
	})
	return name
}

func (c *cluster) eventually(what string, ok func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(testDeadline); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if ok() {
			return
		}
	}
	c.t.Fatalf("no %s within %v", what, testDeadline)
}

func (c *cluster) other(than string) *process {
	for name, p := range c.running {
		if name != than {
			return p
		}
	}
	return nil
}

func publication(id string, based uint64) bamboostep.Publication {
	return bamboostep.Publication{ID: id, BaseRevision: based, Author: "ana", Set: []byte("set " + id)}
}

func mustPublish(t testing.TB, c *ledger.Client, p bamboostep.Publication) bamboostep.Revision {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testDeadline)
	defer cancel()
	r, err := c.Publish(ctx, p)
	if err != nil {
		t.Fatalf("publish %q: %v", p.ID, err)
	}
	return r
}

// A publication survives the death of the leader that took it, and a restart of
// all voters; sent again to another voter it gets the first answer each time.
func TestPublishSurvivesLeaderAndRestart(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.startAll()
	leader := c.leader()
	first := mustPublish(t, c.running[leader].client, publication("p1", 0))
	if first.Number != 1 {
		t.Fatalf("got revision %d, want 1", first.Number)
	}
	c.stop(leader)
	again := mustPublish(t, c.other(leader).client, publication("p1", 0))
	if again.ID != first.ID || again.Number != first.Number || !again.At.Equal(first.At) {
		t.Errorf("sent again after the leader's death: got %+v, want %+v", again, first)
	}
	_, err := c.other(leader).client.Publish(context.Background(), publication("p2", 0))
	var conflict *bamboostep.ConflictError
	if !errors.As(err, &conflict) || conflict.Newest.ID != "p1" {
		t.Errorf("got error %v, want *ConflictError naming p1", err)
	}
	c.stopAll()
	c.startAll()
	for name, p := range c.running {
		if again := mustPublish(t, p.client, publication("p1", 0)); again.Number != 1 || !again.At.Equal(first.At) {
			t.Errorf("sent again to %q after a restart: got %+v, want %+v", name, again, first)
		}
	}
}

// A process that is no voter follows the state through a change of leader.
func TestWatch(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.startAll()
	node, recorder := newNode("watcher")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	seen := make(chan uint64, 100)
	watcher := &ledger.Client{Node: node, Members: c.members, Recorder: recorder, Applied: func(s *ledger.State) {
		if _, revision := s.Set(); revision > 0 {
			seen <- revision
		}
	}}
	go watcher.Run(ctx)
	for i := range uint64(4) {
		if i == 2 {
			c.stop(c.leader())
		}
		mustPublish(t, watcher, publication(fmt.Sprint("p", i), i))
	}
	if err := watcher.Drain(ctx, "vm-1", true); err != nil {
		t.Fatal(err)
	}
	c.eventually("drained VM", func() bool { return watcher.State().Drained("vm-1") })
	set, revision := watcher.State().Set()
	if string(set) != "set p3" || revision != 4 {
		t.Errorf("got set %q at revision %d, want %q at 4", set, revision, "set p3")
	}
	if got := len(watcher.State().Revisions()); got != 4 {
		t.Errorf("got %d revisions, want 4", got)
	}
	last := uint64(0)
	for len(seen) > 0 {
		n := <-seen
		if n < last {
			t.Errorf("saw revision %d after %d", n, last)
		}
		last = n
	}
}
