package ledger

import (
	"context"
	"fmt"
	"time"

	"github.com/bamboostep/bamboostep/timeline"
	"github.com/bamboostep/bamboostep/wire"
)

// How a Client finds voters, and follows the state where there is none of its own.

const (
	watchTimeout = progressInterval + 2*time.Second
	avoidTime    = 1 * time.Second
	maxAge       = 2 * time.Second // a voter that heard from no leader for so long is left for another
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
func (c *Client) learnVoters(voters []Member) { c.learned.Store(&voters) }

// link returns the link to a member, which it opens if needed. It returns nil
// before Run.
func (c *Client) link(m Member) *wire.Link {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.links[m.Address]
	if l == nil && c.ctx != nil {
		l = &wire.Link{Node: c.Node, Address: m.Address, Handler: wire.HandlerFunc(func(*wire.Message) {})}
		c.links[m.Address] = l
		go l.Run(c.ctx)
	}
	return l
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
	return c.Local != nil && time.Since(c.Local.current()) < maxAge
}

// follow watches one voter after the other.
func (c *Client) follow(ctx context.Context) error {
	for ctx.Err() == nil {
		if c.hasVoter() {
			_ = pauseFor(ctx, progressInterval)
			continue
		}
		if m, conn := c.anyVoter(c.voters()); conn != nil {
			reason := c.watch(ctx, m, conn)
			c.Recorder.Record(timeline.Event{Kind: "ledger_source_left", VM: m.Name, Detail: reason})
		}
		_ = pause(ctx)
	}
	return ctx.Err()
}

// watch follows one voter until it fails or lags, and returns why it was left.
func (c *Client) watch(ctx context.Context, m Member, conn *wire.Conn) string {
	for ctx.Err() == nil && !c.hasVoter() {
		s := c.state.Load()
		_, revision := s.Set()
		asked := time.Now()
		var r watchReply
		if err := c.callWatch(ctx, conn, watchCall{s.index, revision, s.content, c.NoSet, true}, &r); err != nil {
			return err.Error()
		}
		if err := r.unpack(); err != nil {
			c.Recorder.Record(timeline.Event{Kind: "ledger_state_unreadable", Detail: err.Error()})
			conn.Close()
			return err.Error()
		}
		age := time.Duration(r.AgeMS) * time.Millisecond
		if age > maxAge {
			return fmt.Sprintf("its state was last proved current %v ago", age)
		}
		next := r.apply(s)
		if next == nil {
			return fmt.Sprintf("it is at entry %d, this process at %d", r.Index, s.index)
		}
		c.take(m.Name, next, r, asked.Add(-age))
	}
	return "not needed"
}

func (c *Client) callWatch(ctx context.Context, conn *wire.Conn, call watchCall, r *watchReply) error {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	return conn.Call(ctx, kindWatch, call, r)
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
}

// take makes a state that was watched at source the client's own.
func (c *Client) take(source string, s *State, r watchReply, proved time.Time) {
	c.state.Store(s)
	// What Applied puts in force must be there before it counts as proved.
	defer c.noteProved(proof{proved, source})
	if r.Leader != "" {
		c.leader.Store(&leadership{r.Leader, r.LeaderTerm})
	}
	if !r.Changed {
		return
	}
	newest := s.newest()
	detail := fmt.Sprintf("proved current %v ago, published at %s", time.Since(proved).Round(time.Millisecond), newest.At.Format(time.RFC3339Nano))
	c.Recorder.Record(timeline.Event{Kind: "ledger_state_received", VM: source, Revision: newest.Number, Term: s.term, Detail: detail})
	if c.Applied != nil {
		c.Applied(s)
	}
}
