// Package dialer opens TCP connections to VMs that may be without power, or behind
// links that lose packets.
//
// The hard point is the first packet of a connection. If it is lost, the kernel
// sends it again only after a second, and a VM that came back meanwhile is not
// found before that. Staggered therefore begins another attempt after a moment,
// while those before go on, and takes the first that connects.
package dialer

import (
	"context"
	"net"
	"time"
)

// maxAttempts bounds the attempts of one dial that are under way at once.
const maxAttempts = 8

// Func opens one connection. It is what net.Dialer's DialContext does.
type Func func(ctx context.Context, network, address string) (net.Conn, error)

// Staggered dials with several attempts, one some time after the other.
type Staggered struct {
	Dial  Func
	Every time.Duration // between the beginnings of two attempts
}

type dialed struct {
	conn net.Conn
	err  error
}

// DialContext opens one connection. An attempt that fails, rather than hang, ends the
// dial: the other side is there and does not listen.
func (s Staggered) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan dialed, maxAttempts)
	begin := func() {
		conn, err := s.Dial(ctx, network, address)
		results <- dialed{conn, err}
	}
	go begin()
	t := time.NewTicker(s.Every)
	defer t.Stop()
	begun := 1
	for {
		select {
		case d := <-results:
			go closeLate(results, begun-1)
			return d.conn, d.err
		case <-t.C:
			if begun < maxAttempts {
				begun++
				go begin()
			}
		}
	}
}

// closeLate closes the connections of attempts that were not needed.
func closeLate(results <-chan dialed, n int) {
	for range n {
		if d := <-results; d.conn != nil {
			d.conn.Close()
		}
	}
}
