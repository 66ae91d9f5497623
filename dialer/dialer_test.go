package dialer_test

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bamboostep/bamboostep/dialer"
)

// Guards against a dial that waits for the kernel to retransmit a lost SYN. This happens
// when all VMs lose power and one dials another that has no power yet.
func TestLostSYNDelaysDialByOneInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var attempts atomic.Int32
		clientConn, serverConn := net.Pipe()
		defer serverConn.Close()
		s := dialer.Staggered{Interval: 100 * time.Millisecond, Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
			if attempts.Add(1) == 1 {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return clientConn, nil
		}}
		start := time.Now()
		c, err := s.DialContext(t.Context(), "tcp", "192.0.2.1:1")
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if got, want := time.Since(start), 100*time.Millisecond; got != want {
			t.Errorf("got a connection after %v, want %v", got, want)
		}
	})
}

func TestUnusedConnectionsAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var attempts atomic.Int32
		late := &countedConn{}
		s := dialer.Staggered{Interval: 100 * time.Millisecond, Dial: func(context.Context, string, string) (net.Conn, error) {
			if attempts.Add(1) == 1 {
				time.Sleep(150 * time.Millisecond) // connects although its context is cancelled
				return late, nil
			}
			return &countedConn{}, nil
		}}
		c, err := s.DialContext(t.Context(), "tcp", "192.0.2.1:1")
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		time.Sleep(time.Second)
		synctest.Wait()
		if got, want := late.closes.Load(), int32(1); got != want {
			t.Errorf("got %d closes of the late connection, want %d", got, want)
		}
	})
}

func TestRefusedConnectionEndsDial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refused := errors.New("connection refused")
		s := dialer.Staggered{Interval: 100 * time.Millisecond, Dial: func(context.Context, string, string) (net.Conn, error) {
			return nil, refused
		}}
		start := time.Now()
		if _, err := s.DialContext(t.Context(), "tcp", "192.0.2.1:1"); !errors.Is(err, refused) {
			t.Errorf("got %v, want %v", err, refused)
		}
		if got := time.Since(start); got != 0 {
			t.Errorf("DialContext returned after %v, want immediately", got)
		}
	})
}

func TestAttemptsAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var attempts atomic.Int32
		s := dialer.Staggered{Interval: 10 * time.Millisecond, Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
			attempts.Add(1)
			<-ctx.Done()
			return nil, ctx.Err()
		}}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := s.DialContext(ctx, "tcp", "192.0.2.1:1"); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("got %v, want %v", err, context.DeadlineExceeded)
		}
		if got, want := attempts.Load(), int32(8); got > want {
			t.Errorf("got %d attempts, want at most %d", got, want)
		}
	})
}

// countedConn counts the calls to Close.
type countedConn struct {
	net.Conn
	closes atomic.Int32
}

func (c *countedConn) Close() error {
	c.closes.Add(1)
	return nil
}
