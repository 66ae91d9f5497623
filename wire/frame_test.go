package wire

import (
	"bufio"
	"bytes"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"github.com/bamboostep/bamboostep/internal/seed"
	"github.com/bamboostep/bamboostep/timeline"

	"github.com/bamboostep/bamboostep/memory"
)

func init() { seed.Rapid() }

// The decoder survives any bytes, and what it accepts it can write again.
func FuzzReadFrame(f *testing.F) {
	good, err := encodeFrame(envelope{Kind: "echo", Call: 7}, "hi")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte{0, 0, 0, 1, 0xc0})
	f.Add([]byte{0, 0, 0, 9, 0x95})
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := readFrame(bufio.NewReader(bytes.NewReader(data)), 1<<16, &memory.Holder{})
		if err != nil {
			return
		}
		again, err := encodeFrame(e, e.Body)
		if err != nil {
			t.Fatalf("accepted frame cannot be written: %v", err)
		}
		got, err := readFrame(bufio.NewReader(bytes.NewReader(again)), 1<<17, &memory.Holder{})
		if err != nil {
			t.Fatalf("written frame cannot be read: %v", err)
		}
		if got.Kind != e.Kind || got.Call != e.Call || !bytes.Equal(got.Body, e.Body) {
			t.Errorf("got frame %+v, want %+v", got, e)
		}
	})
}

// taggedEnvelope is an envelope as the codec itself would write and read it.
type taggedEnvelope struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	Kind  string
	Call  uint64
	Reply bool
	Stamp timeline.Stamp
	Body  msgpack.RawMessage
}

// A frame written field by field is byte by byte what the codec would write.
func TestFrameIsWhatTheCodecWrites(t *testing.T) {
	type note struct {
		Text string `msgpack:"text"`
	}
	rapid.Check(t, func(t *rapid.T) {
		e := envelope{
			Kind:  rapid.StringMatching("[a-z.]{1,40}").Draw(t, "kind"),
			Call:  rapid.Uint64().Draw(t, "call"),
			Reply: rapid.Bool().Draw(t, "reply"),
			Stamp: timeline.Stamp(rapid.Uint64().Draw(t, "stamp")),
		}
		bodies := []any{nil, uint64(7), &note{rapid.String().Draw(t, "text")}}
		v := rapid.SampledFrom(bodies).Draw(t, "body")
		body, err := msgpack.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		want, err := msgpack.Marshal(&taggedEnvelope{Kind: e.Kind, Call: e.Call, Reply: e.Reply, Stamp: e.Stamp, Body: body})
		if err != nil {
			t.Fatal(err)
		}
		frame, err := encodeFrame(e, v)
		if err != nil {
			t.Fatal(err)
		}
		if got := frame[lengthBytes:]; !bytes.Equal(got, want) {
			t.Fatalf("frame = %x, want %x", got, want)
		}
		got, err := readFrame(bufio.NewReader(bytes.NewReader(frame)), MaxFrameBytes, &memory.Holder{})
		e.Body = body
		if err != nil || got.Kind != e.Kind || got.Call != e.Call || got.Reply != e.Reply || got.Stamp != e.Stamp || !bytes.Equal(got.Body, body) {
			t.Fatalf("read %+v, %v, want %+v", got, err, e)
		}
	})
}

// BenchmarkFrame is writing and reading one message.
func BenchmarkFrame(b *testing.B) {
	v := &Hello{Name: "entry-a", Role: "entry", Incarnation: 1}
	b.ReportAllocs()
	for b.Loop() {
		frame, err := encodeFrame(envelope{Kind: "backend.offer", Stamp: 1}, v)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := decodeFrame(frame[lengthBytes:]); err != nil {
			b.Fatal(err)
		}
	}
}
