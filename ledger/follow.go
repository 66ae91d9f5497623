package ledger

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bamboostep/bamboostep/timeline"
	"github.com/bamboostep/bamboostep/wire"
)

// How a Client finds voters, and follows the state where there is none of its own. Whom it asks when is decided in sources.go.

const (
	avoidTime         = 1 * time.Second
	defaultApplyBound = 2 * time.Second
	lostAfterBounds   = 2 // apply bounds without a proof after which the members that are known may all have been replaced
	minFollowPause    = 5 * time.Millisecond
)

// voters returns the members as the client knows them now.
func (c *Client) voters() []Member {
	if known := c.State().Members(); len(known) > 0 {
		return known
	}
	if learned := c.learned.Load(); learned != nil {
		return *learned
	}
	return c.Members
}

// learnVoters tells the client of voters. It uses them while it has no state that names any.
func (c *Client) learnVoters(voters []Member) {
	c.init()
	c.learned.Store(&voters)
	c.kick()
}

// link returns the link to a member, which it opens if needed. It returns nil
// before Run.
func (c *Client) link(m Member) *wire.Link {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.links[m.Address]; l != nil {
		return l.Link
	}
	if c.ctx == nil {
		return nil
	}
	ctx, cancel := context.WithCancel(c.ctx)
	l := &wire.Link{
		Node:    c.Node,
		Address: m.Address,
		Handler: wire.HandlerFunc(func(*wire.Message) {}),
		Up:      func(*wire.Conn) { c.kick() },
		Down:    func(*wire.Conn) { c.kick() },
	}
	c.links[m.Address] = &clientLink{l, cancel}
	go l.Run(ctx)
	return l
}

// clientLink is a link of a client, and what ends it.
type clientLink struct {
	*wire.Link
	cancel context.CancelFunc
}

func (c *Client) conn(m Member) *wire.Conn {
	l := c.link(m)
	if l == nil {
		return nil
	}
	return l.Conn()
}

// target returns a connection to the leader, or to the next voter while it is not
// known or has just failed to answer.
func (c *Client) target() (Member, *wire.Conn) {
	leader, _ := c.Leader()
	voters := c.voters()
	for _, m := range voters {
		if m.Name != leader || c.isLocal(m) || c.avoids(m) {
			continue
		}
		if conn := c.conn(m); conn != nil {
			return m, conn
		}
	}
	return c.anyVoter(voters)
}

func (c *Client) isLocal(m Member) bool { return c.Local != nil && c.Local.Name == m.Name }

// avoid leaves a voter that failed to answer alone for a while, so that a frozen
// one costs a call one attempt and not several.
func (c *Client) avoid(m Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoided, c.avoidUntil = m.Address, time.Now().Add(avoidTime)
}

func (c *Client) avoids(m Member) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.avoided == m.Address && time.Now().Before(c.avoidUntil)
}

// anyVoter returns a connection to the next voter that has one.
func (c *Client) anyVoter(voters []Member) (Member, *wire.Conn) {
	for range voters {
		c.mu.Lock()
		c.next++
		m := voters[c.next%len(voters)]
		c.mu.Unlock()
		if c.isLocal(m) || c.avoids(m) {
			continue
		}
		if conn := c.conn(m); conn != nil {
			return m, conn
		}
	}
	return Member{}, nil
}

// redirect notes who leads, by a voter that does not.
func (c *Client) redirect(r proposeReply) {
	if r.Code == codeNotLeader {
		c.leader.Store(&leadership{name: r.Leader.Name, term: c.leader.Load().term})
	}
}

func (c *Client) forgetLeader() { c.leader.Store(&leadership{term: c.leader.Load().term}) }

// hasVoter reports whether the process's own voter is current, so that there is
// nothing to watch.
func (c *Client) hasVoter() bool {
	return c.Local != nil && time.Since(c.Local.current()) < c.bound()/4
}

// bound returns ApplyBound or its default.
func (c *Client) bound() time.Duration {
	if c.ApplyBound > 0 {
		return c.ApplyBound
	}
	return defaultApplyBound
}

// follow asks voters as sources wants it, until ctx ends. It alone changes the state of the client.
func (c *Client) follow(ctx context.Context) error {
	began := time.Now()
	s := newSources(c.bound(), max(c.Follow, 1), c.Domain, rand.IntN(math.MaxInt32))
	ended := make(chan endedQuestion)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		pause := c.bound() / 4
		if reachable := c.reachable(); !c.hasVoter() {
			s.want(c.wanted.Load().Sub(began))
			asked, left := s.tick(time.Since(began), reachable)
			c.recordLeft(left)
			c.askAll(ctx, asked, ended)
			now := time.Since(began)
			if len(reachable) > 0 {
				pause = max(s.due(now)-now, minFollowPause)
			}
		}
		c.unprovable.Store(s.unprovable())
		timer.Reset(pause)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		case <-c.wake:
		case e := <-ended:
			asked, left := s.answer(time.Since(began), c.takeAnswer(e, began))
			c.recordLeft(left)
			c.askAll(ctx, asked, ended)
		}
	}
}

// endedQuestion is a question, when it was asked and what came of it.
type endedQuestion struct {
	question
	asked time.Time
	reply watchReply
	err   error
}

// askAll asks questions, each in a goroutine that hands its end to ended.
func (c *Client) askAll(ctx context.Context, asked []question, ended chan<- endedQuestion) {
	for _, q := range asked {
		go func() {
			e := c.ask(ctx, q)
			select {
			case ended <- e:
			case <-ctx.Done():
			}
		}()
	}
}

