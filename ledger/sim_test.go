package ledger

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// profile is which faults a run brings about. Shares are per 1000 steps.
type profile struct {
	Loss      int // messages dropped, per 1000
	Duplicate int // messages delivered twice, per 1000
	Late      int // messages kept back for long, per 1000
	Cut       int
	Crash     int
	LoseDisk  int
	Change    int // membership changes
	Steps     int
}

// sabotage switches a mechanism off.
type sabotage struct {
	forgetVote    bool // terms and votes are not saved
	ackBeforeSync bool // answers leave before the save
	sameDisk      bool // an emptied disk keeps its identity
}

// sim drives cores, disks and machines through a random schedule.
type sim struct {
	rand     *rand.Rand
	profile  profile
	sabotage sabotage
	now      time.Duration
	initial  []Member
	nodes    []*simNode
	pool     []message
	cut      map[string]bool // "a>b"
	lost     map[diskID]bool
	lastDisk diskID
	checker  checker
	quiet    bool // no more faults
	err      error
}

type simNode struct {
	sim     *sim
	name    string
	fs      *memoryFS
	disk    *disk
	core    *core // nil while down
	machine *machine
	pending map[uint64]simPending
	reads   map[uint64]uint64 // by ID, the index that must be covered
	nextID  uint64
}

type simPending struct {
	term uint64
	op   *operation
}

func newSim(seed uint64, p profile, broken sabotage) *sim {
	s := &sim{
		rand:     rand.New(rand.NewPCG(seed, 1)),
		profile:  p,
		sabotage: broken,
		cut:      make(map[string]bool),
		lost:     make(map[diskID]bool),
		checker:  newChecker(),
	}
	for _, name := range []string{"a", "b", "c"} {
		s.initial = append(s.initial, Member{Name: name})
	}
	for _, name := range []string{"a", "b", "c", "d"} {
		n := &simNode{sim: s, name: name, fs: newMemoryFS()}
		s.nodes = append(s.nodes, n)
		n.start()
	}
	return s
}

// run takes the steps, then heals everything and checks that the voters agree
// and still serve.
func (s *sim) run() error {
	for i := 0; i < s.profile.Steps && s.err == nil; i++ {
		s.step()
		if i%256 == 0 {
			s.checker.checkLogs(s)
		}
	}
	if s.err == nil {
		s.heal()
	}
	return s.err
}

func (s *sim) fail(format string, args ...any) {
	if s.err == nil {
		s.err = fmt.Errorf(format, args...)
	}
}

func (s *sim) chance(perThousand int) bool { return !s.quiet && s.rand.IntN(1000) < perThousand }

func (s *sim) step() {
	switch {
	case s.chance(s.profile.Crash):
		s.anyNode().crash()
	case s.chance(s.profile.Cut):
		s.changeCuts()
	case s.chance(s.profile.LoseDisk):
		s.loseDisk()
	case s.chance(s.profile.Change):
		s.changeMembers()
	}
	switch n := s.rand.IntN(100); {
	case s.quiet && len(s.pool) > 20:
		s.deliver() // no more than the network can carry
	case n < 20:
		s.client()
	case n < 40 || len(s.pool) == 0:
		s.advance()
	default:
		s.deliver()
	}
}

func (s *sim) anyNode() *simNode { return s.nodes[s.rand.IntN(len(s.nodes))] }

// advance lets time pass; voters that are down may start.
func (s *sim) advance() {
	s.now += time.Duration(s.rand.IntN(int(20 * time.Millisecond)))
	for _, n := range s.nodes {
		if n.core == nil {
			if s.quiet || s.rand.IntN(20) == 0 {
				n.start()
			}
			continue
		}
		n.core.tick(s.now)
		n.settle()
	}
}

// deliver takes a message from the pool, mostly one of the oldest.
func (s *sim) deliver() {
	i := s.rand.IntN(min(len(s.pool), 6))
	if s.chance(s.profile.Late) {
		i = s.rand.IntN(len(s.pool))
	}
	m := s.pool[i]
	if !s.chance(s.profile.Duplicate) {
		s.pool = slices.Delete(s.pool, i, i+1)
	}
	if s.chance(s.profile.Loss) || s.cut[m.From+">"+m.To] {
		return
	}
	for _, n := range s.nodes {
		if n.name == m.To && n.core != nil {
			n.core.step(s.now, m)
			if s.rand.IntN(4) > 0 {
				n.settle()
			}
		}
	}
}

