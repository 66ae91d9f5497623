package flood

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	pieceBytes = 64 << 10 // of one write
	chunkBytes = 64       // of a small chunk

	requestsPatience = 2 * time.Minute // of a client who sends many requests
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

// SendRequests sends a request so many times over a connection, and reads the answer to each.
func SendRequests(nc net.Conn, times int, request string) {
	_ = nc.SetDeadline(time.Now().Add(requestsPatience))
	answers := bufio.NewReader(nc)
	for range times {
		if _, err := io.WriteString(nc, request); err != nil {
			return
		}
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			return
		}
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if err != nil {
			return
		}
	}
}

// Fields returns fields of a head, each as short as can be, of so many bytes together.
func Fields(bytes int) string {
	var fields strings.Builder
	for n := 0; fields.Len() < bytes; n++ {
		fmt.Fprintf(&fields, "%x:\r\n", n)
	}
	return fields.String()
}
