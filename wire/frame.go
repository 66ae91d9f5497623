package wire

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/bamboostep/bamboostep/timeline"
)

// MaxFrameBytes bounds one frame, envelope included.
const MaxFrameBytes = 8 << 20

const lengthBytes = 4

// envelope is what travels in one frame.
type envelope struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	Kind  string
	Call  uint64 // nonzero on a call and on its reply
	Reply bool
	Stamp timeline.Stamp
	Body  msgpack.RawMessage
}

// FrameError says that a frame was malformed or over its bound. The connection
// that carried it is closed.
type FrameError struct {
	Bytes int // announced length
	Issue string
}

// Error implements error.
func (e *FrameError) Error() string {
	return fmt.Sprintf("frame of %d bytes: %s", e.Bytes, e.Issue)
}

// readFrame reads one frame of at most limit bytes. Memory for the body is only
// taken as the bytes arrive, so a peer that announces much and sends little
// costs little.
func readFrame(r *bufio.Reader, limit int) (envelope, error) {
	var head [lengthBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return envelope{}, err
	}
	n := int(binary.BigEndian.Uint32(head[:]))
	if n == 0 || n > limit {
		return envelope{}, &FrameError{n, fmt.Sprintf("length is not between 1 and %d", limit)}
	}
	body, err := io.ReadAll(io.LimitReader(r, int64(n)))
	if err != nil {
		return envelope{}, err
	}
	if len(body) < n {
		return envelope{}, io.ErrUnexpectedEOF
	}
	return decodeFrame(body)
}

func decodeFrame(body []byte) (envelope, error) {
	var e envelope
	if err := CheckEncoding(body); err != nil {
		return envelope{}, &FrameError{len(body), err.Error()}
	}
	if err := msgpack.Unmarshal(body, &e); err != nil {
		return envelope{}, &FrameError{len(body), err.Error()}
	}
	if e.Kind == "" {
		return envelope{}, &FrameError{len(body), "kind is empty"}
	}
	return e, nil
}

// encodeFrame returns the frame of e, its length in front.
func encodeFrame(e envelope) ([]byte, error) {
	body, err := msgpack.Marshal(&e)
	if err != nil {
		return nil, fmt.Errorf("frame %q: %w", e.Kind, err)
	}
	if len(body) > MaxFrameBytes {
		return nil, &FrameError{len(body), fmt.Sprintf("length is not between 1 and %d", MaxFrameBytes)}
	}
	frame := make([]byte, lengthBytes, lengthBytes+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	return append(frame, body...), nil
}
