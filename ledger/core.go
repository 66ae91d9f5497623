package ledger

import (
	_ "embed"
	"math/rand/v2"
	"time"

	"github.com/bamboostep/bamboostep/chart"
)

// The core is Raft with pre-vote, check-quorum and single-voter membership
// changes. It is pure: step and tick take messages and the time, take returns
// what the shell must do, and saved tells the core that it is on disk.
//
// The hard points:
//
//   - Nothing that promises anything (a vote, an acknowledgement, a higher term)
//     may leave before it is on disk. Such messages are in actions.Replies, which
//     the shell sends only after it has saved the rest of the actions. A leader's
//     appends promise nothing and are in actions.Early. A candidate's vote for
//     itself counts only once it is saved, like any other.
//   - A membership takes effect when it enters the log, not when it commits, so
//     the core goes back to the previous one when its log is truncated.
//   - A leader may commit by counting only entries of its own term, and changes
//     the membership only after one of these has committed.

const (
	heartbeatInterval  = 50 * time.Millisecond
	minElectionTimeout = 300 * time.Millisecond
	maxElectionTimeout = 600 * time.Millisecond
	firstElection      = 40 * time.Millisecond  // and up to as much again: a voter that has heard from no leader since its start waits less
	quorumTimeout      = 600 * time.Millisecond // a leader that no quorum followed for so long steps down
	announceInterval   = 100 * time.Millisecond

	maxAppendBytes    = 1 << 20   // entries in one message
	maxFlightMessages = 64        // sent and not acknowledged, per follower
	maxFlightBytes    = 4 << 20   // and their size
	snapshotBytes     = 256 << 10 // data in one snapshot chunk
	caughtUpEntries   = 64        // a learner that lags no more becomes a voter
)

//go:embed role.toml
var roleText []byte

var roleChart = chart.MustParse(roleText)

const (
	roleUnformed     chart.State = "unformed"
	roleFollower     chart.State = "follower"
	rolePreCandidate chart.State = "pre_candidate"
	roleCandidate    chart.State = "candidate"
	roleLeader       chart.State = "leader"
)

// stored is what a disk holds.
type stored struct {
	Disk     diskID
	Ballot   ballot
	Snapshot snapshot // Index 0 if none was taken
	Entries  []entry  // after Snapshot; may begin before its Index
}

type pendingRead struct {
	id    uint64
	index uint64
	round uint64
}

type roundStart struct {
	round uint64
	at    time.Duration
}

// core is one voter's consensus state. Times are since the start of the process.
type core struct {
	name    string
	disk    diskID
	initial []Member // members of the first membership
	rand    *rand.Rand

	role     chart.State
	term     uint64
	vote     diskID
	accepted []seat
	log      memoryLog
	snap     snapshot
	members  membership // the newest in the log

	coordinators map[diskID]bool // of members
	membersIndex uint64          // entry that holds members
	stable       uint64          // last entry known to be on disk
	commit       uint64
	handedOut    uint64 // last entry given out as committed
	savedBallot  ballot

	now         time.Duration
	electionDue time.Duration
	leader      string
	leaderHeard time.Duration
	heardOnce   bool          // leaderHeard is set
	currentAt   time.Duration // when c's state was last proved to be the newest, see proof.go; 0 for never
	answered    answeredRounds
	awaited     awaitedProof

	votes     map[diskID]bool
	lostDisks map[diskID]diskID // seats' disks that are lost, as the election under way has shown, and the new ones
	progress  map[diskID]*progress
	heartbeat time.Duration // when the next is due
	round     uint64
	rounds    []roundStart
	quorumAt  time.Duration // start of the last round that a quorum answered
	reads     []pendingRead

	tolerance  Tolerance
	heal       bool   // lost voters are replaced without an operator
	joining    bool   // the disk was empty at a start that was not the system's first
	self       Member // how others reach c
	applicants map[diskID]applicant
	leadSince  time.Duration

	seeds       []Member      // voters that the settings name now
	tellDue     time.Duration // outsiders about the membership
	handOverDue time.Duration // to a coordinator, if this leader is none
	proofDue    time.Duration // of this leader, to its followers

	announceDue time.Duration
	announced   map[string]announcement
	diskless    map[string]bool // initial members that have no disk

	told     map[coreEvent]bool
	incoming incomingSnapshot
	keep     uint64 // entries kept behind a snapshot
	out      actions
}

