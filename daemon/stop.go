package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// How an HTTP server stops without cutting off a request. http.Server.Shutdown alone
// does not do: it drops, without an answer, a request that it reads after Shutdown was
// called, though the connection was accepted before. So nothing more is accepted
// first, then the connections that are new or have a request are waited for, and only
// then is the server shut down, which closes the idle ones.

const (
	newPatience  = time.Second // for the first request of a connection
	stopInterval = 2 * time.Millisecond
)

// connections knows which connections of a server have a request, or may soon.
type connections struct {
	mu    sync.Mutex
	fresh map[net.Conn]time.Time // accepted, nothing read yet
	busy  map[net.Conn]bool      // with a request
}

func newConnections() *connections {
	return &connections{fresh: make(map[net.Conn]time.Time), busy: make(map[net.Conn]bool)}
}

// note is an http.Server's ConnState hook.
func (c *connections) note(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.fresh, conn)
	delete(c.busy, conn)
	switch state {
	case http.StateNew:
		c.fresh[conn] = time.Now()
	case http.StateActive:
		c.busy[conn] = true
	}
}

// quiet reports whether no connection has a request or may soon have its first.
func (c *connections) quiet(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.busy) > 0 {
		return false
	}
	for _, since := range c.fresh {
		if now.Sub(since) < newPatience {
			return false
		}
	}
	return true
}

func (c *connections) awaitQuiet(ctx context.Context) {
	t := time.NewTicker(stopInterval)
	defer t.Stop()
	for !c.quiet(time.Now()) {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// ServeHTTP serves on nl until ctx ends, then stops accepting and waits up to
// grace for the requests that run. It sets the ConnState hook of s.
func ServeHTTP(ctx context.Context, nl net.Listener, s *http.Server, grace time.Duration) error {
	open := newConnections()
	s.ConnState = open.note
	stop := context.AfterFunc(ctx, func() { nl.Close() })
	defer stop()
	err := s.Serve(nl)
	if ctx.Err() == nil || !errors.Is(err, net.ErrClosed) {
		return err
	}
	last, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	open.awaitQuiet(last)
	return s.Shutdown(last)
}
