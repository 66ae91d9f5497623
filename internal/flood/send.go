package flood

import (
	"bufio"
	"fmt"
	"io"
	"strings"
)

const (
	pieceBytes = 64 << 10 // of one write
	chunkBytes = 64       // of a small chunk
)

// SendBytes sends bytes in pieces until one is not taken.
func SendBytes(w io.Writer, bytes int) {
	piece := make([]byte, pieceBytes)
	for bytes > 0 {
		n, err := w.Write(piece[:min(bytes, len(piece))])
		if err != nil {
			return
		}
		bytes -= n
	}
}

// SendChunks sends a body of so many bytes in small chunks.
func SendChunks(w io.Writer, bytes int) {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, strings.Repeat("x", chunkBytes))
	buffered := bufio.NewWriterSize(w, pieceBytes)
	for sent := 0; sent < bytes; sent += chunkBytes {
		if _, err := buffered.WriteString(chunk); err != nil {
			return
		}
	}
	buffered.Flush()
}