const poolLimit = 300

func (s *sim) send(messages []message) {
	for _, m := range messages {
		if m.Kind != messageAnnounce || s.rand.IntN(3) == 0 {
			s.pool = append(s.pool, m)
		}
	}
	s.pool = s.pool[max(0, len(s.pool)-poolLimit):]
}

func (s *sim) changeCuts() {
	clear(s.cut)
	if s.rand.IntN(2) == 0 {
		return
	}
	victim := s.anyNode().name
	for _, n := range s.nodes {
		way := s.rand.IntN(3) // out, in or both
		s.cut[victim+">"+n.name] = way != 1
		s.cut[n.name+">"+victim] = way != 0
	}
}

// loseDisk empties the disk of a voter, if the others can still form a quorum.
func (s *sim) loseDisk() {
	m := s.checker.members
	if len(m.voters()) < 3 || len(m.voters()) != len(m.Seats) {
		return
	}
	for _, seat := range m.Seats {
		if s.lost[seat.Disk] {
			return
		}
	}
	n := s.anyNode()
	n.crash()
	s.lost[n.disk.id] = true
	n.fs = newMemoryFS()
}

// changeMembers replaces a lost voter, or adds or removes another.
func (s *sim) changeMembers() {
	leader := s.leader()
	if leader == nil {
		return
	}
	defer leader.settle()
	for _, seat := range leader.core.members.Seats {
		if s.lost[seat.Disk] {
			_ = leader.core.remove(seat.Member.Name)
			return
		}
	}
	n := s.anyNode()
	if _, in := leader.core.members.named(n.name); in && len(leader.core.members.Seats) > 3 {
		_ = leader.core.remove(n.name)
	} else if n.core != nil {
		_ = leader.core.addLearner(Member{Name: n.name}, n.disk.id)
	}
}

// leader returns a node that believes it leads; there may be several.
func (s *sim) leader() *simNode {
	var leading []*simNode
	for _, n := range s.nodes {
		if n.core != nil && n.core.role == roleLeader {
			leading = append(leading, n)
		}
	}
	if len(leading) == 0 {
		return nil
	}
	return leading[s.rand.IntN(len(leading))]
}

// client sends a command or a read to a leader.
func (s *sim) client() {
	n := s.leader()
	if n == nil {
		return
	}
	if s.rand.IntN(4) == 0 {
		n.read()
	} else {
		n.propose(s.checker.operation(s.rand))
	}
	if s.rand.IntN(2) == 0 {
		n.settle()
	}
}

// isolate cuts a node off, and heals all other cuts.
func (s *sim) isolate(victim *simNode) {
	clear(s.cut)
	if victim == nil {
		return
	}
	for _, n := range s.nodes {
		s.cut[victim.name+">"+n.name] = true
		s.cut[n.name+">"+victim.name] = true
	}
}

// until takes steps until ok.
func (s *sim) until(what string, ok func() bool) {
	for range healSteps {
		if s.err != nil || ok() {
			return
		}
		s.step()
	}
	s.fail("no %s within %d steps", what, healSteps)
}

const healSteps = 20000

// heal ends all faults; the voters must then serve again and agree.
func (s *sim) heal() {
	s.quiet = true
	clear(s.cut)
	if len(s.lost) > 0 && s.checker.commit <= 1 {
		return // a disk lost during the first start blocks it
	}
	before := s.checker.commit
	s.until("service", func() bool { return s.checker.commit > before+20 && s.agreed() })
	s.checker.checkLogs(s)
}

// agreed reports whether all voters but those on lost disks are nearly current.
func (s *sim) agreed() bool {
	for _, n := range s.nodes {
		if n.core == nil {
			return false
		}
		if s.checker.members.voter(n.disk.id) && n.core.handedOut+10 < s.checker.commit {
			return false
		}
	}
	return true
}

