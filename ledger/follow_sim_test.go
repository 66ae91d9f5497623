package ledger

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// followSim is voters and clients that follow them, on one simulated clock. Each voter has a clock of its own, which begins anywhere. Fewer
// than half of the voters are unwell at a time, each client reaches one well voter at least, and connections never
// show that they are cut.
type followSim struct {
	rand    *rand.Rand
	follow  int // voters that a client follows at a time
	broken  followSabotage
	now     time.Duration
	seq     int
	events  simEvents
	voters  []*followedNode
	clients []*followingClient
	changes []*simChange
	err     error
}

// followSabotage switches a mechanism off.
type followSabotage struct {
	neverAsksAll   bool // a client asks only voters that it follows
	lateDeparture  bool // a voter is left after the bound, not well within it
	proofByArrival bool // a follower dates the leader's word by when it handles it
}

const (
	simBound   = 2 * time.Second
	simStep    = 10 * time.Millisecond
	simRecover = 1500 * time.Millisecond // after a fault, until a voter counts as well
	simRun     = 40 * time.Second
	simDomains = 4 // failure domains; that of some clients has no voter
)

// simChange is a change that a leader has taken.
type simChange struct {
	index   uint64
	term    uint64
	acked   time.Duration // 0 until it is acknowledged
	spread  time.Duration // when more than half of the voters had it, 0 until then
	checked bool          // all clients have it
}

// voterFault is what a voter suffers.
type voterFault int

const (
	faultNone   voterFault = iota
	faultDisk              // its loop stands still; watches are answered from what it had
	faultFrozen            // nothing runs; what arrives waits
	faultSlow              // messages between it and other voters take seconds
	faultCut               // messages between it and other voters are lost
	faultSlowClients
)

// followedNode is a voter of a followSim.
type followedNode struct {
	sim     *followSim
	member  Member
	core    *core
	offset  time.Duration // of its clock
	inbox   []message
	calls   []func() // that wait for it to run again
	watches []*simWatch
	fault   voterFault
	until   time.Duration // end of the fault

	index    uint64        // of the state that it shows
	provenAt time.Duration // by the simulated clock
	proven   bool
}

// simWatch is a watch call that waits at a voter.
type simWatch struct {
	content  uint64
	received time.Duration
	due      time.Duration
	reply    func(index uint64, age, held time.Duration)
}

// followingClient is a client of a followSim.
type followingClient struct {
	sim     *followSim
	name    string
	domain  string
	sources *sources
	index   uint64
	cut     map[string]bool // voters that it does not reach
}

func newFollowSim(seed uint64, voters, follow int, broken followSabotage) *followSim {
	s := &followSim{rand: rand.New(rand.NewPCG(seed, 7)), follow: follow, broken: broken}
	names := "abcdefg"[:voters]
	for i := range voters {
		name := names[i : i+1]
		st := stored{Disk: diskID(name[0]), Ballot: ballot{Term: 2}, Entries: []entry{membershipEntry(1, 1, names)}}
		n := &followedNode{sim: s, member: Member{Name: name, Address: name, FailureDomain: fmt.Sprint("domain-", i%simDomains)}, offset: time.Duration(s.rand.IntN(1000)) * time.Second}
		n.core = newCore(name, nil, st, rand.New(rand.NewPCG(seed, uint64(i))))
		s.voters = append(s.voters, n)
	}
	for i := range 6 {
		c := &followingClient{sim: s, name: fmt.Sprint("client-", i), domain: fmt.Sprint("domain-", i%simDomains), cut: make(map[string]bool)}
		c.sources = c.newSources()
		s.clients = append(s.clients, c)
	}
	return s
}

func (c *followingClient) newSources() *sources {
	bound := simBound
	if c.sim.broken.lateDeparture {
		bound *= 4 // a quarter of it is the bound
	}
	return newSources(bound, c.sim.follow, c.domain, c.sim.rand.IntN(100))
}

// at runs f at a later time.
func (s *followSim) at(t time.Duration, f func()) {
	s.seq++
	heap.Push(&s.events, simEvent{t, s.seq, f})
}

func (s *followSim) run() error {
	for s.now < simRun && s.err == nil {
		s.now += simStep
		for len(s.events) > 0 && s.events[0].at <= s.now {
			heap.Pop(&s.events).(simEvent).run()
		}
		s.changeFaults()
		for _, n := range s.voters {
			n.step()
		}
		for _, c := range s.clients {
			c.tick()
		}
		s.propose()
		s.check()
	}
	return s.err
}

