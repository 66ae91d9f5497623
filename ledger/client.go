package ledger

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/timeline"
	"github.com/bamboostep/bamboostep/wire"
)

const (
	callTimeout    = 10 * time.Second // of a call whose context has no deadline
	attemptTimeout = 1 * time.Second  // of one attempt at one voter
	retryDelay     = 20 * time.Millisecond

	maxSetBytes  = 4 << 20
	maxNameBytes = 4 << 10
)

// Client reaches the ledger from any process, voter or not. Set the exported
// fields before Run.
//
// A call goes to the voter that leads, as far as the client knows, and is sent
// again to another until ctx ends. All commands may be applied twice without
// harm, so sending again is safe; what the client must know is only whether a
// command that it gives up may still be applied.
type Client struct {
	Node     *wire.Node
	Members  []Member // voters to begin with
	Local    *Voter   // the process's own voter; nil if it is none
	Recorder *timeline.Recorder

	// Applied is called with each changed state that was watched, in order. It must
	// not block. May be nil. A process with a voter watches only while that is not
	// current, and may get the same state from Voter.Applied as well.
	Applied func(*State)

	// ApplyBound is the time after its acknowledgement within which a change must be in State, as long as more than half of the
	// voters run and the client reaches one of these. 2 s if 0.
	ApplyBound time.Duration
	// Follow is the number of voters followed at a time, each at the cost of a progress mark in half of ApplyBound
	// and of each change; 1 if 0. With one, a change may take most of ApplyBound while that voter is not well.
	Follow int
	// Domain is the failure domain of the process. A voter there is followed first. May be empty.
	Domain string
	// Seeds returns the voters that the settings name now. It must not block. May be nil if these are Members.
	Seeds func() []Member

	// NoSet leaves the encoded set out of watched states, for processes that learn
	// of sets another way. Their numbers, authors and times are there as ever.
	NoSet bool

	once    sync.Once
	state   atomic.Pointer[State]
	learned atomic.Pointer[[]Member] // voters that one of them has told, for as long as there is no state
	proof   atomic.Pointer[proof]
	proofs  watchers                  // woken by each proof
	wanted  atomic.Pointer[time.Time] // moment as of which awaitProof wants a proof
	wake    chan struct{}             // makes follow look again

	unprovable atomic.Bool // voters that were asked have not proved anything for a while
	leader     atomic.Pointer[leadership]

	mu    sync.Mutex
	ctx   context.Context
	links map[string]*clientLink // by address
	next  int                    // voter to try next

	avoided    string // address of a voter that failed to answer
	avoidUntil time.Time
}

type leadership struct {
	name string
	term uint64
}

var _ bamboostep.Ledger = (*Client)(nil)

func (c *Client) init() {
	c.once.Do(func() {
		c.state.Store(encodedState{}.state())
		c.proof.Store(&proof{})
		c.leader.Store(&leadership{})
		c.wanted.Store(&time.Time{})
		c.wake = make(chan struct{}, 1)
		c.links = make(map[string]*clientLink)
	})
}

// Run keeps connections to the voters, and follows the state if the process is no
// voter or while its own voter is not current, until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	c.init()
	c.mu.Lock()
	c.ctx = ctx
	c.mu.Unlock()
	return c.follow(ctx)
}

// State returns the newest state that the process knows.
func (c *Client) State() *State {
	c.init()
	watched := c.state.Load()
	if c.Local == nil {
		return watched
	}
	if own := c.Local.State(); own.index >= watched.index {
		return own
	}
	return watched
}

// Current returns when State was last proved to be current: it held all that a
// quorum had committed then.
func (c *Client) Current() time.Time {
	c.init()
	watched := c.proof.Load().at
	if c.Local == nil {
		return watched
	}
	if own := c.Local.current(); own.After(watched) {
		return own
	}
	return watched
}

// Source returns the name of the voter or observer that proved last that a watched state was current, "" before any
// has. The process's own voter is not named.
func (c *Client) Source() string {
	c.init()
	return c.proof.Load().source
}

