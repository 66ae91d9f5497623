package fleet

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/daemon"
	"github.com/bamboostep/bamboostep/timeline"
	"github.com/bamboostep/bamboostep/wire"
)

// slowDirectory answers each reading of the list after a time.
type slowDirectory struct {
	answerTime time.Duration
	readings   atomic.Int32
}

func (d *slowDirectory) Listings(ctx context.Context) ([]bamboostep.Listing, error) {
	d.readings.Add(1)
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(d.answerTime):
		return []bamboostep.Listing{engine(1, "a")}, nil
	}
}

// newWireNode returns a node that may take any part in a test.
func newWireNode(name string) *wire.Node {
	return &wire.Node{
		Hello:   wire.Hello{Name: name, Role: "entry"},
		Clock:   &timeline.Clock{Wall: daemon.SystemClock{}},
		Metrics: wire.NewMetrics(prometheus.NewRegistry()),
	}
}

// Guards against entries that read the platform's list themselves, each of them, while a voter reads it in time but
// slowly: an unchanged list was passed on up to a second after its reading, and so grew older than entries accept.
func TestSlowListIsReadByVotersAlone(t *testing.T) {
	const (
		entries    = 20
		duration   = 7 * time.Second
		answerTime = 650 * time.Millisecond // of at most readTimeout
	)
	t.Parallel()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	directory := &slowDirectory{answerTime: answerTime}
	recorder := &timeline.Recorder{Clock: &timeline.Clock{Wall: daemon.SystemClock{}}}
	reader := &ListReader{Directory: directory, Recorder: recorder}
	mux := &wire.Mux{}
	reader.Register(mux)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go (&wire.Listener{Node: newWireNode("voter"), Net: l, Handler: mux}).Run(ctx)
	go reader.Run(ctx)
	time.Sleep(readInterval) // so that the followers ask at times that differ from those of the readings
	var direct slowDirectory
	for i := range entries {
		time.Sleep(time.Second / entries)
		follower := &ListFollower{
			Node:      newWireNode(fmt.Sprint("entry-", i)),
			Fleet:     newFleet(),
			Voters:    func() []string { return []string{l.Addr().String()} },
			Directory: &direct,
			Recorder:  recorder,
		}
		go follower.Run(ctx)
	}
	time.Sleep(duration)
	if got := direct.readings.Load(); got != 0 {
		t.Errorf("readings of the list by %d entries beside %d of the voter: got %d, want 0", entries, directory.readings.Load(), got)
	}
}

// Guards against a list that was long on its way, or waited in an entry that stood still, and is taken for the newest (issue 44): it would
// replace what other voters say, and no list would be read directly.
func TestListLongOnItsWayIsOld(t *testing.T) {
	const onItsWay = 2900 * time.Millisecond // more than maxListAge, less than longPollTimeout
	t.Parallel()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	mux := &wire.Mux{}
	mux.On(KindList, func(m *wire.Message) {
		r := ListReply{Version: uint64(time.Now().UnixNano()), Full: true, Listings: []bamboostep.Listing{engine(1, "a")}, Entries: 1}
		time.AfterFunc(onItsWay, func() { _ = m.Reply(r) })
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go (&wire.Listener{Node: newWireNode("voter"), Net: l, Handler: mux}).Run(ctx)
	var direct slowDirectory
	follower := &ListFollower{
		Node:      newWireNode("entry"),
		Fleet:     newFleet(),
		Voters:    func() []string { return []string{l.Addr().String()} },
		Directory: &direct,
		Recorder:  &timeline.Recorder{Clock: &timeline.Clock{Wall: daemon.SystemClock{}}},
	}
	go follower.Run(ctx)
	time.Sleep(3 * directReadInterval)
	if direct.readings.Load() == 0 {
		t.Errorf("got no direct reading, want some while the list of the only voter is %v old", onItsWay)
	}
}
