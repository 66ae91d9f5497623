package ledger

import (
	"sync"
	"time"

	"github.com/bamboostep/bamboostep/wire"
)

// Watches. A client names the state it has and is answered as soon as there is a
// newer one, or after progressInterval with a progress mark. Any voter answers,
// from what it has applied, so watches cost the leader nothing. A client that is
// too far behind for the kept revisions gets all of them.

const progressInterval = time.Second

// watchers wakes the watches that wait.
type watchers struct {
	mu      sync.Mutex
	changed chan struct{}
}

// wait returns a channel that is closed at the next change.
func (w *watchers) wait() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.changed == nil {
		w.changed = make(chan struct{})
	}
	return w.changed
}

func (w *watchers) wake() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.changed != nil {
		close(w.changed)
		w.changed = nil
	}
}

func (v *Voter) handleWatch(m *wire.Message) {
	var call watchCall
	if m.Decode(&call) != nil {
		return
	}
	go v.watch(m, call)
}

func (v *Voter) watch(m *wire.Message, call watchCall) {
	changed := v.watchers.wait()
	if v.State().content <= call.Content && !m.Await(changed, progressInterval) {
		return
	}
	m.Reply(v.watchReply(call, time.Now()))
}

func (v *Voter) watchReply(call watchCall, now time.Time) watchReply {
	st := v.status.Load() // before the state, which must not be older than its proof
	s := v.State()
	r := watchReply{
		Index:      s.index,
		Term:       s.term,
		Content:    s.content,
		Leader:     st.leader,
		LeaderTerm: st.term,
		AgeMS:      now.Sub(st.current).Milliseconds(),
	}
	if s.content <= call.Content {
		return r
	}
	r.Changed = true
	r.Drained, r.Members = s.Drains(), s.members
	if s.newest().Number > call.Revision {
		v.putSet(&r, call, s)
		r.Revisions, r.Reset = s.revisionsAfter(call.Revision)
	}
	return r
}

// putSet adds the set of s to a reply, in the form that the client takes.
func (v *Voter) putSet(r *watchReply, call watchCall, s *State) {
	if call.NoSet {
		return
	}
	if call.Unpacks {
		r.Packed = v.packer.pack(s.set, s.newest().Number)
	}
	if r.Packed == nil {
		r.Set = s.set
	}
}

// unpack puts the set of a reply in its plain form.
func (r *watchReply) unpack() (err error) {
	if r.Packed != nil {
		r.Set, err = unpack(r.Packed)
		r.Packed = nil
	}
	return err
}

// apply returns the state that r makes of old, or nil if r is not newer.
func (r watchReply) apply(old *State) *State {
	if r.Index < old.index || r.Content < old.content {
		return nil
	}
	if !r.Changed {
		return old.at(r.Index, r.Term, false)
	}
	e := encodedState{
		Index:     r.Index,
		Term:      r.Term,
		Content:   r.Content,
		Set:       old.set,
		Revisions: old.revisions,
		Drained:   r.Drained,
		Members:   r.Members,
	}
	if len(r.Revisions) > 0 {
		e.Set = r.Set
		e.Revisions = r.Revisions
		if !r.Reset {
			e.Revisions = boundHistory(append(old.revisions[:len(old.revisions):len(old.revisions)], r.Revisions...))
		}
	}
	return e.state()
}
