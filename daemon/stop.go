package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// Graceful shutdown of an HTTP server. http.Server.Shutdown alone is not enough: a
// request that the server reads after the call to Shutdown is dropped without a
// response, even if its connection was accepted before. ServeHTTP therefore closes the
// listener first, waits for the connections that are new or have a request in
// progress, and only then calls Shutdown, which closes the idle connections.

const (
	firstRequestTimeout = time.Second // how long shutdown waits for a new connection to send its first request
	idlePollInterval    = 2 * time.Millisecond
)

// connTracker tracks the connections of a server that have a request in progress or
// have not sent their first one. With a limit it tracks the idle ones too, and when one more is accepted than the limit, it closes the one that has
// been idle or silent for longest, else the new one.
type connTracker struct {
	limit int // open connections; 0 for any number

	mu       sync.Mutex
	idleConn map[net.Conn]time.Time // in http.StateIdle, since when; empty without a limit
	accepted map[net.Conn]time.Time // in http.StateNew: nothing read yet; the value is the time of accept
	active   map[net.Conn]bool      // in http.StateActive: a request is being read or served
}

func newConnTracker(limit int) *connTracker {
	return &connTracker{limit: limit, idleConn: make(map[net.Conn]time.Time), accepted: make(map[net.Conn]time.Time), active: make(map[net.Conn]bool)}
}

// setState records the state of a connection. It is the http.Server's ConnState hook.
func (c *connTracker) setState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.accepted, conn)
	delete(c.active, conn)
	delete(c.idleConn, conn)
	switch state {
	case http.StateNew:
		c.accepted[conn] = time.Now()
		c.closeExcess()
	case http.StateIdle:
		if c.limit > 0 {
			c.idleConn[conn] = time.Now()
		}
	case http.StateActive:
		c.active[conn] = true
	}
}

// closeExcess closes a connection if more than the limit are open.
func (c *connTracker) closeExcess() {
	if c.limit == 0 || len(c.accepted)+len(c.active)+len(c.idleConn) <= c.limit {
		return
	}
	from := c.idleConn
	if len(from) == 0 {
		from = c.accepted
	}
	var oldest net.Conn
	for conn, since := range from {
		if oldest == nil || since.Before(from[oldest]) {
			oldest = conn
		}
	}
	delete(from, oldest)
	oldest.Close()
}

// idle reports whether no connection is active and none was accepted within the last
// firstRequestTimeout without a request so far.
func (c *connTracker) idle(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.active) > 0 {
		return false
	}
	for _, acceptedAt := range c.accepted {
		if now.Sub(acceptedAt) < firstRequestTimeout {
			return false
		}
	}
	return true
}

// waitIdle blocks until idle returns true or ctx is cancelled.
func (c *connTracker) waitIdle(ctx context.Context) {
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	for !c.idle(time.Now()) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// ServeHTTP serves on listener until ctx is cancelled, then closes listener and waits
// up to timeout for the requests in progress. The result is nil after a complete
// shutdown, context.DeadlineExceeded after timeout, or the error that ended Serve
// earlier. ServeHTTP sets s.ConnState.
func ServeHTTP(ctx context.Context, listener net.Listener, s *http.Server, timeout time.Duration) error {
	return ServeLimited(ctx, listener, s, timeout, 0)
}

// LimitConnections lets at most so many connections of s be open at once, 0 for any number. It sets s.ConnState.
func LimitConnections(s *http.Server, limit int) { s.ConnState = newConnTracker(limit).setState }

// ServeLimited is ServeHTTP with a limit on the connections that are open at once; 0 for none. Beyond it, the one that has been without a
// request for longest is closed.
func ServeLimited(ctx context.Context, listener net.Listener, s *http.Server, timeout time.Duration, limit int) error {
	conns := newConnTracker(limit)
	s.ConnState = conns.setState
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	err := s.Serve(listener)
	if ctx.Err() == nil || !errors.Is(err, net.ErrClosed) {
		return err
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	conns.waitIdle(shutdownCtx)
	return s.Shutdown(shutdownCtx)
}
