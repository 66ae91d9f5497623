package memory

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// TestBufferHoldsWhatItRead checks a buffer against bodies around the sizes of its chunks, whole and byte by byte.
func TestBufferHoldsWhatItRead(t *testing.T) {
	for name, size := range map[string]int{"empty": 0, "one byte": 1, "below a chunk": chunkBytes - 1, "a chunk": chunkBytes, "above a chunk": chunkBytes + 1, "three chunks": 3 * chunkBytes} {
		t.Run(name, func(t *testing.T) {
			want := strings.Repeat("0123456", size/7+1)[:size]
			for _, r := range []io.Reader{strings.NewReader(want), iotest.OneByteReader(strings.NewReader(want)), iotest.DataErrReader(strings.NewReader(want))} {
				var b Buffer
				var err error
				for err == nil {
					err = b.ReadOnce(r)
				}
				if err != io.EOF || !bytes.Equal(b.Bytes(), []byte(want)) {
					t.Errorf("got %d bytes and error %v, want %d as they were read", b.Size(), err, size)
				}
				b.Free()
			}
		})
	}
}
