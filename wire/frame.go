package wire

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/binary"
	"fmt"
	"io"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/bamboostep/bamboostep/memory"
	"github.com/bamboostep/bamboostep/timeline"
)

// MaxFrameBytes bounds one frame, envelope included.
const MaxFrameBytes = 8 << 20

const (
	lengthBytes    = 4
	envelopeFields = 5
)

// envelope is what travels in one frame, as an array of its fields. It is written
// and read field by field, since every message passes here and the codec's way by
// reflection copies the body once more at each end.
type envelope struct {
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
// costs little. A large one counts against held.
func readFrame(r *bufio.Reader, limit int, held *memory.Holder) (envelope, error) {
	var head [lengthBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return envelope{}, err
	}
	n := int(binary.BigEndian.Uint32(head[:]))
	if n == 0 || n > limit {
		return envelope{}, &FrameError{n, fmt.Sprintf("length is not between 1 and %d", limit)}
	}
	body, err := readBody(r, n, held)
	if err != nil {
		return envelope{}, err
	}
	return decodeFrame(body)
}

func readBody(r *bufio.Reader, n int, held *memory.Holder) ([]byte, error) {
	if n <= r.Size() {
		body := make([]byte, n)
		_, err := io.ReadFull(r, body)
		return body, err
	}
	body, err := memory.ReadAll(io.LimitReader(r, int64(n)), held, 0, time.Now, nil)
	if err == nil && len(body) < n {
		err = io.ErrUnexpectedEOF
	}
	return body, err
}

func decodeFrame(body []byte) (envelope, error) {
	if err := CheckEncoding(body); err != nil {
		return envelope{}, &FrameError{len(body), err.Error()}
	}
	e, err := decodeEnvelope(body)
	if err != nil {
		return envelope{}, &FrameError{len(body), err.Error()}
	}
	if e.Kind == "" {
		return envelope{}, &FrameError{len(body), "kind is empty"}
	}
	return e, nil
}

// decodeEnvelope reads an envelope from one whole msgpack value. The body is a
// part of data.
func decodeEnvelope(data []byte) (envelope, error) {
	var e envelope
	r := bytes.NewReader(data)
	dec := msgpack.GetDecoder()
	defer msgpack.PutDecoder(dec)
	dec.Reset(r)
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return e, err
	}
	if n != envelopeFields {
		return e, fmt.Errorf("envelope has %d fields, want %d", n, envelopeFields)
	}
	if e.Kind, err = dec.DecodeString(); err != nil {
		return e, err
	}
	if e.Call, err = dec.DecodeUint64(); err != nil {
		return e, err
	}
	if e.Reply, err = dec.DecodeBool(); err != nil {
		return e, err
	}
	stamp, err := dec.DecodeUint64()
	e.Stamp = timeline.Stamp(stamp)
	e.Body = data[len(data)-r.Len():]
	return e, err
}

// encodeFrame returns the frame of e with the body v, its length in front.
func encodeFrame(e envelope, v any) ([]byte, error) {
	var frame bytes.Buffer
	frame.Write(make([]byte, lengthBytes))
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(&frame)
	if err := e.encode(enc, v); err != nil {
		return nil, fmt.Errorf("message %q: %w", e.Kind, err)
	}
	n := frame.Len() - lengthBytes
	if n > MaxFrameBytes {
		return nil, &FrameError{n, fmt.Sprintf("length is not between 1 and %d", MaxFrameBytes)}
	}
	binary.BigEndian.PutUint32(frame.Bytes(), uint32(n))
	return frame.Bytes(), nil
}

func (e *envelope) encode(enc *msgpack.Encoder, v any) error {
	return cmp.Or(
		enc.EncodeArrayLen(envelopeFields),
		enc.EncodeString(e.Kind),
		enc.EncodeUint64(e.Call),
		enc.EncodeBool(e.Reply),
		enc.EncodeUint64(uint64(e.Stamp)),
		enc.Encode(v),
	)
}
