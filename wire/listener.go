package wire

import (
	"container/list"
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
//
// A crowd that says nothing must not keep peers out: beyond the limit, the connection goes that has not introduced itself for longest, and the new one only if all have.

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
	Limit   int           // connections at once, beyond which the longest silent or the new one is closed; 0 for any number
	Patient bool          // leaves it to who dials to notice a silent connection soon

	mu     sync.Mutex
	open   int
	silent list.List // of *arrival, in the order of their arrival
}

// arrival is a connection that was accepted.
type arrival struct {
	nc   net.Conn
	at   *list.Element // in silent; nil once it has introduced itself
	gone bool          // had to go for another one
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
		a := l.admit(nc)
		if a == nil {
			nc.Close()
			continue
		}
		all.Go(func() {
			defer l.leave(a)
			l.serve(ctx, a)
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

// admit counts a new connection, and closes a silent one if it is one too many. It returns nil if there is none.
func (l *Listener) admit(nc net.Conn) *arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.Limit > 0 && l.open >= l.Limit {
		longest := l.silent.Front()
		if longest == nil {
			return nil
		}
		l.dismiss(longest.Value.(*arrival))
	}
	l.open++
	a := &arrival{nc: nc}
	a.at = l.silent.PushBack(a)
	return a
}

// dismiss closes a silent connection and counts it no longer. mu must be held.
func (l *Listener) dismiss(a *arrival) {
	l.silent.Remove(a.at)
	l.open--
	a.at, a.gone = nil, true
	a.nc.Close()
}

// introduced notes that a connection is silent no longer.
func (l *Listener) introduced(a *arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.at != nil {
		l.silent.Remove(a.at)
		a.at = nil
	}
}

func (l *Listener) leave(a *arrival) {
	l.introduced(a)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !a.gone {
		l.open--
	}
}

func (l *Listener) serve(ctx context.Context, a *arrival) {
	nc := a.nc
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
	l.introduced(a)
	run(ctx, c, r, l.Up, l.Down)
}
