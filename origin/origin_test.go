package origin

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/internal/rawserver"
	"github.com/bamboostep/bamboostep/platform"
)

// startBackend starts a backend server whose responses come from script, by the numbers
// of the connection and of the request on it, counted from 1. If end is set, the
// connection is closed after the response. conns counts the connections.
func startBackend(t *testing.T, script func(conn, request int) (answer string, end bool)) (address string, conns *atomic.Int32) {
	t.Helper()
	return rawserver.StartScript(t, func(e rawserver.Exchange) (string, bool) { return script(e.Conn, e.Number) })
}

func responseFor(id, body string) string {
	return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Signature: s\r\nKeep-Alive: timeout=5\r\nContent-Length: " +
		string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func newCall(id string) bamboostep.Call {
	return bamboostep.Call{ID: id, Host: "h", Method: "POST", Target: "/p/x", Header: http.Header{"X-Attempt-Id": {id}}}
}

func sendAndRead(t *testing.T, p *Pool, address, id string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	a, err := p.Do(ctx, address, newCall(id), bamboostep.ForwardOptions{TimeLeft: time.Second})
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := io.ReadAll(a)
	return string(body), err
}

func TestConnectionReuse(t *testing.T) {
	address, conns := startBackend(t, func(_, n int) (string, bool) { return responseFor([]string{"", "a", "b"}[n], "ok"), false })
	p := &Pool{Dialect: platform.HTTPDialect{}}
	for _, id := range []string{"a", "b"} {
		if body, err := sendAndRead(t, p, address, id); err != nil || body != "ok" {
			t.Fatalf("response %s: got %q, %v", id, body, err)
		}
	}
	if got := conns.Load(); got != 1 {
		t.Errorf("connections: got %d, want 1", got)
	}
}

// Guards against idle connections that take the descriptors of a process.
func TestIdleConnectionsAreBounded(t *testing.T) {
	p := &Pool{Dialect: platform.HTTPDialect{}, MaxIdle: 1}
	script := func(_, n int) (string, bool) { return responseFor([]string{"", "a", "b"}[n], "ok"), false }
	kept, keptConns := startBackend(t, script)
	closed, closedConns := startBackend(t, func(int, int) (string, bool) { return responseFor("a", "ok"), false })
	for _, address := range []string{kept, closed, closed} {
		if _, err := sendAndRead(t, p, address, "a"); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := sendAndRead(t, p, kept, "b"); err != nil {
		t.Fatal(err)
	}
	if kept, closed := keptConns.Load(), closedConns.Load(); kept != 1 || closed != 2 {
		t.Errorf("connections: got %d and %d, want the first kept and each of the second's closed", kept, closed)
	}
	p.CloseIdle(kept)
	if p.allIdle != 0 {
		t.Errorf("idle connections counted after all were closed: got %d, want 0", p.allIdle)
	}
}

// TestLateExtraResponse has a backend server respond to one request twice, the second
// time where the response to the next request is expected.
func TestLateExtraResponse(t *testing.T) {
	address, _ := startBackend(t, func(_, n int) (string, bool) {
		if n == 1 {
			return responseFor("a", "one"), false
		}
		return responseFor("a", "one") + responseFor("b", "two"), false
	})
	p := &Pool{Dialect: platform.HTTPDialect{}}
	if body, err := sendAndRead(t, p, address, "a"); err != nil || body != "one" {
		t.Fatalf("response a: got %q, %v, want one", body, err)
	}
	if body, err := sendAndRead(t, p, address, "b"); err != nil || body != "two" {
		t.Errorf("response b: got %q, %v, want two", body, err)
	}
}

// TestExtraResponseOnIdleConnection has the extra response arrive before the next
// request is sent. The connection must not be reused.
func TestExtraResponseOnIdleConnection(t *testing.T) {
	address, conns := startBackend(t, func(conn, n int) (string, bool) {
		if conn == 1 {
			return responseFor("a", "one") + responseFor("a", "one"), false
		}
		return responseFor("b", "two"), false
	})
	p := &Pool{Dialect: platform.HTTPDialect{}}
	if _, err := sendAndRead(t, p, address, "a"); err != nil {
		t.Fatal(err)
	}
	if body, err := sendAndRead(t, p, address, "b"); err != nil || body != "two" {
		t.Errorf("response b: got %q, %v, want two", body, err)
	}
	if got := conns.Load(); got != 2 {
		t.Errorf("connections: got %d, want 2", got)
	}
}

// TestInvalidResponses checks that a response that is incomplete or belongs to another
// request is not accepted.
func TestInvalidResponses(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nX-Response-Signature: s\r\n"
	for name, answer := range map[string]string{
		"closed":                  "",
		"not HTTP":                "\x00\x01\x02 this is not HTTP\r\n\r\n",
		"truncated body":          head + "Content-Length: 9\r\n\r\nshort",
		"truncated chunks":        head + "Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
		"no attempt ID":           "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"other request, then end": responseFor("z", "no"),
		"other request, unframed": "HTTP/1.1 200 OK\r\nX-Attempt-Id: z\r\n\r\nno",
		"head too large":          "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-A: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n", 3000),
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := startBackend(t, func(int, int) (string, bool) { return answer, true })
			body, err := sendAndRead(t, &Pool{Dialect: platform.HTTPDialect{}}, address, "a")
			if err == nil {
				t.Errorf("response: got %q, want an error", body)
			}
			var failed *SendError
			if errors.As(err, &failed) && !failed.Sent {
				t.Errorf("sent: got false, want true")
			}
		})
	}
}