func (n *simNode) start() {
	d, st, err := openDisk(n.fs, n.sim.newDisk)
	if err != nil {
		if !errors.Is(err, errCrashed) {
			n.sim.fail("voter %q does not start: %w", n.name, err)
		}
		return
	}
	n.disk, n.machine = d, newMachine()
	if n.sim.sabotage.sameDisk {
		d.id, st.Disk = diskID(n.name[0]), diskID(n.name[0])
	}
	if st.Snapshot.Index > 0 {
		if n.machine, err = decodeMachine(st.Snapshot.Data); err != nil {
			n.sim.fail("voter %q: %w", n.name, err)
			return
		}
	}
	n.core = newCore(n.name, n.sim.initial, st, n.sim.rand)
	n.core.now = n.sim.now
	n.core.keep = simKeptEntries
	n.core.resetElection()
	n.pending = make(map[uint64]simPending)
	n.reads = make(map[uint64]uint64)
}

func (s *sim) newDisk() diskID {
	s.lastDisk++
	return s.lastDisk
}

func (n *simNode) crash() {
	n.fs.crash(n.sim.rand)
	n.core = nil
}

// settle does what the shell does, with a crash now and then at each step.
func (n *simNode) settle() {
	s := n.sim
	for n.core != nil {
		a := n.core.take()
		if a.empty() {
			n.checkpoint()
			return
		}
		if a.Err != nil {
			s.fail("voter %q: %w", n.name, a.Err)
			return
		}
		s.send(a.Early)
		if s.sabotage.ackBeforeSync {
			s.send(a.Replies)
		}
		if !n.save(&a) {
			n.crash()
			return
		}
		if !s.sabotage.ackBeforeSync {
			s.send(a.Replies)
		}
		n.apply(&a)
		s.checker.checkLeader(s, n)
	}
}

func (n *simNode) save(a *actions) bool {
	if !a.mustSave() {
		return true
	}
	if n.sim.chance(n.sim.profile.Crash) {
		n.fs.failIn = 1 + n.sim.rand.IntN(4)
	}
	onDisk := *a
	if n.sim.sabotage.forgetVote && a.Ballot != nil {
		onDisk.Ballot = &ballot{Accepted: a.Ballot.Accepted}
	}
	if err := n.disk.save(&onDisk); err != nil {
		return false
	}
	n.core.saved(a)
	return !n.sim.chance(n.sim.profile.Crash)
}

func (n *simNode) apply(a *actions) {
	if a.Snapshot != nil {
		m, err := decodeMachine(a.Snapshot.Data)
		if err != nil {
			n.sim.fail("voter %q: %w", n.name, err)
			return
		}
		n.machine = m
	}
	for _, e := range a.Committed {
		n.sim.checker.committed(n.sim, n, e)
		r := n.machine.apply(e)
		if p, ok := n.pending[e.Index]; ok && p.term == e.Term {
			n.sim.checker.answered(n.sim, p.op, e.Index, r)
		}
		delete(n.pending, e.Index)
	}
	for _, r := range a.Reads {
		if want := n.reads[r.ID]; r.OK && r.Index < want {
			n.sim.fail("read on %q covers entry %d, but %d was answered before it", n.name, r.Index, want)
		}
	}
}

func (n *simNode) propose(op *operation) {
	n.sim.checker.invoked(op)
	c := op.command
	c.Elapsed = n.sim.now
	data, err := c.encode()
	if err != nil {
		n.sim.fail("%w", err)
		return
	}
	if first, ok := n.core.propose([][]byte{data}); ok {
		n.pending[first] = simPending{n.core.term, op}
	}
}

func (n *simNode) read() {
	n.nextID++
	n.reads[n.nextID] = n.sim.checker.answeredIndex
	n.core.read(n.nextID)
}

const (
	simCheckpointBytes = 12 << 10
	simKeptEntries     = 4
)

func (n *simNode) checkpoint() {
	if n.disk.size < simCheckpointBytes || n.sim.rand.IntN(4) > 0 {
		return
	}
	data, err := n.machine.encode()
	if err != nil {
		n.sim.fail("%w", err)
		return
	}
	index := n.core.handedOut
	term, _ := n.core.log.term(index)
	s := snapshot{Index: index, Term: term, Members: n.core.committedMembers(), Data: data}
	if n.sim.chance(n.sim.profile.Crash * 20) {
		n.fs.failIn = 1 + n.sim.rand.IntN(12)
	}
	if err := n.disk.checkpoint(s, n.core.compact(s)); err != nil {
		n.crash()
	}
}

// passTime takes steps for a while of simulated time.
func (s *sim) passTime(d time.Duration) {
	for end := s.now + d; s.now < end && s.err == nil; {
		s.step()
	}
}