func (c *Client) ask(ctx context.Context, q question) endedQuestion {
	e := endedQuestion{question: q, asked: time.Now()}
	conn := c.conn(q.to)
	if conn == nil {
		e.err = errNoConnection
		return e
	}
	s := c.state.Load()
	_, revision := s.Set()
	call := watchCall{
		Index:    s.index,
		Revision: revision,
		Content:  s.content,
		NoSet:    c.NoSet,
		Unpacks:  true,
		AtOnce:   q.wait == 0,
		WaitMS:   q.wait.Milliseconds(),
	}
	ctx, cancel := context.WithTimeout(ctx, q.expiry)
	defer cancel()
	if e.err = conn.Call(ctx, kindWatch, call, &e.reply); e.err != nil {
		return e
	}
	if e.err = e.reply.unpack(); e.err != nil {
		c.Recorder.Record(timeline.Event{Kind: "ledger_state_unreadable", VM: q.to.Name, Detail: e.err.Error()})
		conn.Close()
	}
	return e
}

// takeAnswer takes the state of an answer, if it is newer, and the proof.
func (c *Client) takeAnswer(e endedQuestion, began time.Time) answered {
	if e.err != nil {
		return answered{question: e.question, failed: e.err.Error()}
	}
	at, proven := e.reply.provedAt(e.asked)
	p := proof{at, e.to.Name}
	if next := e.reply.apply(c.state.Load()); next != nil {
		c.take(next, e.reply, p)
	} else {
		c.noteProved(p) // a newer state holds all that the older one does
	}
	if !proven {
		return answered{question: e.question, proved: -unprovedAge}
	}
	return answered{question: e.question, proved: at.Sub(began)}
}

func (c *Client) recordLeft(left []departure) {
	for _, d := range left {
		c.Recorder.Record(timeline.Event{Kind: "ledger_source_left", VM: d.member.Name, Detail: d.reason})
	}
}

// reachable returns the voters to which there is a connection, and keeps connections to those that there are.
func (c *Client) reachable() []Member {
	wanted := c.candidates()
	c.keepLinks(wanted)
	return slices.DeleteFunc(slices.Clone(wanted), func(m Member) bool { return c.isLocal(m) || c.conn(m) == nil })
}

// candidates returns the voters that the client may ask. If none has proved anything for long, those that the settings name count too:
// all voters that the client knows may have been replaced.
func (c *Client) candidates() []Member {
	all := c.voters()
	if time.Since(c.Current()) <= lostAfterBounds*c.bound() {
		return all
	}
	for _, m := range c.named() {
		if !slices.ContainsFunc(all, m.sameVoter) {
			all = append(slices.Clone(all), m)
		}
	}
	return all
}

// named returns the voters that the settings name now.
func (c *Client) named() []Member {
	if c.Seeds != nil {
		return c.Seeds()
	}
	return c.Members
}

// keepLinks closes the links to all but the voters named.
func (c *Client) keepLinks(wanted []Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, l := range c.links {
		if !slices.ContainsFunc(wanted, func(m Member) bool { return m.Address == address }) {
			l.cancel()
			delete(c.links, address)
		}
	}
}

// kick makes follow look again. It does not block.
func (c *Client) kick() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// ConfirmApplied reports whether State holds every change that must be in force at a time: those that were acknowledged
// ApplyBound before. It wants a proof as of half of ApplyBound before that time, and asks the voters if there is none. It blocks for a quarter of
// ApplyBound at most; it returns false at once while no voter can be asked or those that were asked have proved nothing.
func (c *Client) ConfirmApplied(ctx context.Context, at time.Time) bool {
	c.init()
	ctx, cancel := context.WithTimeout(ctx, c.bound()/4)
	defer cancel()
	return c.awaitProof(ctx, at.Add(-c.bound()/2))
}

// awaitProof returns once State is proved to hold all that was committed before a moment, and reports whether it is.
func (c *Client) awaitProof(ctx context.Context, since time.Time) bool {
	for {
		proved := c.proofs.wait()
		if !c.Current().Before(since) {
			return true
		}
		if c.unprovable.Load() {
			return false
		}
		c.want(since)
		select {
		case <-ctx.Done():
			return false
		case <-proved:
		}
	}
}

// want asks for a proof as of a moment.
func (c *Client) want(since time.Time) {
	for {
		old := c.wanted.Load()
		if !since.After(*old) {
			break
		}
		if c.wanted.CompareAndSwap(old, &since) {
			break
		}
	}
	c.kick()
}

// proof says that the state of a client held all that was committed at a time.
type proof struct {
	at     time.Time
	source string // voter or observer that proved it
}

func (c *Client) noteProved(p proof) {
	if p.at.After(c.proof.Load().at) {
		c.proof.Store(&p)
	}
	c.proofs.wake()
}

// take makes a state that was watched the client's own.
func (c *Client) take(s *State, r watchReply, p proof) {
	changed := s.content > c.state.Load().content
	c.state.Store(s)
	// What Applied puts in force must be there before it counts as proved.
	defer c.noteProved(p)
	if l := c.leader.Load(); r.Leader != "" && r.LeaderTerm >= l.term {
		c.leader.Store(&leadership{r.Leader, r.LeaderTerm})
	}
	if !changed {
		return
	}
	newest := s.newest()
	detail := fmt.Sprintf("proved current %v ago, published at %s", time.Since(p.at).Round(time.Millisecond), newest.At.Format(time.RFC3339Nano))
	c.Recorder.Record(timeline.Event{Kind: "ledger_state_received", VM: p.source, Revision: newest.Number, Term: s.term, Detail: detail})
	if c.Applied != nil {
		c.Applied(s)
	}
}
