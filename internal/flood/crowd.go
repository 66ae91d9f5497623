// Package flood plays crowds of badly behaved clients against one process, and measures what the process holds meanwhile. Only tests use it.
//
// The clients of a crowd stay: they neither leave nor read what they are sent, unless they say otherwise. Nothing here measures time or counts how many are served.
package flood

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

const (
	dialTimeout = 15 * time.Second
	patience    = 20 * time.Second       // of one client that is neither served nor refused
	readBuffer  = 4 << 10                // bytes that the socket of a client holds
	returnPause = 100 * time.Millisecond // before a client that was closed comes again
)

// Crowd is a number of clients that behave alike. Set the fields before Start.
type Crowd struct {
	Clients int
	Send    func(nc net.Conn) // what each sends; nil for nothing
	Returns bool              // a client whose connection has ended opens another one and sends again, until the crowd leaves

	mu      sync.Mutex
	conns   map[net.Conn]bool
	left    bool
	running sync.WaitGroup
}

// Start connects the crowd to an address and returns once each client has sent what it sends, or was refused. The crowd leaves when the test ends, if not before.
func (c *Crowd) Start(t testing.TB, address string) {
	t.Helper()
	c.conns = make(map[net.Conn]bool)
	t.Cleanup(c.Leave)
	var sent sync.WaitGroup
	for range c.Clients {
		nc, err := c.dial(address)
		if err != nil {
			t.Logf("a client got no connection: %v", err)
			continue
		}
		sent.Add(1)
		c.running.Go(func() {
			c.send(nc)
			sent.Done()
			if c.Returns {
				c.comeAgain(nc, address)
			}
		})
	}
	sent.Wait()
}

func (c *Crowd) dial(address string) (net.Conn, error) {
	nc, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, err
	}
	_ = nc.(*net.TCPConn).SetReadBuffer(readBuffer)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left {
		nc.Close()
	}
	c.conns[nc] = true
	return nc, nil
}

func (c *Crowd) send(nc net.Conn) {
	if c.Send == nil {
		return
	}
	_ = nc.SetDeadline(time.Now().Add(patience))
	c.Send(nc)
	_ = nc.SetDeadline(time.Time{})
}

// comeAgain opens another connection each time the last one has ended, until the crowd leaves.
func (c *Crowd) comeAgain(nc net.Conn, address string) {
	for {
		_, _ = io.Copy(io.Discard, nc)
		nc.Close()
		c.mu.Lock()
		delete(c.conns, nc)
		left := c.left
		c.mu.Unlock()
		if left {
			return
		}
		time.Sleep(returnPause)
		next, err := c.dial(address)
		if err != nil {
			continue // nc has ended, so that the next round comes at once
		}
		nc = next
		c.send(nc)
	}
}

// Leave closes all connections. It may be called again.
func (c *Crowd) Leave() {
	c.mu.Lock()
	c.left = true
	for nc := range c.conns {
		nc.Close()
	}
	c.mu.Unlock()
	c.running.Wait()
}
