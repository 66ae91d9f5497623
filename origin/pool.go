// Package origin sends requests to backend servers over HTTP/1.1 and reads their
// answers.
//
// net/http's Transport is not used, because three things must be known exactly:
// whether any byte of a request was written (it retries by itself), whether an
// answer belongs to the request (a backend server may send one more answer than it
// was asked for, late, where the next one is due), and whether an answer is whole.
//
//   - A connection carries one request at a time. An idle one is looked at before
//     it is used again: closed, or holding bytes that nobody asked for, it is dropped.
//   - The answer must name its request. One that names another is read and dropped,
//     and the next on the connection is taken.
//   - A failure before the first byte was written is a *SendError with Sent false.
package origin

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/bamboostep/bamboostep"
)

const (
	dialTimeout     = 700 * time.Millisecond
	userTimeout     = 2500 * time.Millisecond // data not acknowledged for so long ends a connection
	probeIdle       = time.Second
	probeInterval   = 500 * time.Millisecond
	probeCount      = 3
	defaultKeepIdle = 2 * time.Second
	maxKeepIdle     = 20 * time.Second
	keepIdleMargin  = 500 * time.Millisecond // an idle connection is dropped so much before its server closes it
	readBufferSize  = 4 << 10
	maxHeadBytes    = 64 << 10
	maxIdlePerHost  = 64
)

// SendError says that a request got no answer. Sent is false if it is certain that
// the backend server has nothing of it.
type SendError struct {
	Address string
	Sent    bool
	Cause   error
}

// Error implements error.
func (e *SendError) Error() string {
	if e.Sent {
		return fmt.Sprintf("backend server %s: no answer: %v", e.Address, e.Cause)
	}
	return fmt.Sprintf("backend server %s: nothing sent: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Cause }

// Pool holds connections to backend servers. Set the exported fields before the
// first use.
type Pool struct {
	Dialect bamboostep.Dialect
	Metrics *Metrics // may be nil

	mu   sync.Mutex
	idle map[string][]*conn // by address, the last used last
}

// conn is one connection to a backend server.
type conn struct {
	nc      net.Conn
	r       *bufio.Reader
	bound   *bound // below r
	address string
	until   time.Time // when it is dropped if idle
	reused  bool
}

// get returns an idle connection that is still sound, or a new one.
func (p *Pool) get(ctx context.Context, address string) (*conn, error) {
	for {
		c := p.takeIdle(address, time.Now())
		if c == nil {
			return p.dial(ctx, address)
		}
		if c.sound() {
			c.reused = true
			return c, nil
		}
		c.nc.Close()
	}
}

func (p *Pool) takeIdle(address string, now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[address] = list
		if now.Before(c.until) {
			return c
		}
		c.nc.Close()
	}
	return nil
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	d := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		Control:         setUserTimeout,
	}
	nc, err := d.DialContext(ctx, "tcp", address)
	p.Metrics.dialed(err)
	if err != nil {
		return nil, err
	}
	b := &bound{r: nc, left: maxHeadBytes}
	return &conn{nc: nc, r: bufio.NewReaderSize(b, readBufferSize), bound: b, address: address}, nil
}

// bound ends a head that is longer than any answer's.
type bound struct {
	r    io.Reader
	left int64 // bytes; below 0 for no bound
}

// Read implements io.Reader.
func (b *bound) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, errLongHead
	}
	if b.left > 0 && int64(len(p)) > b.left {
		p = p[:b.left]
	}
	n, err := b.r.Read(p)
	if b.left > 0 {
		b.left -= int64(n)
	}
	return n, err
}

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT, which syscall does not name.
const tcpUserTimeout = 18

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// put keeps a connection for the next request.
func (p *Pool) put(c *conn, keep time.Duration) {
	if keep == 0 {
		keep = defaultKeepIdle
	}
	keep = min(keep-keepIdleMargin, maxKeepIdle)
	if keep <= 0 || c.r.Buffered() > 0 {
		c.nc.Close()
		return
	}
	c.until = time.Now().Add(keep)
	if c.nc.SetDeadline(time.Time{}) != nil {
		c.nc.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[string][]*conn)
	}
	if len(p.idle[c.address]) >= maxIdlePerHost {
		c.nc.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Sweep closes idle connections whose time is over. Call it once a second.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.until) {
				kept = append(kept, c)
				continue
			}
			c.nc.Close()
		}
		clear(list[len(kept):])
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}

// Forget closes the idle connections to an address.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		c.nc.Close()
	}
	delete(p.idle, address)
}

// abort resets the connection of a request that is given up, so that what a backend
// server has not read of it yet is lost and not run later.
func (c *conn) abort() {
	if tcp, ok := c.nc.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // it is closed all the same
	}
	c.nc.Close()
}

// sound reports whether an idle connection is open and holds no bytes.
func (c *conn) sound() bool {
	sc, ok := c.nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	sound := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		sound = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && sound
}