// latency returns how long a message takes on a path without a fault.
func (s *followSim) latency() time.Duration {
	return time.Millisecond + time.Duration(s.rand.IntN(int(4*time.Millisecond)))
}

func (n *followedNode) well() bool { return n.fault == faultNone && n.sim.now > n.until+simRecover }

// changeFaults begins and ends faults of voters, and cuts paths of clients.
func (s *followSim) changeFaults() {
	unwell := 0
	for _, n := range s.voters {
		if n.fault != faultNone && s.now >= n.until {
			n.end()
		}
		if !n.well() && n.until > 0 {
			unwell++
		}
	}
	if s.now > 5*time.Second && unwell < (len(s.voters)-1)/2 && s.rand.IntN(50) == 0 {
		n := s.voters[s.rand.IntN(len(s.voters))]
		if n.well() || n.until == 0 {
			n.fault = voterFault(1 + s.rand.IntN(int(faultSlowClients)))
			n.until = s.now + time.Duration(s.rand.IntN(int(8*time.Second)))
		}
	}
	for _, c := range s.clients {
		if s.rand.IntN(100) == 0 {
			c.cut[s.voters[s.rand.IntN(len(s.voters))].member.Name] = true
		}
		if s.rand.IntN(100) == 0 {
			clear(c.cut)
		}
		c.keepOnePath()
	}
}

// keepOnePath lets a client reach one well voter at least.
func (c *followingClient) keepOnePath() {
	for _, n := range c.sim.voters {
		if (n.well() || n.until == 0) && !c.cut[n.member.Name] {
			return
		}
	}
	clear(c.cut)
}

// end ends the fault of a voter, which then handles all that has waited.
func (n *followedNode) end() {
	n.fault = faultNone
	waiting := n.calls
	n.calls = nil
	for _, call := range waiting {
		call()
	}
}

// runs reports whether the voter's loop runs.
func (n *followedNode) runs() bool { return n.fault != faultDisk && n.fault != faultFrozen }

// step lets a voter handle what has arrived, tick, and show its state.
func (n *followedNode) step() {
	if n.runs() {
		clock := n.sim.now + n.offset
		inbox := n.inbox
		n.inbox = nil
		for _, m := range inbox {
			n.core.step(clock, m)
			if n.sim.broken.proofByArrival && m.Kind == messageAppend && n.core.role != roleLeader && n.core.commit >= m.Commit {
				n.core.currentAt = clock
			}
		}
		n.core.tick(clock)
		n.settle()
		n.index = n.core.handedOut
		at, proven := n.core.provenAt()
		n.provenAt, n.proven = at-n.offset, proven
	}
	if n.fault != faultFrozen {
		n.answerWatches()
	}
}

func (n *followedNode) settle() {
	for a := n.core.take(); !a.empty(); a = n.core.take() {
		n.core.saved(&a)
		for _, m := range append(a.Early, a.Replies...) {
			n.send(m)
		}
	}
}

// send sends a message to another voter.
func (n *followedNode) send(m message) {
	i := slices.IndexFunc(n.sim.voters, func(v *followedNode) bool { return v.member.Name == m.To })
	to := n.sim.voters[i]
	delay := n.sim.latency()
	for _, end := range []*followedNode{n, to} {
		switch end.fault {
		case faultCut:
			return
		case faultSlow:
			delay += 1200 * time.Millisecond
		}
	}
	n.sim.at(n.sim.now+delay, func() { to.inbox = append(to.inbox, m) })
}

// call hands a watch call to a voter.
func (n *followedNode) call(w *simWatch) {
	if n.fault == faultFrozen {
		n.calls = append(n.calls, func() { n.call(w) })
		return
	}
	wait := w.due
	w.received = n.sim.now
	w.due = n.sim.now + wait
	n.watches = append(n.watches, w)
}

// answerWatches answers the watches for which there is a change or that have waited long enough.
func (n *followedNode) answerWatches() {
	n.watches = slices.DeleteFunc(n.watches, func(w *simWatch) bool {
		if n.index <= w.content && n.sim.now < w.due {
			return false
		}
		age := unprovedAge
		if n.proven {
			age = n.sim.now - n.provenAt
		}
		w.reply(n.index, age, n.sim.now-w.received)
		return true
	})
}