func newCore(name string, initial []Member, st stored, source *rand.Rand) *core {
	c := &core{
		name:        name,
		disk:        st.Disk,
		initial:     initial,
		rand:        source,
		role:        roleChart.Initial(),
		term:        st.Ballot.Term,
		vote:        st.Ballot.Vote,
		accepted:    st.Ballot.Accepted,
		savedBallot: st.Ballot,
		snap:        st.Snapshot,
		commit:      st.Snapshot.Index,
		handedOut:   st.Snapshot.Index,
		announced:   make(map[string]announcement),
		diskless:    make(map[string]bool),
		applicants:  make(map[diskID]applicant),
		told:        make(map[coreEvent]bool),
		keep:        keptEntries,
	}
	c.log = restoreLog(st)
	c.stable = c.log.lastIndex()
	c.refreshMembers()
	if c.stable > 0 {
		c.become("restored")
	}
	c.resetFirstElection()
	return c
}

func restoreLog(st stored) memoryLog {
	if len(st.Entries) == 0 {
		return newMemoryLog(st.Snapshot.Index, st.Snapshot.Term, nil)
	}
	first := st.Entries[0]
	if last := st.Entries[len(st.Entries)-1]; last.Index < st.Snapshot.Index {
		return newMemoryLog(st.Snapshot.Index, st.Snapshot.Term, nil)
	}
	if first.Index == st.Snapshot.Index+1 {
		return newMemoryLog(st.Snapshot.Index, st.Snapshot.Term, st.Entries)
	}
	return newMemoryLog(first.Index, first.Term, st.Entries[1:])
}

// step takes one message.
func (c *core) step(now time.Duration, m message) {
	c.now = max(c.now, now)
	if m.Kind == messageAnnounce {
		c.stepAnnounce(m)
		return
	}
	if m.Kind == messageDiskless {
		c.stepDiskless(m)
		return
	}
	if m.ToDisk != c.disk {
		c.stepLostDisk(m)
		return
	}
	if m.Kind == messageDiskLost {
		c.stepDiskLost(m)
		return
	}
	if m.Kind.isReply() && !c.known(m.FromDisk) {
		return
	}
	if !c.acceptTerm(m) {
		return
	}
	switch m.Kind {
	case messagePreVote:
		c.stepPreVote(m)
	case messagePreVoteReply:
		c.stepPreVoteReply(m)
	case messageVote:
		c.stepVote(m)
	case messageVoteReply:
		c.stepVoteReply(m)
	case messageAppend:
		c.stepAppend(m)
	case messageAppendReply:
		c.stepAppendReply(m)
	case messageSnapshot:
		c.stepSnapshot(m)
	case messageSnapshotReply:
		c.stepSnapshotReply(m)
	case messageElectNow:
		c.stepElectNow(m)
	case messageProof:
		c.stepProof(m)
	}
}

func (c *core) known(disk diskID) bool {
	_, ok := c.members.onDisk(disk)
	return ok
}

// acceptTerm compares the term of m with that of c and reports whether m counts.
func (c *core) acceptTerm(m message) bool {
	if m.Term == c.term {
		return true
	}
	if m.Term < c.term {
		c.answerOldTerm(m)
		return false
	}
	switch m.Kind {
	case messagePreVote:
		return true // asks about a term that nobody is in yet
	case messagePreVoteReply:
		if m.OK {
			return true // granted for the term that c asked about
		}
	case messageVote:
		if !m.OK && c.heardLeader() {
			return false
		}
	}
	c.follow(m.Term, "")
	return true
}

