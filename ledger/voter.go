package ledger

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/bamboostep/bamboostep/timeline"
	"github.com/bamboostep/bamboostep/wire"
)

const (
	inboxSize    = 1024 // messages that wait for the loop; more are dropped, as a network would
	requestsSize = 4096
	batchSize    = 512      // inputs taken before one save
	maxPending   = 4096     // commands that wait for their commit
	pendingBytes = 16 << 20 // and their size
)

// Voter is one voter of the ledger. Set the exported fields before Register.
//
// One goroutine owns the core, the disk and the machine. It takes whatever has
// arrived, lets the core think, saves all of it with one sync (this is the group
// commit), and only then sends what promises anything.
type Voter struct {
	Name     string   // own name, one of Members
	Members  []Member // voters of the first start
	Dir      string   // data folder
	Heal     bool     // lost voters are replaced without an operator
	Joining  bool     // the system has started before; an empty disk waits to be taken in
	Address  string   // host and port, for Heal
	Domain   string   // failure domain, for Heal
	Node     *wire.Node
	Recorder *timeline.Recorder
	Registry prometheus.Registerer

	// Tolerance is which losses of disks the system must bear; the same for all voters.
	Tolerance Tolerance
	// Seeds returns the voters that the settings name now. It must not block. May be nil if these are Members.
	Seeds func() []Member
	// Applied is called with each new state, in order. It must not block. May be nil.
	Applied func(*State)
	// LeaderChanged is called with each new leader, "" for none. It must not
	// block. May be nil.
	LeaderChanged func(leader string, term uint64)

	once     sync.Once
	inbox    chan received
	requests chan request
	state    atomic.Pointer[State]
	status   atomic.Pointer[status]
	ended    atomic.Bool // Run has returned
	watches  watchServer
	metrics  *metrics

	core    *core
	disk    *disk
	machine *machine
	peers   *peers
	started time.Time

	pending   map[uint64]pendingCommand
	waiting   int                // bytes of pending
	saving    chan savedSnapshot // result of the snapshot that is being written; nil for none
	barriers  map[uint64]func(proposeReply)
	lastRead  uint64
	clockBase time.Duration // ledger time at clockAt
	clockAt   time.Duration
}

type received struct {
	m    message
	conn *wire.Conn
}

// request is what a client wants from the loop. Exactly one of command, barrier
// and change is set.
type request struct {
	command *command
	barrier bool
	change  *memberChange
	done    func(proposeReply) // called once
}

type memberChange struct {
	member Member
	add    bool
	disk   diskID // if add
}

type pendingCommand struct {
	term uint64
	size int // bytes
	done func(proposeReply)
}

func (v *Voter) init() {
	v.once.Do(func() {
		v.inbox = make(chan received, inboxSize)
		v.requests = make(chan request, requestsSize)
		v.started = time.Now()
		v.pending = make(map[uint64]pendingCommand)
		v.barriers = make(map[uint64]func(proposeReply))
		v.metrics = newMetrics(v.Registry)
		v.state.Store(encodedState{}.state())
		v.status.Store(&status{coordinates: true}) // as long as it is not known
	})
}

// Run opens the data folder and votes until ctx ends. It returns early if the
// disk fails or is damaged, because a voter that cannot keep its word must not
// give it.
func (v *Voter) Run(ctx context.Context) error {
	v.init()
	fs, err := openFolder(v.Dir)
	if err != nil {
		return err
	}
	defer fs.close()
	if err := v.open(fs); err != nil {
		v.record("ledger_disk_failed", err.Error())
		return err
	}
	defer v.disk.close()
	v.peers = newPeers(v)
	defer v.peers.close()
	defer v.awaitSnapshot()
	defer v.resign()
	return v.loop(ctx)
}

func (v *Voter) open(fs fileSystem) error {
	empty := false
	d, st, err := openDisk(fs, func() diskID {
		empty = true
		return newDiskID()
	})
	if err != nil {
		return err
	}
	v.disk = d
	if d.cut > 0 {
		v.record("ledger_tail_cut", fmt.Sprintf("%d bytes of an unfinished write", d.cut))
	}
	v.machine = newMachine()
	if st.Snapshot.Index > 0 {
		if v.machine, err = decodeMachine(st.Snapshot.Data); err != nil {
			return err
		}
	}
	v.core = newCore(v.Name, v.Members, st, rand.New(rand.NewPCG(uint64(st.Disk), uint64(time.Now().UnixNano()))))
	v.core.heal = v.Heal
	v.core.setTolerance(v.Tolerance)
	v.core.joining = v.Joining && empty
	v.core.self = Member{Name: v.Name, Address: v.Address, FailureDomain: v.Domain}
	v.publishState(true)
	return nil
}

