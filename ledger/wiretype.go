package ledger

import "github.com/bamboostep/bamboostep"

// The calls that clients and voters make besides the consensus messages.

const (
	kindStep     = "ledger.step"     // a message between voters; no answer
	kindPropose  = "ledger.propose"  // proposeCall, answered by proposeReply
	kindBarrier  = "ledger.barrier"  // barrierCall, answered by proposeReply
	kindWatch    = "ledger.watch"    // watchCall, answered by watchReply
	kindIdentity = "ledger.identity" // answered by identityReply
	kindChange   = "ledger.change"   // changeCall, answered by proposeReply
)

// callCode says how a call ended.
type callCode string

const (
	codeDone      callCode = "done"
	codeNotLeader callCode = "not_leader" // nothing was appended; Leader may say who leads
	codeBusy      callCode = "busy"       // nothing was appended; the same may be done later
	codeDropped   callCode = "dropped"    // appended, and then replaced by another entry
	codeUncertain callCode = "uncertain"  // appended, and this voter lost the lead
	codeRefused   callCode = "refused"    // a membership change that is not allowed
)

// certain reports whether a call that ended so was and will not be applied.
func (c callCode) certain() bool { return c != codeUncertain && c != codeDone }

type proposeCall struct {
	Command command `msgpack:"command"`
}

type barrierCall struct{}

type changeCall struct {
	Add    bool   `msgpack:"add"`
	Member Member `msgpack:"member"`
}

// proposeReply answers everything that the leader does for a client.
type proposeReply struct {
	Code    callCode `msgpack:"code"`
	Leader  Member   `msgpack:"leader"` // of a not_leader, if known
	Index   uint64   `msgpack:"index"`  // entry of the command, or committed before the barrier
	Result  result   `msgpack:"result"`
	Detail  string   `msgpack:"detail"`
	Joined  bool     `msgpack:"joined"`  // the added member votes
	Settled bool     `msgpack:"settled"` // the newest membership is committed
}

// watchCall asks for the state once it differs from what the client has.
type watchCall struct {
	Index    uint64 `msgpack:"index"`    // of the client's state; 0 for none
	Revision uint64 `msgpack:"revision"` // of the client's state
	Content  uint64 `msgpack:"content"`  // index of the last change that the client has
	NoSet    bool   `msgpack:"no_set"`   // leave the set out
	Unpacks  bool   `msgpack:"unpacks"`  // the set may be compressed

	AtOnce bool  `msgpack:"at_once,omitempty"` // the answer is wanted now, also if there is no change
	WaitMS int64 `msgpack:"wait_ms,omitempty"` // for which it may be held back otherwise; 0 for progressInterval
}

// watchReply is a progress mark: it proves up to which index the client is
// current. It brings what changed since, too; a mark without a change is most of what voters send to clients, so what is empty is left out.
type watchReply struct {
	Index      uint64                `msgpack:"index"`
	Term       uint64                `msgpack:"term"`
	Content    uint64                `msgpack:"content"`
	Leader     string                `msgpack:"leader"`
	LeaderTerm uint64                `msgpack:"leader_term"`
	AgeMS      int64                 `msgpack:"age_ms"` // since the voter had all that a leader had committed
	Changed    bool                  `msgpack:"changed,omitempty"`
	Revisions  []bamboostep.Revision `msgpack:"revisions,omitempty"` // those after the client's, or all kept if Reset
	Reset      bool                  `msgpack:"reset,omitempty"`     // the client was too far behind for a delta
	Set        []byte                `msgpack:"set,omitempty"`       // if the revision is newer
	Packed     []byte                `msgpack:"packed,omitempty"`    // in place of Set, compressed
	Drained    []string              `msgpack:"drained,omitempty"`
	Members    []Member              `msgpack:"members,omitempty"`
	HeldMS     int64                 `msgpack:"held_ms,omitempty"` // for which the answer was held back
}

type identityReply struct {
	Name string `msgpack:"name"`
	Disk diskID `msgpack:"disk"`
}
