// Package relay is a small TCP relay that cuts the network between processes
// under test.
//
// One relay stands before each process that listens, and tells the dialling
// processes apart by their source address. A cut is silent: connections stay
// open and new ones are accepted, but no byte passes either way, as with a
// firewall that has lost track of them. After the heal only new connections work;
// those that were open stay silent for good.
package relay

import (
	"context"
	"net"
	"sync"
)

const bufferBytes = 32 << 10

// Relay passes connections on to one target. Set the exported fields before Run.
type Relay struct {
	Target string
	Net    net.Listener

	mu    sync.Mutex
	cut   map[string]bool // source addresses without port
	pipes map[*pipe]bool
}

// pipe is one relayed connection.
type pipe struct {
	relay  *Relay
	source string
	near   net.Conn
	far    net.Conn
	dead   bool // stays silent for good; guarded by relay.mu
}

// Address returns the address that the relay listens on.
func (r *Relay) Address() string { return r.Net.Addr().String() }

// Run relays until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { r.Net.Close(); r.closeAll() })
	defer stop()
	for {
		near, err := r.Net.Accept()
		if err != nil {
			return ctx.Err()
		}
		go r.serve(near)
	}
}

// Cut stops all bytes from and to a source address, given without its port.
func (r *Relay) Cut(source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut == nil {
		r.cut = make(map[string]bool)
	}
	r.cut[source] = true
	r.silence(source)
}

// Heal lets new connections from the source address through.
func (r *Relay) Heal(source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.cut, source)
}

// Silence makes the connections that are open now from the source address silent
// for good, while new ones work.
func (r *Relay) Silence(source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silence(source)
}

func (r *Relay) silence(source string) {
	for p := range r.pipes {
		if p.source == source {
			p.dead = true
		}
	}
}

func (r *Relay) serve(near net.Conn) {
	source, _, _ := net.SplitHostPort(near.RemoteAddr().String())
	far, err := net.Dial("tcp", r.Target)
	if err != nil {
		near.Close()
		return
	}
	p := &pipe{relay: r, source: source, near: near, far: far}
	r.mu.Lock()
	if r.pipes == nil {
		r.pipes = make(map[*pipe]bool)
	}
	r.pipes[p] = true
	p.dead = r.cut[source]
	r.mu.Unlock()
	go p.copy(far, near)
	p.copy(near, far)
}

// copy passes bytes on. A silent pipe still reads, so that neither end blocks,
// and drops what it reads.
func (p *pipe) copy(to, from net.Conn) {
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		if p.silent() {
			if err != nil {
				return
			}
			continue
		}
		if err != nil {
			p.close()
			return
		}
		if _, err := to.Write(buf[:n]); err != nil {
			p.close()
			return
		}
	}
}

func (p *pipe) silent() bool {
	p.relay.mu.Lock()
	defer p.relay.mu.Unlock()
	return p.dead
}

func (p *pipe) close() {
	p.near.Close()
	p.far.Close()
	p.relay.mu.Lock()
	defer p.relay.mu.Unlock()
	delete(p.relay.pipes, p)
}

func (r *Relay) closeAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pipes {
		p.near.Close()
		p.far.Close()
	}
}
