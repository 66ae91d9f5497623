package wire

import (
	"bufio"
	"fmt"
	"net"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/bamboostep/bamboostep/memory"
	"github.com/bamboostep/bamboostep/timeline"
)

// A connection begins with one hello frame each way. A peer that speaks another
// version of the protocol is refused here, before it can be misunderstood.

const (
	protocolVersion = 2

	helloTimeout = 2 * time.Second
	helloLimit   = 64 << 10 // bytes

	kindHello = "hello"
)

// Hello introduces a process to its peer.
type Hello struct {
	Version     int    `msgpack:"version"`
	Name        string `msgpack:"name"`
	Role        string `msgpack:"role"` // "entry" or "agent"
	Incarnation uint64 `msgpack:"incarnation"`
}

func exchangeHello(nc net.Conn, r *bufio.Reader, own Hello, clock *timeline.Clock) (Hello, error) {
	if err := nc.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return Hello{}, err
	}
	frame, err := encodeFrame(envelope{Kind: kindHello, Stamp: clock.Now()}, own)
	if err != nil {
		return Hello{}, err
	}
	if _, err := nc.Write(frame); err != nil {
		return Hello{}, err
	}
	peer, err := readHello(r)
	if err != nil {
		return Hello{}, err
	}
	return peer, nc.SetDeadline(time.Time{})
}

func readHello(r *bufio.Reader) (Hello, error) {
	e, err := readFrame(r, helloLimit, &memory.Holder{})
	if err != nil {
		return Hello{}, err
	}
	var peer Hello
	if e.Kind != kindHello {
		return peer, &FrameError{len(e.Body), fmt.Sprintf("first frame is %q, not a hello", e.Kind)}
	}
	if err := msgpack.Unmarshal(e.Body, &peer); err != nil {
		return peer, &FrameError{len(e.Body), err.Error()}
	}
	if peer.Version != protocolVersion {
		return peer, &FrameError{len(e.Body), fmt.Sprintf("protocol version %d, want %d", peer.Version, protocolVersion)}
	}
	return peer, nil
}
