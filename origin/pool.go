// Package origin is an HTTP/1.1 client for requests to backend servers.
//
// It does not use http.Transport, because it must know three things exactly: whether any
// byte of a request was written (Transport retries by itself), whether a response belongs
// to the request (a backend server may send a late extra response, where that to the next
// request is expected), and whether a response is complete.
//
//   - A connection carries one request at a time. An idle connection is checked before
//     it is reused, and dropped if it was closed or has received unsolicited bytes.
//   - A response must carry the attempt ID of its request. A response with another ID is
//     discarded, and the next one on the connection is read. An error response may lack
//     the ID, but only on a new connection, where no earlier request can have caused it; on a
//     kept one it is discarded. So a request that has no ID gets a new connection, which is not kept.
//   - A request that is sent again under its ID, after it was refused or has failed, does not use the
//     connection of that response, which could come once more.
//   - A failure before the first byte of a request was written is a *SendError with Sent
//     false.
package origin

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/bamboostep/bamboostep"
)

const (
	dialTimeout        = 700 * time.Millisecond
	userTimeout        = 2500 * time.Millisecond // TCP_USER_TIMEOUT: closes a connection on which sent data is not acknowledged for this long
	keepAliveIdle      = time.Second
	keepAliveInterval  = 500 * time.Millisecond
	keepAliveCount     = 3
	defaultIdleTimeout = 2 * time.Second
	maxIdleTimeout     = 20 * time.Second
	idleCloseMargin    = 500 * time.Millisecond // idle connections are closed this long before the backend server would close them
	readBufferSize     = 4 << 10
	maxHeadBytes       = 64 << 10
	maxIdlePerHost     = 64
)

// SendError is returned if a request got no valid response. Sent is false only if it is
// certain that the backend server has received no byte of the request.
type SendError struct {
	Address string
	Sent    bool
	Cause   error
}

// Error implements error.
func (e *SendError) Error() string {
	if e.Sent {
		return fmt.Sprintf("backend server %s: no valid response: %v", e.Address, e.Cause)
	}
	return fmt.Sprintf("backend server %s: request not sent: %v", e.Address, e.Cause)
}

// Unwrap returns e.Cause.
func (e *SendError) Unwrap() error { return e.Cause }

// Pool keeps idle connections to backend servers for reuse. Set the exported fields
// before the first use. Its methods may be called concurrently.
type Pool struct {
	Dialect bamboostep.Dialect
	Metrics *Metrics // may be nil
	MaxIdle int      // idle connections to all addresses; 0 for any number

	mu      sync.Mutex
	idle    map[string][]*conn // by address, the most recently used last
	allIdle int                // connections in idle
}

// conn is one connection to a backend server.
type conn struct {
	netConn      net.Conn
	r            *bufio.Reader
	headLimit    *headLimitReader // r reads through it
	address      string
	idleDeadline time.Time // when it is closed if still idle
	reused       bool
	failedIDs    []string // attempt IDs of the requests that were refused or failed on it
}

// maxFailedIDs bounds the failures on a connection that is kept.
const maxFailedIDs = 64

// maySend reports whether a kept connection may carry the request with an attempt ID.
func (c *conn) maySend(id string) bool { return !slices.Contains(c.failedIDs, id) }

// get returns a connection for the request with an attempt ID: an idle one that is still usable, or a new one.
func (p *Pool) get(ctx context.Context, address, id string) (*conn, error) {
	if id == "" {
		return p.dial(ctx, address)
	}
	for {
		c := p.takeIdle(address, id, time.Now())
		if c == nil {
			return p.dial(ctx, address)
		}
		if c.usable() {
			c.reused = true
			return c, nil
		}
		c.netConn.Close()
	}
}

// takeIdle removes and returns the most recently used idle connection to an address that may carry the request with
// an attempt ID, or returns nil if there is none. It closes expired ones.
func (p *Pool) takeIdle(address, id string, now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i := len(list) - 1; i >= 0; i-- {
		c := list[i]
		expired := !now.Before(c.idleDeadline)
		if !expired && !c.maySend(id) {
			continue
		}
		list = slices.Delete(list, i, i+1)
		p.idle[address] = list
		p.allIdle--
		if !expired {
			return c
		}
		c.netConn.Close()
	}
	return nil
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	d := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control:         setUserTimeout,
	}
	nc, err := d.DialContext(ctx, "tcp", address)
	p.Metrics.countDial(err)
	if err != nil {
		return nil, err
	}
	b := &headLimitReader{r: nc, remaining: maxHeadBytes}
	return &conn{netConn: nc, r: bufio.NewReaderSize(b, readBufferSize), headLimit: b, address: address}, nil
}

// headLimitReader fails a read beyond the size limit of a response head.
type headLimitReader struct {
	r         io.Reader
	remaining int64 // bytes that may still be read; negative for no limit
}

// Read implements io.Reader.
func (b *headLimitReader) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, errHeadTooLarge
	}
	if b.remaining > 0 && int64(len(p)) > b.remaining {
		p = p[:b.remaining]
	}
	n, err := b.r.Read(p)
	if b.remaining > 0 {
		b.remaining -= int64(n)
	}
	return n, err
}

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT, which package syscall does not
// define.
const tcpUserTimeout = 18

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockoptErr error
	err := raw.Control(func(fd uintptr) {
		sockoptErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockoptErr
}

// put keeps a connection for reuse. keep is how long the backend server leaves it open
// when idle, or 0 if unknown.
func (p *Pool) put(c *conn, keep time.Duration) {
	if keep == 0 {
		keep = defaultIdleTimeout
	}
	keep = min(keep-idleCloseMargin, maxIdleTimeout)
	if keep <= 0 || c.r.Buffered() > 0 || len(c.failedIDs) > maxFailedIDs {
		c.netConn.Close()
		return
	}
	c.idleDeadline = time.Now().Add(keep)
	if c.netConn.SetDeadline(time.Time{}) != nil {
		c.netConn.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[string][]*conn)
	}
	if len(p.idle[c.address]) >= maxIdlePerHost || p.MaxIdle > 0 && p.allIdle >= p.MaxIdle {
		c.netConn.Close()
		return
	}
	p.allIdle++
	p.idle[c.address] = append(p.idle[c.address], c)
}

// CloseExpired closes expired idle connections. Call it once a second.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.idleDeadline) {
				kept = append(kept, c)
				continue
			}
			c.netConn.Close()
			p.allIdle--
		}
		clear(list[len(kept):])
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}

// CloseIdle closes all idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		c.netConn.Close()
	}
	p.allIdle -= len(p.idle[address])
	delete(p.idle, address)
}

// abort resets the connection of an abandoned request, so that a backend server does not
// later run a request that it has not read yet.
func (c *conn) abort() {
	if tcp, ok := c.netConn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // on failure, it is still closed below
	}
	c.netConn.Close()
}

// usable reports whether an idle connection is open and has no unread bytes. It reads
// without blocking.
func (c *conn) usable() bool {
	sc, ok := c.netConn.(syscall.Conn)
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