// answerOldTerm tells a deposed leader or candidate about the newer term.
func (c *core) answerOldTerm(m message) {
	switch m.Kind {
	case messageAppend, messageSnapshot:
		c.reply(message{Kind: messageAppendReply, Index: c.log.lastIndex()}, m)
	case messagePreVote:
		c.reply(message{Kind: messagePreVoteReply}, m)
	}
}

// heardLeader reports whether a leader was heard of so lately that an election
// would only disturb it.
func (c *core) heardLeader() bool {
	if c.role == roleLeader {
		return true
	}
	return c.leader != "" && c.heardOnce && c.now-c.leaderHeard < minElectionTimeout
}

// tick lets time pass.
func (c *core) tick(now time.Duration) {
	c.now = max(c.now, now)
	switch c.role {
	case roleUnformed:
		c.tickUnformed()
	case roleLeader:
		c.tickLeader()
		c.tickOutsiders()
	default:
		c.tickElection()
		c.tickOutsiders()
	}
}

// due returns when tick is next needed.
func (c *core) due() time.Duration {
	switch c.role {
	case roleUnformed:
		return c.announceDue
	case roleLeader:
		return c.heartbeat
	}
	return c.electionDue
}

// become moves the role along its chart.
func (c *core) become(e chart.Event) {
	next, err := roleChart.Next(c.role, e)
	if err != nil {
		c.event("unlisted_event", err.Error())
		return
	}
	if next != c.role {
		c.event("role_"+string(next), string(e))
	}
	c.role = next
}

// follow makes c a follower in term; leader is "" while it is not known.
func (c *core) follow(term uint64, leader string) {
	if term > c.term {
		c.term = term
		c.vote = 0
	}
	c.leader = leader
	switch {
	case leader == "":
		c.become("higher_term")
	case c.role != roleUnformed:
		c.become("follow")
	}
	c.endLeading()
	c.resetElection()
}

// leaveUnformed makes c a follower once it holds something of the log. Until then
// it could not campaign if the leader that it hears died, so it goes on with the
// formation.
func (c *core) leaveUnformed() {
	if c.role == roleUnformed && c.log.lastIndex() > 0 {
		c.become("follow")
	}
}

// endLeading forgets what only a leader or candidate needs.
func (c *core) endLeading() {
	c.votes, c.lostDisks = nil, nil
	c.progress = nil
	c.rounds = nil
	for _, r := range c.reads {
		c.out.Reads = append(c.out.Reads, readResult{ID: r.id})
	}
	c.reads = nil
}

func (c *core) resetElection() {
	span := maxElectionTimeout - minElectionTimeout
	c.electionDue = c.now + minElectionTimeout + time.Duration(c.rand.Int64N(int64(span)))
	if !c.coordinates() {
		c.electionDue += span
	}
}

// resetFirstElection is resetElection for a voter that has just started. Asking often
// disturbs nobody, because a pre-vote raises no term.
func (c *core) resetFirstElection() {
	c.electionDue = c.now + firstElection + time.Duration(c.rand.Int64N(int64(firstElection)))
	if !c.coordinates() {
		c.electionDue += firstElection
	}
}

func (c *core) event(kind, detail string) {
	c.out.Events = append(c.out.Events, coreEvent{kind, detail})
}

// eventOnce is event for what would come again with every message.
func (c *core) eventOnce(kind, detail string) {
	e := coreEvent{kind, detail}
	if !c.told[e] {
		c.told[e] = true
		c.out.Events = append(c.out.Events, e)
	}
}

// reply sends r to the sender of m, after everything is saved.
func (c *core) reply(r, m message) {
	r.To, r.ToDisk = m.From, m.FromDisk
	r.From, r.FromDisk = c.name, c.disk
	r.Term = max(r.Term, c.term)
	if m.Term == c.term {
		r.Round = m.Round // a round of an older term proves nothing in this one
	}
	c.out.Replies = append(c.out.Replies, r)
}

// addressed fills in the sender and the receiver of m.
func (c *core) addressed(m message, to seat) message {
	m.To, m.ToDisk = to.Member.Name, to.Disk
	m.From, m.FromDisk = c.name, c.disk
	if m.Term == 0 {
		m.Term = c.term
	}
	return m
}
