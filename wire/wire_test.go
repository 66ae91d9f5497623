package wire_test

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/bamboostep/bamboostep/internal/measure"
	"github.com/bamboostep/bamboostep/timeline"
	"github.com/bamboostep/bamboostep/wire"
)

const testDeadline = 10 * time.Second

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

func newNode(t testing.TB, name string) (*wire.Node, *prometheus.Registry) {
	t.Helper()
	r := prometheus.NewRegistry()
	return &wire.Node{
		Hello:   wire.Hello{Name: name, Role: "entry"},
		Clock:   &timeline.Clock{Wall: systemClock{}},
		Metrics: wire.NewMetrics(r),
	}, r
}

func listen(t testing.TB, ctx context.Context, n *wire.Node, h wire.Handler) string {
	t.Helper()
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &wire.Listener{Node: n, Net: nl, Handler: h}
	go l.Run(ctx)
	return nl.Addr().String()
}

func echo(m *wire.Message) {
	var text string
	if m.Decode(&text) != nil {
		return
	}
	if text == "bad" {
		m.Fail("refused", errors.New("bad text"))
		return
	}
	m.Reply("echo " + text)
}

func dial(t testing.TB, ctx context.Context, n *wire.Node, address string) (*wire.Conn, chan error) {
	t.Helper()
	up := make(chan *wire.Conn, 1)
	down := make(chan error, 1)
	link := &wire.Link{
		Node:    n,
		Address: address,
		Handler: wire.HandlerFunc(func(*wire.Message) {}),
		Up:      func(c *wire.Conn) { up <- c },
		Down:    func(c *wire.Conn) { down <- c.Err() },
	}
	go link.Run(ctx)
	select {
	case c := <-up:
		return c, down
	case <-time.After(testDeadline):
		t.Fatal("no connection")
	}
	return nil, nil
}

func TestCall(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	server, _ := newNode(t, "server")
	client, _ := newNode(t, "client")
	c, _ := dial(t, ctx, client, listen(t, ctx, server, wire.HandlerFunc(echo)))

	var got string
	if err := c.Call(ctx, "echo", "hi", &got); err != nil {
		t.Fatal(err)
	}
	if want := "echo hi"; got != want {
		t.Errorf("got reply %q, want %q", got, want)
	}
	err := c.Call(ctx, "echo", "bad", &got)
	var remote *wire.RemoteError
	if !errors.As(err, &remote) || remote.Code != "refused" {
		t.Errorf("got error %v, want *RemoteError with code refused", err)
	}
}

// A peer that falls silent after the hello, its connection still open, is
// abandoned within the three seconds that streams have to move elsewhere.
func TestSilentConnectionIsAbandoned(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	server, _ := newNode(t, "server")
	client, metrics := newNode(t, "client")
	address := listenThenFallSilent(t, ctx, listen(t, ctx, server, wire.HandlerFunc(echo)))
	began := time.Now()
	_, down := dial(t, ctx, client, address)

	select {
	case err := <-down:
		var silent *wire.SilentError
		if !errors.As(err, &silent) {
			t.Errorf("got cause %v, want *SilentError", err)
		}
	case <-time.After(testDeadline):
		t.Fatal("the silent connection was kept")
	}
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("noticed after %v, want within 3s", took)
	}
	if got, want := measure.Counter(t, metrics, "bamboostep_wire_silent_connections_total"), 1.0; got != want {
		t.Errorf("got %v silent connections counted, want %v", got, want)
	}
}

// listenThenFallSilent relays the hello of the first connection and nothing
// after it, keeping both sides open.
func listenThenFallSilent(t *testing.T, ctx context.Context, target string) string {
	t.Helper()
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	context.AfterFunc(ctx, func() { nl.Close() })
	go func() {
		near, err := nl.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", target)
		if err != nil {
			return
		}
		context.AfterFunc(ctx, func() { near.Close(); far.Close() })
		buf := make([]byte, 4096)
		n, _ := far.Read(buf)
		near.Write(buf[:n])
		io.Copy(far, near)
	}()
	return nl.Addr().String()
}

// A frame that is malformed or too long ends its own connection; another one
// goes on.
func TestBadFrameHarmsOnlyItsConnection(t *testing.T) {
	tests := map[string][]byte{
		"length over the bound": {0xff, 0xff, 0xff, 0xff, 1, 2, 3},
		"length zero":           {0, 0, 0, 0},
		"not msgpack":           {0, 0, 0, 3, 0xc1, 0xc1, 0xc1},
		"no hello":              {0, 0, 0, 6, 0x95, 0xa1, 'x', 0, 0xc2, 0},
	}
	for name, bytes := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			server, metrics := newNode(t, "server")
			client, _ := newNode(t, "client")
			address := listen(t, ctx, server, wire.HandlerFunc(echo))
			good, _ := dial(t, ctx, client, address)

			bad, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer bad.Close()
			bad.Write(bytes)
			bad.SetReadDeadline(time.Now().Add(testDeadline))
			if _, err := io.Copy(io.Discard, bad); errors.Is(err, os.ErrDeadlineExceeded) {
				t.Fatal("the bad connection was kept")
			}
			var got string
			if err := good.Call(ctx, "echo", "hi", &got); err != nil {
				t.Errorf("the good connection failed: %v", err)
			}
			awaitCounter(t, metrics, "bamboostep_wire_bad_frames_total", 1)
		})
	}
}

// awaitCounter waits until the counter has the value; it may be counted just after
// the connection has ended.
func awaitCounter(t *testing.T, r *prometheus.Registry, name string, want float64) {
	t.Helper()
	deadline := time.Now().Add(testDeadline)
	for {
		got := measure.Counter(t, r, name)
		if got == want {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("got %v for %s, want %v", got, name, want)
		}
	}
}
