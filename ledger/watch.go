package ledger

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/wire"
)

// Watches. A client names the state it has and is answered as soon as there is a
// newer one, or after the time that it names with a progress mark, which tells how old the proof is that the state is the newest. Any voter answers,
// from what it has applied, so watches cost the leader nothing. A client that is
// too far behind for the kept revisions gets all of them.

const (
	progressInterval = time.Second    // for which an answer is held back at the most
	unprovedAge      = 24 * time.Hour // age of a proof from which on there is none
)

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

// watchServer answers watches from the state that its process has.
type watchServer struct {
	watchers
	packer packer
}

// wait returns for how long the answer may be held back while there is no change.
func (c watchCall) wait() time.Duration {
	switch wait := time.Duration(c.WaitMS) * time.Millisecond; {
	case c.AtOnce:
		return 0
	case wait <= 0:
		return progressInterval
	default:
		return min(wait, progressInterval)
	}
}

// handle answers m once state has changed or the time that m names is over. proof returns the leader, and
// when the state was last proved to be current; it is taken before the state.
func (w *watchServer) handle(m *wire.Message, state func() *State, proof func() (leadership, time.Time)) {
	var call watchCall
	if m.Decode(&call) != nil {
		return
	}
	received := time.Now()
	go func() {
		changed := w.wait()
		if state().content <= call.Content && !call.AtOnce && !m.Await(changed, call.wait()) {
			return
		}
		leader, current := proof()
		now := time.Now() // one reading for both, or the process could stand still between two
		r := w.reply(call, state(), leader, now.Sub(current))
		r.HeldMS = now.Sub(received).Milliseconds()
		m.Reply(r)
	}()
}

func (w *watchServer) reply(call watchCall, s *State, leader leadership, age time.Duration) watchReply {
	r := watchReply{
		Index:      s.index,
		Term:       s.term,
		Content:    s.content,
		Leader:     leader.name,
		LeaderTerm: leader.term,
		AgeMS:      min(age, unprovedAge).Milliseconds() + 1, // rounded up
	}
	if s.content <= call.Content {
		return r
	}
	r.Changed = true
	r.Drained, r.Members = s.Drains(), s.members
	if s.newest().Number > call.Revision {
		w.putSet(&r, call, s)
		r.Revisions, r.Reset = s.revisionsAfter(call.Revision)
	}
	return r
}

// putSet adds the set of s to a reply, in the form that the client takes.
func (w *watchServer) putSet(r *watchReply, call watchCall, s *State) {
	if call.NoSet {
		return
	}
	if call.Unpacks {
		r.Packed = w.packer.pack(s.set, s.newest().Number)
	}
	if r.Packed == nil {
		r.Set = s.set
	}
}

// leadership returns the leader, and when this voter last had all that a leader had committed.
func (v *Voter) leadership() (leadership, time.Time) {
	st := v.status.Load()
	return leadership{st.leader, st.term}, st.current
}

// unpack puts the set of a reply in its plain form.
func (r *watchReply) unpack() (err error) {
	if r.Packed != nil {
		r.Set, err = unpack(r.Packed)
		r.Packed = nil
	}
	return err
}

// provedAt returns when the state of r was last proved to be the newest, on the clock of the client that asked at a moment. All that
// is not known to have passed before the proof counts as its age: the ways of call and answer, and that the client did not run.
// It returns the zero time and false if it never was.
func (r watchReply) provedAt(asked time.Time) (time.Time, bool) {
	if r.AgeMS >= unprovedAge.Milliseconds() {
		return time.Time{}, false
	}
	return asked.Add(time.Duration(r.HeldMS-r.AgeMS) * time.Millisecond), true
}

// apply returns the state that r makes of old, or nil if r is older. r may answer a question that was asked before old was there.
func (r watchReply) apply(old *State) *State {
	if r.Index < old.index {
		return nil
	}
	if r.Content <= old.content {
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
	newer := r.revisionsAfter(old.newest().Number)
	if len(newer) == 0 {
		return e.state()
	}
	e.Set = r.Set
	e.Revisions = r.Revisions
	if !r.Reset {
		e.Revisions = boundHistory(append(old.revisions[:len(old.revisions):len(old.revisions)], newer...))
	}
	return e.state()
}

// revisionsAfter returns the revisions of r with a higher number.
func (r watchReply) revisionsAfter(number uint64) []bamboostep.Revision {
	i, found := slices.BinarySearchFunc(r.Revisions, number, func(v bamboostep.Revision, n uint64) int { return cmp.Compare(v.Number, n) })
	if found {
		i++
	}
	return r.Revisions[i:]
}
