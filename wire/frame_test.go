package wire

import (
	"bufio"
	"bytes"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// The decoder survives any bytes, and what it accepts it can write again.
func FuzzReadFrame(f *testing.F) {
	body, _ := msgpack.Marshal("hi")
	good, err := encodeFrame(envelope{Kind: "echo", Call: 7, Body: body})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte{0, 0, 0, 1, 0xc0})
	f.Add([]byte{0, 0, 0, 9, 0x95})
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := readFrame(bufio.NewReader(bytes.NewReader(data)), 1<<16)
		if err != nil {
			return
		}
		again, err := encodeFrame(e)
		if err != nil {
			t.Fatalf("accepted frame cannot be written: %v", err)
		}
		got, err := readFrame(bufio.NewReader(bytes.NewReader(again)), 1<<17)
		if err != nil {
			t.Fatalf("written frame cannot be read: %v", err)
		}
		if got.Kind != e.Kind || got.Call != e.Call || !bytes.Equal(got.Body, e.Body) {
			t.Errorf("got frame %+v, want %+v", got, e)
		}
	})
}