func newDiskID() diskID {
	var b [8]byte
	crand.Read(b[:])
	return diskID(binary.BigEndian.Uint64(b[:]) | 1)
}

func (v *Voter) now() time.Duration { return time.Since(v.started) }

func (v *Voter) loop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if err := v.settle(ctx); err != nil {
			v.record("ledger_voter_stopped", err.Error())
			return err
		}
		timer.Reset(max(v.core.due()-v.now(), time.Millisecond))
		select {
		case <-ctx.Done():
			v.stop()
			return ctx.Err()
		case <-timer.C:
		case r := <-v.inbox:
			v.receive(r)
		case r := <-v.requests:
			v.serve(r)
		case saved := <-v.saving:
			if err := v.finishCheckpoint(saved); err != nil {
				return err
			}
		}
		v.takeBatch()
		v.core.tick(v.now())
	}
}

// takeBatch takes what else has arrived, so that one sync serves all of it.
func (v *Voter) takeBatch() {
	var commands []request
	defer func() { v.proposeAll(commands) }()
	for range batchSize {
		select {
		case r := <-v.inbox:
			v.receive(r)
		case r := <-v.requests:
			if r.command != nil {
				commands = append(commands, r)
				continue
			}
			v.serve(r)
		default:
			return
		}
	}
}

func (v *Voter) receive(r received) {
	v.peers.heard(r)
	v.core.step(v.now(), r.m)
}

// settle does all that the core wants done.
func (v *Voter) settle(ctx context.Context) error {
	for {
		a := v.core.take()
		if a.empty() {
			break
		}
		if err := v.act(&a); err != nil {
			return err
		}
	}
	v.followSeeds()
	v.peers.follow(ctx, v.core.members, v.core.seeds)
	v.publishStatus()
	v.beginCheckpoint()
	return nil
}

// followSeeds takes the seeds as the settings have them now.
func (v *Voter) followSeeds() {
	v.core.seeds = v.Members
	if v.Seeds != nil {
		v.core.seeds = v.Seeds()
	}
}

func (v *Voter) act(a *actions) error {
	if a.Err != nil {
		return a.Err
	}
	v.peers.send(a.Early)
	if a.Snapshot != nil {
		v.awaitSnapshot()
	}
	if a.mustSave() {
		began := time.Now()
		if err := v.disk.save(a); err != nil {
			return fmt.Errorf("ledger disk: %w", err)
		}
		v.noteSaved(time.Since(began))
		v.core.saved(a)
	}
	v.peers.send(a.Replies)
	for _, e := range a.Events {
		v.metrics.event(e.Kind)
		v.record("ledger_"+e.Kind, e.Detail)
	}
	if err := v.restore(a.Snapshot); err != nil {
		return err
	}
	v.apply(a.Committed)
	v.endReads(a.Reads)
	return nil
}

// slowSave is the time of a save from which on it is recorded: followers of this voter may be behind for as long.
const slowSave = 250 * time.Millisecond

func (v *Voter) noteSaved(took time.Duration) {
	v.metrics.saved(took)
	if took > slowSave {
		v.record("ledger_slow_save", took.Round(time.Millisecond).String())
	}
}

func (v *Voter) restore(s *snapshot) error {
	if s == nil {
		return nil
	}
	m, err := decodeMachine(s.Data)
	if err != nil {
		return err
	}
	v.machine = m
	v.publishState(true)
	return nil
}

func (v *Voter) apply(entries []entry) {
	if len(entries) == 0 {
		return
	}
	before := v.machine.state
	for _, e := range entries {
		r := v.machine.apply(e)
		v.answer(e, r)
	}
	v.metrics.applied(len(entries))
	after := v.machine.state
	v.publishState(before.content != after.content)
}

func (v *Voter) publishState(changed bool) {
	s := v.machine.state
	v.state.Store(s)
	v.metrics.claimed(len(v.machine.claims.taken))
	if changed && v.Applied != nil && s.index > 0 {
		v.Applied(s)
	}
	if changed {
		v.watches.wake()
	}
}

// stop ends the term of a voter that stops as planned.
func (v *Voter) stop() {
	v.core.handOver()
	a := v.core.take()
	v.peers.send(a.Early)
	v.peers.flush()
}

// resign tells everyone that this voter, which has ended, leads no more.
func (v *Voter) resign() {
	v.ended.Store(true)
	v.dropPending(codeUncertain)
	v.refuseWaiting()
	old := v.status.Swap(&status{current: v.status.Load().current})
	if v.LeaderChanged != nil && old.leader != "" {
		v.LeaderChanged("", old.term)
	}
}

func (v *Voter) record(kind, detail string) {
	var term uint64
	if v.core != nil {
		term = v.core.term
	}
	v.Recorder.Record(timeline.Event{Kind: kind, Term: term, VM: v.Name, Detail: detail})
}
