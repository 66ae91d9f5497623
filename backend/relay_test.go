package backend_test

import (
	"bytes"
	"net"
	"sync"
	"testing"
	"time"
)

// relay passes bytes on between entries and an agent. While it is silent, the
// connections of then stay open and pass on nothing; new ones work.
type relay struct {
	target string

	mu    sync.Mutex
	pipes []*pipe
	cut   bool // new connections are silent too
}

type pipe struct {
	mu     sync.Mutex
	silent bool
	sent   []byte // all that the entry wrote
}

func startRelay(t *testing.T, target string) (*relay, string) {
	t.Helper()
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nl.Close() })
	r := &relay{target: target}
	go func() {
		for {
			near, err := nl.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", target)
			if err != nil {
				near.Close()
				continue
			}
			r.mu.Lock()
			p := &pipe{silent: r.cut}
			r.pipes = append(r.pipes, p)
			r.mu.Unlock()
			go p.pass(near, far, true)
			go p.pass(far, near, false)
		}
	}()
	return r, nl.Addr().String()
}

func (p *pipe) pass(from, to net.Conn, fromEntry bool) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		p.mu.Lock()
		silent := p.silent
		if fromEntry {
			p.sent = append(p.sent, buf[:n]...)
		}
		p.mu.Unlock()
		if err != nil {
			if !silent {
				to.Close()
			}
			return
		}
		if !silent {
			to.Write(buf[:n])
		}
	}
}

// cutOff makes the connections of now and later silent.
func (r *relay) cutOff() {
	r.mu.Lock()
	r.cut = true
	r.mu.Unlock()
	r.fallSilent()
}

func (r *relay) fallSilent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pipes {
		p.mu.Lock()
		p.silent = true
		p.mu.Unlock()
	}
}

// silentGot reports whether a silent connection has taken in the text.
func (r *relay) silentGot(text string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pipes {
		p.mu.Lock()
		got := p.silent && bytes.Contains(p.sent, []byte(text))
		p.mu.Unlock()
		if got {
			return true
		}
	}
	return false
}

// replay hands the agent all that the first connection took in, late, over a
// connection that it still reads, and returns its answer up to the given text.
func (r *relay) replay(t *testing.T, until string) string {
	t.Helper()
	nc, err := net.Dial("tcp", r.target)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	r.pipes[0].mu.Lock()
	nc.Write(r.pipes[0].sent)
	r.pipes[0].mu.Unlock()
	nc.SetReadDeadline(time.Now().Add(testDeadline))
	var got []byte
	buf := make([]byte, 4096)
	for !bytes.Contains(got, []byte(until)) {
		n, err := nc.Read(buf)
		if err != nil {
			t.Fatalf("no %q came: %v", until, err)
		}
		got = append(got, buf[:n]...)
	}
	return string(got)
}
