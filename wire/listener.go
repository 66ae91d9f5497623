package wire

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/bamboostep/bamboostep/internal/timer"
)

// Accepting connections. A process that has run out of descriptors, or whose peer has left before it was accepted, gets an error from Accept although it can accept
// again a moment later, so that only the end of the listener ends Run.

const (
	minAcceptDelay = 5 * time.Millisecond // after a failed Accept; it doubles with each further one
	maxAcceptDelay = time.Second
)

// Listener accepts connections. Set the exported fields before Run.
type Listener struct {
	Node    *Node
	Net     net.Listener
	Handler Handler
	Up      func(c *Conn) // called before the first message of a connection; may be nil
	Down    func(c *Conn) // called after its last message; may be nil
	Limit   int           // connections at once, beyond which new ones are closed; 0 for any number
	Patient bool          // leaves it to who dials to notice a silent connection soon

	mu   sync.Mutex
	open int
}

// Run accepts until ctx ends, then closes the listener and all its connections. The error is that of ctx, or that of the listener if it was closed before.
func (l *Listener) Run(ctx context.Context) error {
	var all sync.WaitGroup
	defer all.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { l.Net.Close() })
	defer stop()
	for {
		nc, err := l.accept(ctx)
		if err != nil {
			return err
		}
		if !l.admit() {
			nc.Close()
			continue
		}
		all.Go(func() {
			defer l.leave()
			l.serve(ctx, nc)
		})
	}
}

// accept returns the next connection. It waits and tries again while it fails, until the listener is closed or ctx ends.
func (l *Listener) accept(ctx context.Context) (net.Conn, error) {
	for delay := minAcceptDelay; ; delay = min(2*delay, maxAcceptDelay) {
		nc, err := l.Net.Accept()
		switch {
		case err == nil:
			return nc, nil
		case ctx.Err() != nil:
			return nil, ctx.Err()
		case errors.Is(err, net.ErrClosed):
			return nil, err
		}
		l.Node.Metrics.countNotAccepted()
		timer.Sleep(ctx, delay)
	}
}

// admit counts a new connection, or reports false if it is one too many.
func (l *Listener) admit() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.Limit > 0 && l.open >= l.Limit {
		return false
	}
	l.open++
	return true
}

func (l *Listener) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
}

func (l *Listener) serve(ctx context.Context, nc net.Conn) {
	if l.Node.TLS != nil {
		nc = tls.Server(nc, l.Node.TLS)
	}
	watch := silence{busy: listenerLimits}
	if l.Patient {
		watch.busy = patientLimits
	}
	c, r, err := l.Node.open(nc, l.Handler, nil, watch)
	if err != nil {
		return
	}
	run(ctx, c, r, l.Up, l.Down)
}
