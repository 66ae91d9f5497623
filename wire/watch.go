package wire

import "time"

// All connections of a node are checked for silence by one goroutine, which runs
// while there are any. A ticker for each connection would cost more than the
// pings that it sends.

const checkInterval = 250 * time.Millisecond

// watch adds c to the connections that are checked.
func (n *Node) watch(c *Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns == nil {
		n.conns = make(map[*Conn]bool)
	}
	n.conns[c] = true
	if !n.checking {
		n.checking = true
		go n.checkLoop()
	}
}

func (n *Node) unwatch(c *Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

func (n *Node) checkLoop() {
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	var conns []*Conn
	for now := range t.C {
		conns = n.watched(conns[:0])
		if len(conns) == 0 {
			return
		}
		for _, c := range conns {
			c.check(now)
		}
	}
}

// watched appends the connections to list. If there are none, the check loop ends,
// and the next watch starts another.
func (n *Node) watched(list []*Conn) []*Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		list = append(list, c)
	}
	n.checking = len(list) > 0
	return list
}
