package ledger

import (
	"time"

	"github.com/bamboostep/bamboostep/wire"
)

// Observer stands for a voter on a VM without a disk. It never votes and nobody waits for it: what
// it acknowledged would be gone with its process. Since the settings of other processes may name it
// among the voters, it tells them what they need to find these: clients may watch the state through
// it, and it passes the announcements of voters with an empty disk on to the leader. Set the
// exported fields before Register.
type Observer struct {
	Name   string  // as settings name it
	Client *Client // follows the ledger; Changed must be called from its Applied

	watches watchServer
}

// Register adds the handlers of the ledger to mux.
func (o *Observer) Register(mux *wire.Mux) {
	mux.On(kindStep, o.handleStep)
	mux.On(kindWatch, func(m *wire.Message) {
		o.watches.handle(m, o.Client.State, o.leadership)
	})
	refuse := func(m *wire.Message) { m.Reply(o.notLeader()) }
	mux.On(kindPropose, refuse)
	mux.On(kindBarrier, refuse)
	mux.On(kindChange, refuse)
	mux.On(kindIdentity, func(m *wire.Message) { m.Reply(identityReply{Name: o.Name}) })
}

// Changed answers the watches that wait. It does not block.
func (o *Observer) Changed() { o.watches.wake() }

func (o *Observer) leadership() (leadership, time.Time) {
	current := o.Client.Current() // before the leader, which must not be older than its proof
	name, term := o.Client.Leader()
	return leadership{name, term}, current
}

func (o *Observer) notLeader() proposeReply {
	r := proposeReply{Code: codeNotLeader}
	leader, _ := o.Client.Leader()
	for _, m := range o.Client.State().Members() {
		if m.Name == leader {
			r.Leader = m
		}
	}
	return r
}

// handleStep answers a voter that forms the system, and passes announcements on to a voter that is
// known from the ledger. Other observers are never among these.
func (o *Observer) handleStep(m *wire.Message) {
	var got message
	if m.Decode(&got) != nil || got.Kind != messageAnnounce || got.Announce == nil {
		return
	}
	if voters := got.Announce.Members.members(); got.Announce.Formed && len(voters) > 0 {
		o.Client.learnVoters(voters)
	}
	if !got.Announce.Formed {
		_ = m.Conn().Send(kindStep, &message{Kind: messageDiskless, To: got.From, From: o.Name}) // announced again if lost
	}
	if len(o.Client.State().Members()) == 0 {
		return
	}
	if _, conn := o.Client.target(); conn != nil {
		_ = conn.Send(kindStep, &got) // announced again if lost
	}
}
