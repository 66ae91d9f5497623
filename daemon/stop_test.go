package daemon_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep/daemon"
)

// A server that stops closes the connections that lie idle, and a request may cross
// that close on its way. Then its caller finds the connection ended without an
// answer, but the server has not taken the request: nothing that was taken is cut off.
func TestStopCutsOffNothingThatWasTaken(t *testing.T) {
	const rounds = 300
	crossed := 0
	for round := range rounds {
		var taken atomic.Int32
		nl, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			taken.Add(1)
			io.WriteString(w, "ok")
		})}
		go func() { ended <- daemon.ServeHTTP(ctx, nl, s, 5*time.Second) }()
		client := &http.Client{Transport: &http.Transport{}}
		post := func() error {
			resp, err := client.Post("http://"+nl.Addr().String(), "text/plain", strings.NewReader("x"))
			if err != nil {
				return err
			}
			defer resp.Body.Close()
			_, err = io.ReadAll(resp.Body)
			return err
		}
		if err := post(); err != nil {
			t.Fatal(err)
		}
		go func() {
			time.Sleep(time.Duration(round%30) * 10 * time.Microsecond)
			stop()
		}()
		err = post()
		stop()
		if serveErr := <-ended; serveErr != nil {
			t.Fatal(serveErr)
		}
		if err != nil {
			crossed++
			if got := taken.Load(); got != 1 {
				t.Fatalf("round %d: %d requests were taken, and the second was cut off: %v", round, got, err)
			}
		}
	}
	t.Logf("%d of %d requests crossed the close", crossed, rounds)
}

// lateListener hands out a connection that it had accepted just before it was closed,
// a moment after that.
type lateListener struct {
	net.Listener
	late   net.Conn
	closed chan struct{}
	once   sync.Once
	given  atomic.Bool
	stop   func() // called once the server accepts
}

func (l *lateListener) Accept() (net.Conn, error) {
	l.stop()
	<-l.closed
	if l.given.Swap(true) {
		return nil, net.ErrClosed
	}
	time.Sleep(50 * time.Millisecond)
	return l.late, nil
}

func (l *lateListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// A connection that is accepted while the server begins to stop is served before it
// has stopped, however late the server comes to it.
func TestStopServesConnectionsAcceptedLast(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	answer := make(chan error, 1)
	go func() {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := client.Post("http://"+inner.Addr().String(), "text/plain", strings.NewReader("x"))
		if err == nil {
			_, err = io.ReadAll(resp.Body)
			resp.Body.Close()
		}
		answer <- err
	}()
	conn, err := inner.Accept()
	if err != nil {
		t.Fatal(err)
	}
	var served atomic.Bool
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(50 * time.Millisecond)
		io.WriteString(w, "ok")
		served.Store(true)
	})}
	ctx, stop := context.WithCancel(context.Background())
	l := &lateListener{Listener: inner, late: conn, closed: make(chan struct{}), stop: stop}
	if err := daemon.ServeHTTP(ctx, l, s, 5*time.Second); err != nil {
		t.Fatal(err)
	}
	if !served.Load() {
		t.Error("the server stopped before it served a connection that it had accepted")
	}
	if err := <-answer; err != nil {
		t.Errorf("answer: got %v", err)
	}
}
