// Package wire carries messages between the system's own processes: TCP frames
// of msgpack, each at most MaxFrameBytes long.
//
// A connection begins with a hello from each side that names the protocol
// version. Both sides ping; a connection that brings nothing for two seconds is
// abandoned although the kernel may still hold it open, because something
// between the two ends can lose track of a connection without telling either.
// A malformed or oversized frame closes its connection, is counted, and harms
// nothing else.
package wire

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/bamboostep/bamboostep/dialer"
	"github.com/bamboostep/bamboostep/internal/timer"
	"github.com/bamboostep/bamboostep/memory"
	"github.com/bamboostep/bamboostep/timeline"
)

const (
	dialTimeout    = 2 * time.Second
	dialStagger    = 100 * time.Millisecond // between attempts of one dial
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = 2 * time.Second
)

// Node is this process's end of all its connections. Set the exported fields
// before the first use.
type Node struct {
	Hello   Hello // Version may be left 0
	Clock   *timeline.Clock
	Metrics *Metrics
	TLS     *tls.Config    // mutual TLS on every connection; nil for plain TCP
	Dial    time.Duration  // longest time that a dial of a link takes; 2 s if 0
	Redial  time.Duration  // longest delay between two dials of a link; 2 s if 0
	Memory  *memory.Budget // for frames that arrive and messages that wait to be written; nil for any number
	Source  net.IP         // address that links dial from; nil for the kernel's choice

	once    sync.Once
	started time.Time

	mu       sync.Mutex
	conns    map[*Conn]bool // checked for silence
	checking bool           // the check loop runs
}

// Uptime returns the time since the node was first used, by the monotonic clock.
// It is the clock that a peer's PeerUptime bounds from below.
func (n *Node) Uptime() time.Duration { return n.uptime() }

func (n *Node) uptime() time.Duration {
	n.once.Do(func() { n.started = time.Now() })
	return time.Since(n.started)
}

func (n *Node) hello() Hello {
	h := n.Hello
	h.Version = protocolVersion
	return h
}

func (n *Node) open(nc net.Conn, handler Handler, busy func() bool, s silence) (*Conn, *bufio.Reader, error) {
	n.uptime()
	r := bufio.NewReaderSize(nc, readBufferSize)
	peer, err := exchangeHello(nc, r, n.hello(), n.Clock)
	if err != nil {
		nc.Close()
		var bad *FrameError
		if errors.As(err, &bad) {
			n.Metrics.countBad()
		}
		return nil, nil, err
	}
	c := &Conn{
		nc:      nc,
		node:    n,
		peer:    peer,
		handler: handler,
		busy:    busy,
		silence: s,
		wake:    make(chan struct{}, 1),
		calls:   make(map[uint64]chan envelope),
		done:    make(chan struct{}),
		in:      n.Memory.Open(),
		out:     n.Memory.Open(),
	}
	c.in.Owner, c.out.Owner = c, c
	return c, r, nil
}

func run(ctx context.Context, c *Conn, r *bufio.Reader, up, down func(c *Conn)) {
	stop := context.AfterFunc(ctx, c.Close)
	defer stop()
	if up != nil {
		up(c)
	}
	c.start(r)
	if down != nil {
		down(c)
	}
}

// Link keeps one connection to a peer open, dialling again whenever it ends. Set
// the exported fields before Run.
type Link struct {
	Node    *Node
	Address string
	Handler Handler
	Up      func(c *Conn) // may be nil
	Down    func(c *Conn) // may be nil
	Busy    func() bool   // whether anything is awaited on the connection; nil if always

	mu   sync.Mutex
	conn *Conn
}

// Conn returns the connection, or nil while there is none.
func (l *Link) Conn() *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn
}

// Run keeps the connection open until ctx ends. The delay between two dials
// doubles and is jittered, so that peers do not dial a restarted process all at
// once.
func (l *Link) Run(ctx context.Context) error {
	delay := minRedialDelay
	for ctx.Err() == nil {
		began := time.Now()
		l.connect(ctx)
		if time.Since(began) > maxRedialDelay {
			delay = minRedialDelay
		}
		timer.Sleep(ctx, delay/2+rand.N(delay/2))
		delay = min(2*delay, l.Node.longestDelay())
	}
	return ctx.Err()
}

func (n *Node) dialTimeout() time.Duration {
	if n.Dial > 0 {
		return n.Dial
	}
	return dialTimeout
}

func (n *Node) longestDelay() time.Duration {
	if n.Redial > 0 {
		return n.Redial
	}
	return maxRedialDelay
}

func (l *Link) connect(ctx context.Context) {
	d := net.Dialer{Timeout: l.Node.dialTimeout()}
	if l.Node.Source != nil {
		d.LocalAddr = &net.TCPAddr{IP: l.Node.Source}
	}
	nc, err := dialer.Staggered{Dial: d.DialContext, Interval: dialStagger}.DialContext(ctx, "tcp", l.Address)
	if err != nil {
		return
	}
	if l.Node.TLS != nil {
		nc = tls.Client(nc, l.clientTLS())
	}
	c, r, err := l.Node.open(nc, l.Handler, l.Busy, silence{busy: dialerLimits, idle: idleLimits})
	if err != nil {
		return
	}
	run(ctx, c, r, l.setUp, l.setDown)
}

func (l *Link) clientTLS() *tls.Config {
	cfg := l.Node.TLS.Clone()
	if cfg.ServerName == "" {
		host, _, err := net.SplitHostPort(l.Address)
		if err == nil {
			cfg.ServerName = host
		}
	}
	return cfg
}

func (l *Link) setUp(c *Conn) {
	l.mu.Lock()
	l.conn = c
	l.mu.Unlock()
	if l.Up != nil {
		l.Up(c)
	}
}

func (l *Link) setDown(c *Conn) {
	l.mu.Lock()
	l.conn = nil
	l.mu.Unlock()
	if l.Down != nil {
		l.Down(c)
	}
}