// RegisterMetrics adds a gauge of how old the proof is that State is current.
func (c *Client) RegisterMetrics(r prometheus.Registerer) {
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "bamboostep", Subsystem: "ledger", Name: "proof_age_seconds",
		Help: "Time since the state that this process has was last proved to be the newest; -1 if never.",
	}, func() float64 { return c.proofSeconds(time.Now()) }))
}

func (c *Client) proofSeconds(now time.Time) float64 {
	at := c.Current()
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Seconds()
}

// Leader returns the leader and its term, as far as the process knows.
func (c *Client) Leader() (name string, term uint64) {
	c.init()
	if c.Local != nil {
		name, term, _ := c.Local.Leader()
		return name, term
	}
	l := c.leader.Load()
	return l.name, l.term
}

// Publish implements bamboostep.Ledger.
func (c *Client) Publish(ctx context.Context, p bamboostep.Publication) (bamboostep.Revision, error) {
	if len(p.Set) > maxSetBytes {
		return bamboostep.Revision{}, &RefusedError{"publish", "set_too_large", fmt.Sprintf("%d bytes, at most %d", len(p.Set), maxSetBytes)}
	}
	r, err := c.propose(ctx, command{Publish: &p})
	if err != nil {
		return bamboostep.Revision{}, err
	}
	if r.Conflict != nil {
		return bamboostep.Revision{}, &bamboostep.ConflictError{BaseRevision: r.Conflict.Based, Newest: r.Conflict.Newest}
	}
	return r.Revision, nil
}

// PublishNumbered publishes a set under a number. The highest number wins: the
// revision returned is the newest, and may be another. It may be sent again.
func (c *Client) PublishNumbered(ctx context.Context, number uint64, set []byte) (bamboostep.Revision, error) {
	if len(set) > maxSetBytes {
		return bamboostep.Revision{}, &RefusedError{"publish", "set_too_large", fmt.Sprintf("%d bytes, at most %d", len(set), maxSetBytes)}
	}
	r, err := c.propose(ctx, command{Number: &numberCommand{number, set}})
	return r.Revision, err
}

// Claim implements bamboostep.Ledger. It fails with a *RefusedError while too
// many names are taken; nothing was claimed then.
func (c *Client) Claim(ctx context.Context, claim bamboostep.Claim) (bamboostep.ClaimResult, error) {
	if len(claim.Name) > maxNameBytes {
		return bamboostep.ClaimResult{}, &RefusedError{"claim", "name_too_long", fmt.Sprintf("%d bytes, at most %d", len(claim.Name), maxNameBytes)}
	}
	r, err := c.propose(ctx, command{Claim: &claim})
	return r.Claim, err
}

// Settle implements bamboostep.Ledger. An answer that is too long to be kept is
// left out. The error is a *RefusedError if the attempt does not hold the name.
func (c *Client) Settle(ctx context.Context, s bamboostep.Settlement) error {
	if len(s.Body) > maxAnswerBytes {
		s = bamboostep.Settlement{Name: s.Name, Attempt: s.Attempt, Outcome: s.Outcome}
	}
	_, err := c.propose(ctx, command{Settle: &s})
	return err
}

// Drain implements bamboostep.Ledger.
func (c *Client) Drain(ctx context.Context, vm string, leaving bool) error {
	_, err := c.propose(ctx, command{Drain: &drainCommand{ID: rand.Text(), VM: vm, Leaving: leaving}})
	return err
}

// Barrier returns once State holds everything that was committed before the call.
func (c *Client) Barrier(ctx context.Context) error {
	ctx, cancel := withTimeout(ctx)
	defer cancel()
	r, err := c.do(ctx, "read", kindBarrier, barrierCall{}, request{barrier: true})
	if err != nil {
		return err
	}
	for c.State().Index() < r.Index {
		if pause(ctx) != nil {
			return &bamboostep.UnavailableError{Operation: "read", NotApplied: true, Cause: ctx.Err()}
		}
	}
	return nil
}

