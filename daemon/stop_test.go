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

// Guards against a shutdown that drops a request after its handler has started. A
// request may reach an idle connection while the server closes it; the client then
// sees the connection closed without a response, and the handler must not have run.
func TestShutdownCompletesStartedRequests(t *testing.T) {
	const rounds = 300
	lost := 0
	for round := range rounds {
		var handled atomic.Int32
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			handled.Add(1)
			io.WriteString(w, "ok")
		})}
		go func() { ended <- daemon.ServeHTTP(ctx, listener, s, 5*time.Second) }()
		client := &http.Client{Transport: &http.Transport{}}
		post := func() error {
			resp, err := client.Post("http://"+listener.Addr().String(), "text/plain", strings.NewReader("x"))
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
			lost++
			if got := handled.Load(); got != 1 {
				t.Fatalf("round %d: the handler ran %d times, but the second request failed: %v", round, got, err)
			}
		}
	}
	t.Logf("%d of %d requests reached a connection that was being closed", lost, rounds)
}

// lateListener simulates a connection that is accepted just before the listener is
// closed: its first Accept returns the connection 50 ms after Close.
type lateListener struct {
	net.Listener
	conn      net.Conn
	closed    chan struct{}
	closeOnce sync.Once
	returned  atomic.Bool // whether Accept has returned conn
	stop      func()      // called by Accept to begin the shutdown
}

func (l *lateListener) Accept() (net.Conn, error) {
	l.stop()
	<-l.closed
	if l.returned.Swap(true) {
		return nil, net.ErrClosed
	}
	time.Sleep(50 * time.Millisecond)
	return l.conn, nil
}

func (l *lateListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// Guards against a shutdown that drops a connection accepted while the listener was
// being closed, whose request the server has not read yet.
func TestShutdownServesLastAcceptedConnection(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	response := make(chan error, 1)
	go func() {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := client.Post("http://"+inner.Addr().String(), "text/plain", strings.NewReader("x"))
		if err == nil {
			_, err = io.ReadAll(resp.Body)
			resp.Body.Close()
		}
		response <- err
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
	l := &lateListener{Listener: inner, conn: conn, closed: make(chan struct{}), stop: stop}
	if err := daemon.ServeHTTP(ctx, l, s, 5*time.Second); err != nil {
		t.Fatal(err)
	}
	if !served.Load() {
		t.Error("ServeHTTP returned before an accepted connection was served")
	}
	if err := <-response; err != nil {
		t.Errorf("request failed: %v", err)
	}
}
