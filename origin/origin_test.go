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
	"github.com/bamboostep/bamboostep/platform"
)

// backend answers each request on each connection with the next text of a script.
func backend(t *testing.T, script func(conn, request int) (answer string, end bool)) (address string, conns *atomic.Int32) {
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
			go serveScript(nc, int(conns.Add(1)), script)
		}
	}()
	return l.Addr().String(), conns
}

func serveScript(nc net.Conn, conn int, script func(conn, request int) (string, bool)) {
	defer nc.Close()
	r := bufio.NewReader(nc)
	for n := 1; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		answer, end := script(conn, n)
		io.WriteString(nc, answer)
		if end {
			return
		}
	}
}

func answerTo(id, body string) string {
	return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Signature: s\r\nKeep-Alive: timeout=5\r\nContent-Length: " +
		string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func call(id string) bamboostep.Call {
	return bamboostep.Call{ID: id, Host: "h", Method: "POST", Target: "/p/x", Header: http.Header{"X-Attempt-Id": {id}}}
}

func read(t *testing.T, p *Pool, address, id string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	a, err := p.Do(ctx, address, call(id), bamboostep.Passing{Within: time.Second})
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := io.ReadAll(a)
	return string(body), err
}

func TestConnectionIsUsedAgain(t *testing.T) {
	address, conns := backend(t, func(_, n int) (string, bool) { return answerTo([]string{"", "a", "b"}[n], "ok"), false })
	p := &Pool{Dialect: platform.HTTP{}}
	for _, id := range []string{"a", "b"} {
		if body, err := read(t, p, address, id); err != nil || body != "ok" {
			t.Fatalf("answer %s: got %q, %v", id, body, err)
		}
	}
	if got := conns.Load(); got != 1 {
		t.Errorf("connections: got %d, want 1", got)
	}
}

// TestLateExtraAnswer is a backend server that answers a request twice, the second
// time where the next answer is due.
func TestLateExtraAnswer(t *testing.T) {
	address, _ := backend(t, func(_, n int) (string, bool) {
		if n == 1 {
			return answerTo("a", "one"), false
		}
		return answerTo("a", "one") + answerTo("b", "two"), false
	})
	p := &Pool{Dialect: platform.HTTP{}}
	if body, err := read(t, p, address, "a"); err != nil || body != "one" {
		t.Fatalf("answer a: got %q, %v, want one", body, err)
	}
	if body, err := read(t, p, address, "b"); err != nil || body != "two" {
		t.Errorf("answer b: got %q, %v, want two", body, err)
	}
}

// TestExtraAnswerOnIdleConnection is the same, but the extra answer is there before
// the next request: that connection is not used again.
func TestExtraAnswerOnIdleConnection(t *testing.T) {
	address, conns := backend(t, func(conn, n int) (string, bool) {
		if conn == 1 {
			return answerTo("a", "one") + answerTo("a", "one"), false
		}
		return answerTo("b", "two"), false
	})
	p := &Pool{Dialect: platform.HTTP{}}
	if _, err := read(t, p, address, "a"); err != nil {
		t.Fatal(err)
	}
	if body, err := read(t, p, address, "b"); err != nil || body != "two" {
		t.Errorf("answer b: got %q, %v, want two", body, err)
	}
	if got := conns.Load(); got != 2 {
		t.Errorf("connections: got %d, want 2", got)
	}
}

// TestSpoiltAnswers are answers that must not be taken for whole ones of the request.
func TestSpoiltAnswers(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nX-Response-Signature: s\r\n"
	for name, answer := range map[string]string{
		"closed":                     "",
		"no answer":                  "\x00\x01\x02 these are no answer\r\n\r\n",
		"body cut short":             head + "Content-Length: 9\r\n\r\nshort",
		"chunks cut short":           head + "Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
		"names no request":           "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"another's, and no more":     answerTo("z", "no"),
		"another's without an end":   "HTTP/1.1 200 OK\r\nX-Attempt-Id: z\r\n\r\nno",
		"head without end, too long": "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-A: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n", 3000),
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := backend(t, func(int, int) (string, bool) { return answer, true })
			body, err := read(t, &Pool{Dialect: platform.HTTP{}}, address, "a")
			if err == nil {
				t.Errorf("answer: got %q, want an error", body)
			}
			var failed *SendError
			if errors.As(err, &failed) && !failed.Sent {
				t.Errorf("sent: got false, want true")
			}
		})
	}
}

func TestUnframedAnswerIsWholeAtItsEnd(t *testing.T) {
	address, conns := backend(t, func(int, int) (string, bool) {
		return "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nX-Response-Signature: s\r\n\r\nall of it", true
	})
	p := &Pool{Dialect: platform.HTTP{}}
	for range 2 {
		if body, err := read(t, p, address, "a"); err != nil || body != "all of it" {
			t.Errorf("answer: got %q, %v", body, err)
		}
	}
	if got := conns.Load(); got != 2 {
		t.Errorf("connections: got %d, want 2: an unframed answer ends its connection", got)
	}
}

func TestUnreachableIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	_, err = read(t, &Pool{Dialect: platform.HTTP{}}, address, "a")
	var failed *SendError
	if !errors.As(err, &failed) || failed.Sent {
		t.Errorf("error: got %v, want a *SendError that was not sent", err)
	}
}

// TestRequestGivenUpIsReset is a backend server that stands still while a request and
// its caller's leave reach it: the connection ends by a reset, so that what is still
// under way is lost and not run later.
func TestRequestGivenUpIsReset(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if _, err := (&Pool{Dialect: platform.HTTP{}}).Do(ctx, l.Addr().String(), call("a"), bamboostep.Passing{}); err == nil {
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

// TestCallerLeaves closes the connection, so that the backend server stops.
func TestCallerLeaves(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	left := make(chan error, 1)
	go func() {
		nc, err := l.Accept()
		if err != nil {
			left <- err
			return
		}
		defer nc.Close()
		r := bufio.NewReader(nc)
		if _, err := http.ReadRequest(r); err != nil {
			left <- err
			return
		}
		_, err = r.ReadByte()
		left <- err
	}()
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	if _, err := (&Pool{Dialect: platform.HTTP{}}).Do(ctx, l.Addr().String(), call("a"), bamboostep.Passing{}); !errors.Is(err, context.Canceled) {
		t.Errorf("error: got %v, want canceled", err)
	}
	select {
	case err := <-left:
		if err == nil {
			t.Error("connection: got bytes, want its end")
		}
	case <-time.After(5 * time.Second):
		t.Error("connection is still open")
	}
}
