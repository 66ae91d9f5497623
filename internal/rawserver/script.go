package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// Exchange is one request to a server with a script.
type Exchange struct {
	Conn    int           // number of the connection, from 1
	Number  int           // number of the request on its connection, from 1
	Request *http.Request // its body has been read

	Send func(part string) // sends a part of the response before the script returns the rest
}

// StartScript starts a server that keeps its connections. respond returns what the server sends for a request, byte for
// byte, and whether it closes the connection after it. It is called concurrently for different connections. conns
// counts the connections.
func StartScript(t testing.TB, respond func(e Exchange) (response string, end bool)) (address string, conns *atomic.Int32) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	conns = new(atomic.Int32)
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go serveScript(nc, int(conns.Add(1)), respond)
		}
	}()
	return l.Addr().String(), conns
}

func serveScript(nc net.Conn, conn int, respond func(e Exchange) (string, bool)) {
	defer nc.Close()
	r := bufio.NewReader(nc)
	for n := 1; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		send := func(part string) { _, _ = io.WriteString(nc, part) }
		response, end := respond(Exchange{conn, n, req, send})
		send(response)
		if end {
			return
		}
	}
}
