package origin

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/internal/bodyend"
	"github.com/bamboostep/bamboostep/platform"
)

// earlyConn is a connection to a server that responds before it has read the request's body. The write of the body takes the
// connection's error, if it has one, and the reader then sees an orderly end.
type earlyConn struct {
	net.Conn
	response io.Reader
	writeErr error         // of the write of the body; nil for none
	hang     bool          // that write ends with the connection only
	began    chan struct{} // closed once the body is written
	closed   chan struct{}

	mu     sync.Mutex
	writes int
	once   sync.Once
}

func (c *earlyConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.writes++
	first := c.writes == 1
	c.mu.Unlock()
	if first {
		return len(p), nil
	}
	defer close(c.began)
	if c.hang {
		<-c.closed
		return 0, net.ErrClosed
	}
	if c.writeErr != nil {
		return len(p) / 2, c.writeErr
	}
	return len(p), nil
}

func (c *earlyConn) Read(p []byte) (int, error) {
	if !c.hang {
		<-c.began
	}
	return c.response.Read(p)
}

func (c *earlyConn) SetDeadline(time.Time) error { return nil }

func (c *earlyConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// Guards against a part of a response that is taken for a whole one: a server responds to a long upload early, with neither length
// nor chunks, and resets, and the writer of the upload takes the error. Responses that show their end are whole all the same.
func TestEndWhileRequestIsSent(t *testing.T) {
	const (
		head   = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nX-Response-Signature: s\r\n"
		length = head + "Content-Length: 5\r\n\r\nwhole"
		chunks = head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"
		none   = head + "\r\nwhole"
	)
	for name, c := range map[string]struct {
		response string
		writeErr error
		hang     bool
		whole    bool // it may be: its end does not say that the upload failed
	}{
		"no length, reset":            {none, syscall.ECONNRESET, false, false},
		"no length, closed":           {none, syscall.EPIPE, false, false},
		"no length, upload goes on":   {none, nil, true, false},
		"no length, upload written":   {none, nil, false, true},
		"length, reset":               {length, syscall.ECONNRESET, false, true},
		"length, upload goes on":      {length, nil, true, true},
		"chunks, reset":               {chunks, syscall.ECONNRESET, false, true},
		"chunks, upload goes on":      {chunks, nil, true, true},
		"inside a length, reset":      {strings.TrimSuffix(length, "e"), syscall.ECONNRESET, false, false},
		"before the last chunk,reset": {strings.TrimSuffix(chunks, "0\r\n\r\n"), syscall.ECONNRESET, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			nc := &earlyConn{response: strings.NewReader(c.response), writeErr: c.writeErr, hang: c.hang, began: make(chan struct{}), closed: make(chan struct{})}
			limit := &headLimitReader{r: nc, remaining: maxHeadBytes}
			kept := &conn{netConn: nc, r: bufio.NewReader(limit), headLimit: limit, address: "s", idleDeadline: time.Now().Add(time.Minute)}
			p := &Pool{Dialect: platform.HTTPDialect{}, idle: map[string][]*conn{"s": {kept}}}
			call := newCall("a")
			call.Body = make([]byte, 2*inlineBodyLimit)
			resp, err := p.Do(context.Background(), "s", call, bamboostep.ForwardOptions{TimeLeft: time.Second})
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(resp)
			resp.Close()
			var unframed *UnframedEndError
			whole := err == nil || errors.As(err, &unframed) && unframed.Upload == nil
			if whole != c.whole || c.whole && string(body) != "whole" {
				t.Errorf("response: got %q, %v, want whole %v", body, err, c.whole)
			}
		})
	}
}

// Guards against an answer that is none: a server in trouble sends a status that no response has.
func TestStatusOutsideItsRangeIsNoResponse(t *testing.T) {
	for status, ok := range map[string]bool{"000": false, "099": false, "600": false, "999": false, "200": true, "599": true} {
		t.Run(status, func(t *testing.T) {
			address, _ := startBackend(t, func(_, _ int) (string, bool) {
				return strings.Replace(responseFor("a", "ok"), "200 OK", status+" Status", 1), false
			})
			body, err := sendAndRead(t, &Pool{Dialect: platform.HTTPDialect{}}, address, "a")
			var bad *bodyend.StatusError
			if ok != (err == nil) || !ok && !errors.As(err, &bad) {
				t.Errorf("response with status %s: got %q, %v, want a response %v", status, body, err, ok)
			}
		})
	}
}