// tick lets a client ask what it wants to ask.
func (c *followingClient) tick() {
	if c.sim.broken.neverAsksAll {
		c.sources.checkDue = simRun
	}
	var reachable []Member
	for _, n := range c.sim.voters {
		reachable = append(reachable, n.member)
	}
	asked, _ := c.sources.tick(c.sim.now, reachable)
	c.askAll(asked)
}

func (c *followingClient) askAll(asked []question) {
	for _, q := range asked {
		c.ask(q)
	}
}

// ask sends a question to its voter. It ends with the answer or when it expires, whichever is first.
func (c *followingClient) ask(q question) {
	s, began, open := c.sim, c.sim.now, true
	end := func(a answered) {
		if !open {
			return
		}
		open = false
		next, _ := c.sources.answer(s.now, a)
		c.askAll(next)
	}
	s.at(began+q.expiry, func() { end(answered{question: q, failed: "no answer"}) })
	i := slices.IndexFunc(s.voters, func(v *followedNode) bool { return v.member == q.to })
	n := s.voters[i]
	way := func() (time.Duration, bool) {
		delay := s.latency()
		if n.fault == faultSlowClients {
			delay += time.Second
		}
		return delay, !c.cut[n.member.Name]
	}
	there, ok := way()
	if !ok {
		return
	}
	w := &simWatch{content: c.index, due: q.wait}
	w.reply = func(index uint64, age, held time.Duration) {
		back, ok := way()
		if !ok {
			return
		}
		s.at(s.now+back, func() {
			if !open {
				return
			}
			c.index = max(c.index, index)
			proved := began + held - age
			c.checkProof(proved, age < unprovedAge)
			end(answered{question: q, proved: proved})
		})
	}
	s.at(began+there, func() { n.call(w) })
}

// checkProof checks that a client has what was acknowledged before its proof.
func (c *followingClient) checkProof(proved time.Duration, proven bool) {
	for _, change := range c.sim.changes {
		if proven && change.acked > 0 && change.acked <= proved && change.index > c.index {
			c.sim.fail("%s has entry %d at %v, proved the newest at %v, but %d was acknowledged at %v", c.name, c.index, c.sim.now, proved, change.index, change.acked)
		}
	}
}

// propose has a change made now and then.
func (s *followSim) propose() {
	if s.rand.IntN(30) > 0 {
		return
	}
	for _, n := range s.voters {
		if !n.runs() {
			continue
		}
		if first, ok := n.core.propose([][]byte{[]byte("change")}); ok {
			s.changes = append(s.changes, &simChange{index: first, term: n.core.term})
		}
	}
}

// check notes which changes are acknowledged, and checks that no client is late.
func (s *followSim) check() {
	for _, change := range s.changes {
		if change.checked {
			continue
		}
		having := 0
		for _, n := range s.voters {
			if n.core.handedOut < change.index {
				continue
			}
			term, held := n.core.log.term(change.index)
			if held && term != change.term {
				change.checked = true // another entry took its place
				break
			}
			having++
			if change.acked == 0 && n.runs() && n.core.role == roleLeader && n.core.term == change.term {
				change.acked = s.now
			}
		}
		if change.spread == 0 && having > len(s.voters)/2 {
			change.spread = s.now
		}
		if change.acked > 0 && change.spread > 0 {
			s.checkClients(change)
		}
	}
	s.changes = slices.DeleteFunc(s.changes, func(c *simChange) bool { return c.checked && s.now-c.acked > simRun/2 })
}

// checkClients checks that all clients have a change in time.
func (s *followSim) checkClients(change *simChange) {
	late := s.now - max(change.acked, change.spread)
	change.checked = true
	for _, c := range s.clients {
		if c.index >= change.index {
			continue
		}
		change.checked = false
		if late > simBound {
			s.fail("%s has entry %d at %v, %v after %d was acknowledged and more than half of the voters had it", c.name, c.index, s.now, late, change.index)
		}
	}
}

func (s *followSim) fail(format string, args ...any) {
	if s.err == nil {
		s.err = fmt.Errorf(format, args...)
	}
}

// simEvent is something that happens at a time.
type simEvent struct {
	at  time.Duration
	seq int
	run func()
}

// simEvents is a heap of events by time.
type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