// TestUnframedResponseEndsWithConnection has a response without a length and chunks. Its end must
// not be reported as that of a complete body (issue 31).
func TestUnframedResponseEndsWithConnection(t *testing.T) {
	address, conns := startBackend(t, func(int, int) (string, bool) {
		return "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nX-Response-Signature: s\r\n\r\nall of it", true
	})
	p := &Pool{Dialect: platform.HTTPDialect{}}
	for range 2 {
		body, err := sendAndRead(t, p, address, "a")
		var unframed *UnframedEndError
		if !errors.As(err, &unframed) || unframed.Address != address || body != "all of it" {
			t.Errorf("response: got %q, %v, want all of it and an *UnframedEndError", body, err)
		}
	}
	if got := conns.Load(); got != 2 {
		t.Errorf("connections: got %d, want 2: an unframed response ends its connection", got)
	}
}

func TestUnreachableServerIsReportedAsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	_, err = sendAndRead(t, &Pool{Dialect: platform.HTTPDialect{}}, address, "a")
	var failed *SendError
	if !errors.As(err, &failed) || failed.Sent {
		t.Errorf("error: got %v, want a *SendError that was not sent", err)
	}
}

// TestAbandonedRequestIsReset guards against a late run of an abandoned request: the
// backend server does not read until the request is cancelled. The connection must end
// with a reset, so that unread data is lost.
func TestAbandonedRequestIsReset(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if _, err := (&Pool{Dialect: platform.HTTPDialect{}}).Do(ctx, l.Addr().String(), newCall("a"), bamboostep.ForwardOptions{}); err == nil {
		t.Fatal("error: got none")
	}
	nc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	if err := nc.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, nc); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("end of the connection: got %v, want a reset", err)
	}
}

// TestCancelClosesConnection checks that cancelling a request closes its connection, so
// that the backend server stops running it.
func TestCancelClosesConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	closed := make(chan error, 1)
	go func() {
		nc, err := l.Accept()
		if err != nil {
			closed <- err
			return
		}
		defer nc.Close()
		r := bufio.NewReader(nc)
		if _, err := http.ReadRequest(r); err != nil {
			closed <- err
			return
		}
		_, err = r.ReadByte()
		closed <- err
	}()
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	if _, err := (&Pool{Dialect: platform.HTTPDialect{}}).Do(ctx, l.Addr().String(), newCall("a"), bamboostep.ForwardOptions{}); !errors.Is(err, context.Canceled) {
		t.Errorf("error: got %v, want canceled", err)
	}
	select {
	case err := <-closed:
		if err == nil {
			t.Error("connection: got bytes, want its end")
		}
	case <-time.After(5 * time.Second):
		t.Error("connection is still open")
	}
}
