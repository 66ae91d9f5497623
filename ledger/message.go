package ledger

// The records of the log and the messages between voters. Everything is encoded
// as msgpack arrays, since heartbeats are most of what voters send.

// diskID identifies a data folder from its first use on. 0 is no disk.
type diskID uint64

type entryKind uint8

const (
	entryNoop       entryKind = iota // first entry of every leader
	entryCommand                     // Data is an encoded command
	entryMembership                  // Data is an encoded membership
)

// entry is one record of the replicated log.
type entry struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	Index uint64
	Term  uint64
	Kind  entryKind
	Data  []byte
}

// size is about what e takes on disk and on the wire.
func (e entry) size() int { return len(e.Data) + entryOverheadBytes }

const entryOverheadBytes = 32

// ballot is what a voter must remember beside its log.
type ballot struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	Term     uint64
	Vote     diskID // candidate that got this voter's vote in Term
	Accepted []seat // first membership that this voter agreed to; see formation.go
}

// snapshot replaces all entries up to Index.
type snapshot struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	Index   uint64
	Term    uint64
	Members membership
	Data    []byte // an encoded machine
}

type messageKind uint8

const (
	messageAnnounce messageKind = iota // before the first membership is agreed
	messagePreVote
	messagePreVoteReply
	messageVote
	messageVoteReply
	messageAppend // also the heartbeat
	messageAppendReply
	messageSnapshot
	messageSnapshotReply
	messageElectNow // the leader stops and wants its receiver elected
	messageDiskless // answers an announcement: the sender has no disk and never votes
	messageDiskLost // answers a candidate: the sender's disk is empty, that of its seat is lost
	messageProof    // Commit was the newest; see proof.go
)

// isReply reports whether k answers another message.
func (k messageKind) isReply() bool {
	switch k {
	case messagePreVoteReply, messageVoteReply, messageAppendReply, messageSnapshotReply:
		return true
	}
	return false
}

// message is what voters send each other.
type message struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	To       string `msgpack:"-"` // receiver's name, for the shell
	Kind     messageKind
	From     string
	FromDisk diskID
	ToDisk   diskID // a receiver with another disk drops the message
	Term     uint64
	Index    uint64 // entry before Entries; last entry of a candidate; last matching entry of a reply; age of a proof in ms
	LogTerm  uint64 // term of the entry at Index
	Entries  []entry
	Commit   uint64
	Round    uint64 // counts the leader's broadcasts; echoed by replies, and of a proof the last that its receiver had answered
	OK       bool   // vote granted, entries appended
	Chunk    *snapshotChunk
	Announce *announcement
}

// snapshotChunk is a part of an encoded snapshot.
type snapshotChunk struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	Offset int // of Data; in a reply, bytes that the follower holds
	Total  int
	Data   []byte
}
