package main

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/internal/bodyend"
)

// earlyConn is a connection to an application that responds before it has read the request's body. The write of the body takes
// the connection's error, and the reader then sees an orderly end.
type earlyConn struct {
	net.Conn // nil
	response io.Reader
	writeErr error
	failed   chan struct{} // closed when the write has failed, or has ended
	closed   chan struct{}

	once, closeOnce sync.Once
	left            int // bytes that are still written
}

func (c *earlyConn) Write(p []byte) (int, error) {
	c.left -= len(p)
	if c.left > 0 {
		return len(p), nil
	}
	c.once.Do(func() { close(c.failed) })
	if c.writeErr == nil {
		return len(p), nil
	}
	time.Sleep(time.Millisecond) // the reader sees the end before the error is known
	return 0, c.writeErr
}

func (c *earlyConn) Read(p []byte) (int, error) {
	<-c.failed
	return c.response.Read(p)
}

func (c *earlyConn) Close() error                    { c.closeOnce.Do(func() { close(c.closed) }); return nil }
func (c *earlyConn) SetDeadline(time.Time) error     { return nil }
func (c *earlyConn) SetReadDeadline(time.Time) error { return nil }

// Guards against a part of an application's response that is taken for a whole one, since the writer of a long request took the
// connection's error, and against statuses that no response has.
func TestEndWhileRequestIsSent(t *testing.T) {
	const (
		body = 1 << 20
		head = "HTTP/1.1 200 OK\r\n"
	)
	for name, c := range map[string]struct {
		response string
		writeErr error
		whole    bool
	}{
		"no length, reset":          {head + "\r\npart", syscall.ECONNRESET, false},
		"events, reset":             {head + "Content-Type: text/event-stream\r\n\r\ndata: 1\n\n", syscall.ECONNRESET, false},
		"JSON object, reset":        {head + "Content-Type: application/json\r\n\r\n{}", syscall.ECONNRESET, true},
		"JSON number, reset":        {head + "Content-Type: application/json\r\n\r\n12", syscall.ECONNRESET, false},
		"no length, upload written": {head + "\r\nwhole", nil, true},
		"status 000":                {"HTTP/1.1 000 Trouble\r\nContent-Length: 2\r\n\r\nok", nil, false},
		"status 600":                {"HTTP/1.1 600 Trouble\r\nContent-Length: 2\r\n\r\nok", nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			nc := &earlyConn{response: strings.NewReader(c.response), writeErr: c.writeErr, failed: make(chan struct{}), closed: make(chan struct{}), left: body}
			a := newApplication("http://" + startRawServer(t, "", false)[len("http://"):])
			dialed := a.transport.DialContext
			a.transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
				real, err := dialed(ctx, network, address)
				if err != nil {
					return nil, err
				}
				u := real.(*uploadConn)
				u.Conn.Close()
				u.Conn = nc
				return u, nil
			}
			last := false
			request := bamboostep.Request{Method: http.MethodPost, Path: "/", Body: make([]byte, body)}
			err := a.Serve(context.Background(), bamboostep.Offer{Request: request}, func(p bamboostep.Answer) error {
				last = last || p.Last
				return nil
			})
			if whole := err == nil && last; whole != c.whole {
				t.Errorf("response: got whole %v (%v), want %v", whole, err, c.whole)
			}
			var failed *bamboostep.AttemptError
			if errors.As(err, &failed) && failed.Failure.Outcome == bamboostep.NotRun {
				t.Errorf("error %v says that the request has not run", err)
			}
		})
	}
}

// Guards against a refusal that is believed though its status is none.
func TestStatusOutsideItsRangeIsNoRefusal(t *testing.T) {
	e := newEngine(startRawServer(t, "HTTP/1.1 000 Trouble\r\nContent-Length: 25\r\n\r\n{\"code\":\"x\",\"message\":\"\"}", false), "vm")
	err := e.Generate(context.Background(), bamboostep.Offer{Request: bamboostep.Request{Body: []byte("{}")}}, func(bamboostep.Answer) error { return nil })
	var bad *bodyend.StatusError
	if !errors.As(err, &bad) {
		t.Errorf("error: got %v, want a *bodyend.StatusError", err)
	}
}
