// Package rawserver provides a server for tests whose responses are given byte for byte, such as
// ones that http.Server does not send.
package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// Server sends the same bytes to each request, and then closes the connection in order. Set the
// fields before Start.
type Server struct {
	Listen   string              // address to listen on
	Response string              // sent as it is
	Crashes  bool                // it stops listening before it closes the connection
	Early    bool                // it answers before it has read the body, ends its side of the connection in order and reads nothing more
	Received func(*http.Request) // called for each request, concurrently; may be nil
}

// Start serves until the test ends, and returns the address that it listens on.
func (s Server) Start(t testing.TB) string {
	t.Helper()
	l, err := net.Listen("tcp", s.Listen)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { nc.Close() })
			go s.serve(l, nc)
		}
	}()
	return l.Addr().String()
}

// serve answers one request. A connection without one was only opened to see whether the server
// listens.
func (s Server) serve(l net.Listener, nc net.Conn) {
	r, err := http.ReadRequest(bufio.NewReader(nc))
	if err == nil && s.Early {
		_, _ = io.WriteString(nc, s.Response)
		_ = nc.(*net.TCPConn).CloseWrite()
		return // the end of the test closes it
	}
	defer nc.Close()
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if s.Received != nil {
		s.Received(r)
	}
	_, _ = io.WriteString(nc, s.Response)
	if s.Crashes {
		l.Close()
	}
}
