package origin

import (
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/internal/rawserver"
	"github.com/bamboostep/bamboostep/platform"
)

// refusal returns a response that says that a request has not run. It has no attempt ID if id is empty.
func refusal(status int, id string) string {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Not-Executed: 1\r\nContent-Length: 4\r\nKeep-Alive: timeout=5\r\n", status, http.StatusText(status))
	if id != "" {
		head += "X-Attempt-Id: " + id + "\r\n"
	}
	return head + "\r\nbusy"
}

// TestStrayRefusalOnKeptConnection guards against an earlier refusal that a backend server writes once more on a kept
// connection, with or without the ID of its request, and that is taken for the refusal of the next request, which runs
// (issue 34).
func TestStrayRefusalOnKeptConnection(t *testing.T) {
	for name, stray := range map[string]string{
		"503 with the ID of its request":  refusal(503, "a"),
		"503 without an ID":               refusal(503, ""),
		"421 without an ID":               refusal(421, ""),
		"429 without an ID":               refusal(429, ""),
		"400 without an ID":               refusal(400, ""),
		"two without an ID":               refusal(503, "") + refusal(503, ""),
		"a failure without an ID":         "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
		"unread body, without an ID":      "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbusy\r\n0\r\n\r\n",
		"informational, then without one": "HTTP/1.1 100 Continue\r\n\r\n" + refusal(503, ""),
	} {
		t.Run(name, func(t *testing.T) {
			address, conns := startBackend(t, func(_, n int) (string, bool) {
				if n == 1 {
					return responseFor("a", "one"), false
				}
				return stray + responseFor("b", "two"), false
			})
			p := &Pool{Dialect: platform.HTTPDialect{}}
			if _, err := sendAndRead(t, p, address, "a"); err != nil {
				t.Fatal(err)
			}
			body, err := sendAndRead(t, p, address, "b")
			var sendErr *SendError
			switch {
			case err == nil && body == "two":
			case errors.As(err, &sendErr) && sendErr.Sent:
			default:
				t.Errorf("second request, which ran: got %q, %v, want its own response, or an error that says that it was sent", body, err)
			}
			if got := conns.Load(); got != 1 {
				t.Errorf("connections: got %d, want 1: the case needs a kept one", got)
			}
		})
	}
}

// TestRepeatedRequestUsesNoConnectionOfItsRefusal guards against the refusal of a request that is written once more after
// the same request, with the same ID, was sent again (issue 34). Other requests go on using the connection.
func TestRepeatedRequestUsesNoConnectionOfItsRefusal(t *testing.T) {
	for name, first := range map[string]string{
		"refused":         refusal(503, "a"),
		"misdirected":     "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: a\r\nContent-Length: 0\r\n\r\n",
		"failed, has run": "HTTP/1.1 500 Internal Server Error\r\nX-Attempt-Id: a\r\nX-Response-Signature: s\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var ran atomic.Int32
			address, conns := rawserver.StartScript(t, func(e rawserver.Exchange) (string, bool) {
				id := e.Request.Header.Get("X-Attempt-Id")
				switch {
				case e.Conn == 1 && e.Number == 1:
					return first, false
				case e.Conn == 1 && id == "a":
					ran.Add(1)
					return first + responseFor("a", "ok"), false
				}
				return responseFor(id, "ok"), false
			})
			p := &Pool{Dialect: platform.HTTPDialect{}}
			if _, err := sendAndRead(t, p, address, "a"); err != nil {
				t.Fatal(err)
			}
			if body, err := sendAndRead(t, p, address, "a"); err != nil || body != "ok" {
				t.Errorf("same request again: got %q, %v, want ok", body, err)
			}
			if got := ran.Load(); got != 0 {
				t.Errorf("same request again: sent on the connection of its refusal")
			}
			for _, id := range []string{"b", "c", "d"} {
				if body, err := sendAndRead(t, p, address, id); err != nil || body != "ok" {
					t.Errorf("request %s: got %q, %v, want ok", id, body, err)
				}
			}
			if got := conns.Load(); got != 2 {
				t.Errorf("connections: got %d, want 2", got)
			}
		})
	}
}

// TestFirstRefusalOfConnectionNeedsNoID checks that a refusal without an ID counts where no earlier request can have
// caused it, so that it is known that the request has not run.
func TestFirstRefusalOfConnectionNeedsNoID(t *testing.T) {
	address, _ := startBackend(t, func(int, int) (string, bool) { return refusal(503, ""), true })
	resp, err := (&Pool{Dialect: platform.HTTPDialect{}}).Do(t.Context(), address, newCall("a"), bamboostep.ForwardOptions{TimeLeft: time.Second})
	if err != nil || !resp.Mark.NotRun {
		t.Fatalf("response: got %+v, %v, want a refusal", resp, err)
	}
	resp.Close()
}

// TestRequestWithoutIDUsesNoKeptConnection guards against a late response to another request that is taken for that of a
// request that has no ID to tell them apart.
func TestRequestWithoutIDUsesNoKeptConnection(t *testing.T) {
	address, conns := startBackend(t, func(conn, n int) (string, bool) {
		if conn == 1 && n > 1 {
			return refusal(503, ""), false
		}
		return "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok", false
	})
	p := &Pool{Dialect: platform.HTTPDialect{}}
	for range 3 {
		if body, err := sendAndRead(t, p, address, ""); err != nil || body != "ok" {
			t.Errorf("request without ID: got %q, %v, want ok", body, err)
		}
	}
	if got := conns.Load(); got != 3 {
		t.Errorf("connections: got %d, want 3", got)
	}
}
