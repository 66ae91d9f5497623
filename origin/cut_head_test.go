package origin

import (
	"errors"
	"testing"

	"github.com/bamboostep/bamboostep/platform"
)

// Guards against a response whose head was cut off and that is taken for a whole one with an empty or short body: a backend server stops
// in its head and closes, at any byte, on a new or a kept connection, with HTTP/1.0 too and after interim responses (issue 44).
func TestCutHeadIsNoResponse(t *testing.T) {
	const (
		fields  = "X-Attempt-Id: b\r\nX-Response-Signature: s\r\nContent-Type: text/event-stream\r\n"
		interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	)
	for name, c := range map[string]struct {
		before string // whole, in front of the head that is cut
		head   string
		kept   bool // the connection has brought a whole response
	}{
		"with a length":            {head: "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 12\r\n\r\n"},
		"in chunks":                {head: "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n"},
		"without a length":         {head: "HTTP/1.1 200 OK\r\n" + fields + "Connection: close\r\n\r\n"},
		"HTTP/1.0":                 {head: "HTTP/1.0 200 OK\r\n" + fields + "\r\n"},
		"lines with LF alone":      {head: "HTTP/1.1 200 OK\nX-Attempt-Id: b\nX-Response-Signature: s\nContent-Length: 12\n\n"},
		"no content":               {head: "HTTP/1.1 204 No Content\r\n" + fields + "\r\n"},
		"interim":                  {head: interim},
		"behind interim responses": {before: "HTTP/1.1 100 Continue\r\n\r\n" + interim, head: "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 12\r\n\r\n"},
		"on a kept connection":     {head: "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 12\r\n\r\n", kept: true},
		"behind a stray response":  {before: responseFor("a", "one"), head: "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 12\r\n\r\n", kept: true},
		"HTTP/1.0, kept":           {head: "HTTP/1.0 200 OK\r\n" + fields + "\r\n", kept: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for cut := range len(c.head) {
				address, conns := startBackend(t, func(_, n int) (string, bool) {
					if c.kept && n == 1 {
						return responseFor("a", "one"), false
					}
					return c.before + c.head[:cut], true
				})
				p := &Pool{Dialect: platform.HTTPDialect{}}
				if c.kept {
					if _, err := sendAndRead(t, p, address, "a"); err != nil {
						t.Fatal(err)
					}
				}
				body, err := sendAndRead(t, p, address, "b")
				var sendErr *SendError
				if !errors.As(err, &sendErr) || !sendErr.Sent {
					t.Errorf("cut after %q: got body %q, error %v, want a *SendError that says that the request was sent", c.head[:cut], body, err)
				}
				if got := conns.Load(); got != 1 {
					t.Errorf("cut after %q: got %d connections, want 1: the request is not sent again", c.head[:cut], got)
				}
			}
		})
	}
}
