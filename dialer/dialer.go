// Package dialer opens TCP connections to VMs that may be powered off or behind lossy
// links.
//
// If the SYN of a connection is lost, the kernel retransmits it only after a second,
// so a VM that comes back in the meantime is not reached before then. Staggered
// therefore starts further attempts at a short interval while the earlier ones are
// still pending, and uses the first that completes.
package dialer

import (
	"context"
	"net"
	"time"
)

// maxAttempts limits the attempts of one dial.
const maxAttempts = 8

// Func opens one connection. It has the signature of net.Dialer.DialContext.
type Func func(ctx context.Context, network, address string) (net.Conn, error)

// Staggered is a dialer that makes several attempts in parallel, started one after
// another at a fixed interval.
type Staggered struct {
	Dial     Func
	Interval time.Duration // interval between the starts of two attempts; must be positive
}

type dialResult struct {
	conn net.Conn
	err  error
}

// DialContext opens one connection and returns the result of the first attempt to
// complete, be it a connection or an error. An attempt that fails instead of hanging
// ends the dial: the host is reachable but not listening. The attempts still pending
// are cancelled, and connections that they open nevertheless are closed.
func (s Staggered) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan dialResult, maxAttempts)
	attempt := func() {
		conn, err := s.Dial(ctx, network, address)
		results <- dialResult{conn, err}
	}
	go attempt()
	ticker := time.NewTicker(s.Interval)
	defer ticker.Stop()
	started := 1
	for {
		select {
		case r := <-results:
			go closeUnused(results, started-1)
			return r.conn, r.err
		case <-ticker.C:
			if started < maxAttempts {
				started++
				go attempt()
			}
		}
	}
}

// closeUnused waits for the results of the pending attempts and closes their
// connections.
func closeUnused(results <-chan dialResult, pending int) {
	for range pending {
		if r := <-results; r.conn != nil {
			r.conn.Close()
		}
	}
}
