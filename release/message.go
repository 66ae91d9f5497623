package release

import (
	"encoding/binary"
	"time"
)

const (
	kindNote = "release.note" // entry to voter: a note; no reply
	kindFind = "release.find" // entry to voter: a findRequest, answered by a findReply
)

// note names the origins of streams.
type note struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	Groups []group
}

// group holds the streams of one origin that are kept equally long.
type group struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	Service string
	Version string // of the software
	Steps   uint8  // keepSteps
	Streams []byte // streamIDs, each idBytes, big endian
}

const idBytes = 8

// findRequest asks for the origin of a stream.
type findRequest struct {
	Stream uint64 `msgpack:"stream"`
}

// findReply answers a findRequest.
type findReply struct {
	Known   bool   `msgpack:"known"`
	Service string `msgpack:"service,omitempty"`
	Version string `msgpack:"software,omitempty"`
}

// groupKey identifies a group of a note.
type groupKey struct {
	origin Origin
	steps  int
}

// noteBuilder collects the streams of a note.
type noteBuilder map[groupKey][]byte

func (b noteBuilder) add(id streamID, o Origin, steps int) {
	k := groupKey{o, steps}
	b[k] = binary.BigEndian.AppendUint64(b[k], uint64(id))
}

func (b noteBuilder) note() note {
	var n note
	for k, streams := range b {
		n.Groups = append(n.Groups, group{Service: k.origin.Service, Version: k.origin.Version, Steps: uint8(k.steps), Streams: streams})
	}
	return n
}

// putInto puts the streams of a note into a table, and returns how many it did not take.
func (n note) putInto(t *table, now time.Time) (dropped int) {
	for _, g := range n.Groups {
		o := Origin{g.Service, g.Version}
		steps := min(max(int(g.Steps), 1), int(maxKeep/keepStep))
		for s := g.Streams; len(s) >= idBytes && o.known(); s = s[idBytes:] {
			if !t.put(streamID(binary.BigEndian.Uint64(s)), o, steps, now) {
				dropped++
			}
		}
	}
	return dropped
}
