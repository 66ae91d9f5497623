package wire

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep/memory"
	"github.com/bamboostep/bamboostep/timeline"
)

type floodClock struct{}

func (floodClock) Now() time.Time { return time.Now() }

const (
	floodPeers  = 12
	floodBudget = 4 << 20 // bytes, half a frame
	floodWait   = 20 * time.Second
)

// startFlooded starts a node with floodBudget that answers each message with a large one. It returns its address.
func startFlooded(t *testing.T) (*Node, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &Node{Hello: Hello{Name: "flooded"}, Clock: &timeline.Clock{Wall: floodClock{}}, Memory: memory.NewBudget(floodBudget)}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = (&Listener{Node: n, Net: l, Handler: HandlerFunc(func(m *Message) { _ = m.Reply(make([]byte, 1<<20)) })}).Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return n, l.Addr().String()
}

// connectRaw opens a connection to a node and exchanges hellos.
func connectRaw(t *testing.T, address string) net.Conn {
	t.Helper()
	nc, _ := connect(t, address)
	return nc
}

func connect(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	nc, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	r := bufio.NewReader(nc)
	if _, err := exchangeHello(nc, r, Hello{Name: "peer", Version: protocolVersion}, &timeline.Clock{Wall: floodClock{}}); err != nil {
		t.Fatal(err)
	}
	return nc, r
}

// Guards against a process that ends since others send it many large frames that stop short, or read none of many large answers: what it holds stays under its bound,
// and another peer is answered afterwards.
func TestFloodOfFramesStaysWithinTheBudget(t *testing.T) {
	call, err := encodeFrame(envelope{Kind: "x", Call: 1}, "")
	if err != nil {
		t.Fatal(err)
	}
	for name, send := range map[string]func(nc net.Conn){
		"frames that stop short": func(nc net.Conn) {
			head := binary.BigEndian.AppendUint32(nil, MaxFrameBytes)
			_, _ = nc.Write(append(head, make([]byte, MaxFrameBytes-100)...))
		},
		"answers that are not read": func(nc net.Conn) {
			for range 16 {
				_, _ = nc.Write(call)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			n, address := startFlooded(t)
			for range floodPeers {
				nc := connectRaw(t, address)
				_ = nc.SetDeadline(time.Now().Add(floodWait))
				go send(nc)
			}
			for until := time.Now().Add(floodWait); ; time.Sleep(10 * time.Millisecond) {
				if s := n.Memory.State(); s.Used > s.Total {
					t.Fatalf("held: got %d bytes, want at most %d", s.Used, s.Total)
				} else if s.Refused+s.GivenUp > 0 {
					break
				}
				if time.Now().After(until) {
					t.Fatal("nothing was refused")
				}
			}
			peer := &Node{Hello: Hello{Name: "other"}, Clock: &timeline.Clock{Wall: floodClock{}}}
			answered := make(chan struct{})
			ctx, cancel := context.WithTimeout(context.Background(), floodWait)
			defer cancel()
			link := &Link{Node: peer, Address: address, Up: func(c *Conn) {
				go func() {
					if c.Call(ctx, "x", "", nil) == nil {
						close(answered)
						cancel()
					}
				}()
			}}
			_ = link.Run(ctx)
			select {
			case <-answered:
			default:
				t.Error("another peer was not answered")
			}
		})
	}
}

// startLimited starts a node that takes at most so many connections, and returns its address.
func startLimited(t *testing.T, limit int) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &Node{Hello: Hello{Name: "flooded"}, Clock: &timeline.Clock{Wall: floodClock{}}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = (&Listener{Node: n, Net: l, Handler: HandlerFunc(func(*Message) {}), Limit: limit}).Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return l.Addr().String()
}

// connectIntroduced opens a connection to a node, exchanges hellos, and waits for the ping that begins a connection: the node has read the hello by then, and no longer counts the
// connection as silent.
func connectIntroduced(t *testing.T, address string) net.Conn {
	t.Helper()
	nc, r := connect(t, address)
	_ = nc.SetDeadline(time.Now().Add(floodWait))
	if e, err := readFrame(r, MaxFrameBytes, &memory.Holder{}); err != nil || e.Kind != kindPing {
		t.Fatalf("first message: got %q, %v, want a ping", e.Kind, err)
	}
	return nc
}

// Guards against connections without a bound: a process closes those beyond its limit at once, and takes new ones when others have left.
func TestConnectionsBeyondTheLimitAreClosed(t *testing.T) {
	const limit = 3
	address := startLimited(t, limit)
	var first net.Conn
	for range limit {
		first = connectIntroduced(t, address)
	}
	hello := func() error {
		nc, err := net.Dial("tcp", address)
		if err != nil {
			return err
		}
		t.Cleanup(func() { nc.Close() })
		_, err = exchangeHello(nc, bufio.NewReader(nc), Hello{Name: "peer", Version: protocolVersion}, &timeline.Clock{Wall: floodClock{}})
		return err
	}
	if hello() == nil {
		t.Error("a connection beyond the limit: got a hello, want it closed")
	}
	first.Close()
	for until := time.Now().Add(floodWait); hello() != nil; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("no connection was taken after another had ended")
		}
	}
}

// Guards against a crowd that says nothing and keeps peers out: beyond the limit, the longest silent connection goes for a new one.
func TestSilentConnectionsGoForNewOnes(t *testing.T) {
	const limit = 3
	address := startLimited(t, limit)
	for range 2 * limit {
		nc, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
	}
	for range limit {
		connectRaw(t, address) // fails the test if it gets no hello
	}
}

// failingListener is a listener whose first calls of Accept fail, as those of a process without descriptors do.
type failingListener struct {
	net.Listener
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// Guards against a process that never accepts again after it was out of descriptors, and does not end either.
func TestFailedAcceptEndsNoListener(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &Node{Hello: Hello{Name: "n"}, Clock: &timeline.Clock{Wall: floodClock{}}}
	ended := make(chan error, 1)
	go func() {
		ended <- (&Listener{Node: n, Net: &failingListener{l, 3}, Handler: HandlerFunc(func(*Message) {})}).Run(context.Background())
	}()
	connectRaw(t, l.Addr().String())
	select {
	case err := <-ended:
		t.Errorf("the listener has ended: %v", err)
	default:
	}
	l.Close()
	if err := <-ended; !errors.Is(err, net.ErrClosed) {
		t.Errorf("after the listener was closed: got %v, want %v", err, net.ErrClosed)
	}
}
