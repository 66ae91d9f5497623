package gateway

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// TestChunkedBufferHoldsWhatItRead checks a buffer against bodies around the sizes of its chunks, whole and byte by byte.
func TestChunkedBufferHoldsWhatItRead(t *testing.T) {
	for name, size := range map[string]int{"empty": 0, "one byte": 1, "below a chunk": chunkBytes - 1, "a chunk": chunkBytes, "above a chunk": chunkBytes + 1, "three chunks": 3 * chunkBytes} {
		t.Run(name, func(t *testing.T) {
			want := strings.Repeat("0123456", size/7+1)[:size]
			for _, r := range []io.Reader{strings.NewReader(want), iotest.OneByteReader(strings.NewReader(want)), iotest.DataErrReader(strings.NewReader(want))} {
				var b chunkedBuffer
				var err error
				for err == nil {
					err = b.readFrom(r)
				}
				if err != io.EOF || !bytes.Equal(b.bytes(), []byte(want)) {
					t.Errorf("got %d bytes and error %v, want %d as they were read", b.size, err, size)
				}
				b.free()
			}
		})
	}
}
