package ledger

import (
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Snapshots. The shell takes one of the machine now and then and the core drops
// the entries it covers, but for some that slow followers may still ask for. A
// follower that is too far behind gets the snapshot in chunks.

const (
	keptEntries      = 1024                   // entries kept behind a snapshot for slow followers, at most
	keptBytes        = 2 << 20                // and their size
	maxSnapshotBytes = 64 << 20               // of an encoded snapshot
	resendInterval   = 500 * time.Millisecond // after which an unanswered chunk is sent again
)

type outgoingSnapshot struct {
	Index  uint64
	Term   uint64
	Data   []byte
	Offset int
	resend time.Duration // when the chunk at Offset is due again
}

type incomingSnapshot struct {
	Index uint64
	Term  uint64
	Data  []byte
}

// compact notes a snapshot of what was handed out up to its index, and returns
// the entries that the disk must still hold behind and after it.
func (c *core) compact(s snapshot) []entry {
	c.snap = s
	keep := s.Index
	for bytes := 0; keep > c.log.baseIndex && s.Index-keep < c.keep; keep-- {
		bytes += c.log.at(keep).size()
		if bytes > keptBytes {
			break
		}
	}
	c.log.compact(keep)
	return c.log.entries
}

// committedMembers returns the membership at the last entry handed out.
func (c *core) committedMembers() membership { return c.membersBefore(c.handedOut + 1) }

// membersBefore returns the newest membership before an entry.
func (c *core) membersBefore(index uint64) membership {
	m, _ := c.findMembers(index - 1)
	return m
}

func (c *core) sendSnapshot(to seat, p *progress) {
	if p.snapshot == nil {
		data, err := msgpack.Marshal(&c.snap)
		if err != nil {
			c.out.Err = fmt.Errorf("snapshot %d: %w", c.snap.Index, err)
			return
		}
		p.snapshot = &outgoingSnapshot{Index: c.snap.Index, Term: c.snap.Term, Data: data}
	}
	o := p.snapshot
	if c.now < o.resend {
		// A heartbeat that any log accepts.
		m := message{Kind: messageAppend, Round: c.round, Commit: c.commit}
		c.out.Early = append(c.out.Early, c.addressed(m, to))
		return
	}
	o.resend = c.now + resendInterval
	end := min(o.Offset+snapshotBytes, len(o.Data))
	m := message{
		Kind:    messageSnapshot,
		Index:   o.Index,
		LogTerm: o.Term,
		Round:   c.round,
		Chunk:   &snapshotChunk{Offset: o.Offset, Total: len(o.Data), Data: o.Data[o.Offset:end]},
	}
	c.out.Early = append(c.out.Early, c.addressed(m, to))
}

func (c *core) stepSnapshot(m message) {
	if c.role == roleLeader || m.Chunk == nil || m.Chunk.Total > maxSnapshotBytes {
		return
	}
	c.hear(m)
	if c.hasMatching(m.Index, m.LogTerm) {
		c.commit = max(c.commit, m.Index)
		c.incoming = incomingSnapshot{}
		c.reply(message{Kind: messageAppendReply, OK: true, Index: m.Index}, m)
		return
	}
	if c.incoming.Index != m.Index || c.incoming.Term != m.LogTerm {
		c.incoming = incomingSnapshot{Index: m.Index, Term: m.LogTerm}
	}
	if m.Chunk.Offset == len(c.incoming.Data) {
		c.incoming.Data = append(c.incoming.Data, m.Chunk.Data...)
	}
	held := len(c.incoming.Data)
	if held == m.Chunk.Total {
		c.install(m)
		return
	}
	r := message{Kind: messageSnapshotReply, Index: m.Index, Chunk: &snapshotChunk{Offset: held, Total: m.Chunk.Total}}
	c.reply(r, m)
}

// hasMatching reports whether the log already holds what a snapshot covers.
func (c *core) hasMatching(index, term uint64) bool {
	if index <= c.commit {
		return true
	}
	own, ok := c.log.term(index)
	return ok && own == term
}

// install replaces the whole log by a snapshot. What the log held contradicts
// the snapshot or ends before it, so nothing that was promised is lost.
func (c *core) install(m message) {
	var s snapshot
	err := msgpack.Unmarshal(c.incoming.Data, &s)
	c.incoming = incomingSnapshot{}
	if err != nil || s.Index != m.Index || s.Term != m.LogTerm {
		c.event("bad_snapshot", m.From)
		return
	}
	c.snap = s
	c.log = newMemoryLog(s.Index, s.Term, nil)
	c.stable, c.commit, c.handedOut = s.Index, s.Index, s.Index
	c.refreshMembers()
	c.leaveUnformed()
	c.out.Snapshot = &s
	c.out.Committed = nil
	c.reply(message{Kind: messageAppendReply, OK: true, Index: s.Index}, m)
}

func (c *core) stepSnapshotReply(m message) {
	p := c.progress[m.FromDisk]
	if c.role != roleLeader || p == nil {
		return
	}
	c.noteRound(p, m)
	c.countRound()
	if p.snapshot == nil || p.snapshot.Index != m.Index || m.Chunk == nil {
		return
	}
	s, _ := c.members.onDisk(m.FromDisk)
	if held := m.Chunk.Offset; held != p.snapshot.Offset && held <= len(p.snapshot.Data) {
		p.snapshot.Offset = held
		p.snapshot.resend = 0
		c.sendAppend(s)
	}
}