// AddVoter adds a member and returns once it has caught up and votes; it waits
// while the change is not possible yet. To replace a voter that still works, add
// the new one first. A name whose disk was lost must be removed before.
func (c *Client) AddVoter(ctx context.Context, m Member) error {
	return c.change(ctx, "add a voter", changeCall{Add: true, Member: m})
}

// RemoveVoter removes a member and returns once that is committed; it waits while
// the voters that remain would have no quorum.
func (c *Client) RemoveVoter(ctx context.Context, m Member) error {
	return c.change(ctx, "remove a voter", changeCall{Member: m})
}

func (c *Client) change(ctx context.Context, operation string, call changeCall) error {
	ctx, cancel := withTimeout(ctx)
	defer cancel()
	for {
		r, err := c.do(ctx, operation, kindChange, call, request{})
		switch {
		case err != nil:
			return err
		case r.Code == codeRefused:
			return &MembershipError{Member: call.Member.Name, Issue: r.Detail}
		case r.Joined || (!call.Add && r.Settled):
			return nil
		}
		if pause(ctx) != nil {
			return &bamboostep.UnavailableError{Operation: operation, Cause: ctx.Err()}
		}
	}
}

func (c *Client) propose(ctx context.Context, cmd command) (result, error) {
	ctx, cancel := withTimeout(ctx)
	defer cancel()
	operation := cmd.operation()
	r, err := c.do(ctx, operation, kindPropose, proposeCall{cmd}, request{command: &cmd})
	if err != nil {
		return result{}, err
	}
	if r.Code == codeRefused {
		return result{}, &RefusedError{operation, string(r.Code), r.Detail}
	}
	if r.Result.Refused != "" {
		return result{}, &RefusedError{operation, r.Result.Refused, r.Result.Detail}
	}
	return r.Result, nil
}

func withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, set := ctx.Deadline(); set {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, callTimeout)
}

func pause(ctx context.Context) error { return pauseFor(ctx, retryDelay) }

func pauseFor(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

var errNoConnection = errors.New("no connection to a voter")

// do makes a call until some voter has done or refused it.
func (c *Client) do(ctx context.Context, operation, kind string, call any, local request) (proposeReply, error) {
	c.init()
	known := true
	var cause error
	for {
		r, err := c.attempt(ctx, kind, call, local)
		switch {
		case err == nil && (r.Code == codeDone || r.Code == codeRefused):
			return r, nil
		case err == nil:
			known = known && r.Code.certain()
			cause = fmt.Errorf("voter answered %q %s", r.Code, r.Detail)
			c.redirect(r)
		default:
			known = known && errors.Is(err, errNoConnection)
			cause = err
			c.forgetLeader()
		}
		if pause(ctx) != nil {
			return proposeReply{}, &bamboostep.UnavailableError{Operation: operation, NotApplied: known, Cause: fmt.Errorf("%w: %w", ctx.Err(), cause)}
		}
	}
}

// attempt makes one call, at the own voter if it leads.
func (c *Client) attempt(whole context.Context, kind string, call any, local request) (proposeReply, error) {
	ctx, cancel := context.WithTimeout(whole, attemptTimeout)
	defer cancel()
	if c.Local != nil && c.Local.leads() {
		return c.attemptLocal(ctx, call, local)
	}
	m, conn := c.target()
	if conn == nil {
		return proposeReply{}, errNoConnection
	}
	var r proposeReply
	err := conn.Call(ctx, kind, call, &r)
	if err != nil && whole.Err() == nil {
		c.avoid(m)
	}
	return r, err
}

func (c *Client) attemptLocal(ctx context.Context, call any, local request) (proposeReply, error) {
	answer := make(chan proposeReply, 1)
	done := func(r proposeReply) { answer <- r }
	if change, ok := call.(changeCall); ok {
		go c.Local.change(change, done)
	} else {
		local.done = done
		if local.command != nil {
			own := *local.command
			local.command = &own
		}
		c.Local.request(local)
	}
	select {
	case r := <-answer:
		return r, nil
	case <-ctx.Done():
		return proposeReply{}, ctx.Err()
	}
}
