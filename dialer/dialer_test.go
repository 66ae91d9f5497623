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

// After a loss of power on all VMs, the first packet of a dial goes to a VM that has
// no power yet and is lost.
func TestLostFirstPacketCostsOneInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var attempts atomic.Int32
		near, far := net.Pipe()
		defer far.Close()
		s := dialer.Staggered{Every: 100 * time.Millisecond, Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
			if attempts.Add(1) == 1 {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return near, nil
		}}
		began := time.Now()
		c, err := s.DialContext(t.Context(), "tcp", "192.0.2.1:1")
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if got, want := time.Since(began), 100*time.Millisecond; got != want {
			t.Errorf("got a connection after %v, want %v", got, want)
		}
	})
}

func TestConnectionsThatAreNotNeededAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var attempts atomic.Int32
		late := &countedConn{}
		s := dialer.Staggered{Every: 100 * time.Millisecond, Dial: func(context.Context, string, string) (net.Conn, error) {
			if attempts.Add(1) == 1 {
				time.Sleep(150 * time.Millisecond) // connects although it was cancelled
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
		if got, want := late.closed.Load(), int32(1); got != want {
			t.Errorf("got %d closes of the late connection, want %d", got, want)
		}
	})
}

func TestRefusalEndsTheDialAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refused := errors.New("connection refused")
		s := dialer.Staggered{Every: 100 * time.Millisecond, Dial: func(context.Context, string, string) (net.Conn, error) {
			return nil, refused
		}}
		began := time.Now()
		if _, err := s.DialContext(t.Context(), "tcp", "192.0.2.1:1"); !errors.Is(err, refused) {
			t.Errorf("got %v, want %v", err, refused)
		}
		if got := time.Since(began); got != 0 {
			t.Errorf("got an answer after %v, want at once", got)
		}
	})
}

func TestNumberOfAttemptsIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var attempts atomic.Int32
		s := dialer.Staggered{Every: 10 * time.Millisecond, Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
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

type countedConn struct {
	net.Conn
	closed atomic.Int32
}

func (c *countedConn) Close() error {
	c.closed.Add(1)
	return nil
}
