package origin

import (
	"context"
	"errors"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/platform"
)

const (
	endlessAtOnce = 100
	endlessTime   = 10 * time.Second // for all of them, far below any deadline of theirs
	endlessMemory = 64 << 20         // bytes, for all of them
)

// endless listens for requests and answers each with a beginning, and then with the same
// bytes until the caller closes.
func endless(t *testing.T, beginning, again string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
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
			go func() {
				defer nc.Close()
				_, err := io.WriteString(nc, beginning)
				for err == nil {
					_, err = io.WriteString(nc, again)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// TestBytesWithoutEnd are backend servers in trouble that send bytes until the caller
// closes. Wherever they are no part of an answer's body, the request fails soon,
// and a hundred of them at once take little memory.
func TestBytesWithoutEnd(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nX-Response-Signature: s\r\n"
	kilobyte := strings.Repeat("x", 1<<10)
	for name, c := range map[string]struct{ beginning, again string }{
		"before any answer":        {"", kilobyte},
		"line breaks alone":        {"", strings.Repeat("\r\n", 512)},
		"in a status line":         {"HTTP/1.1 200 ", kilobyte},
		"in a header":              {head + "X-More: ", kilobyte},
		"headers":                  {head, "X-More: " + kilobyte + "\r\n"},
		"answers to come":          {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"answers to others":        {"", "HTTP/1.1 200 OK\r\nX-Attempt-Id: z\r\nContent-Length: 0\r\n\r\n"},
		"body of another's":        {"HTTP/1.1 200 OK\r\nX-Attempt-Id: z\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + kilobyte + "\r\n"},
		"in a chunk's size":        {head + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", 1<<10)},
		"in a chunk's extension":   {head + "Transfer-Encoding: chunked\r\n\r\n5;", kilobyte},
		"in a trailer":             {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: " + kilobyte + "\r\n"},
		"after a complete answer":  {head + "Content-Length: 2\r\n\r\nok", kilobyte},
		"answers after an answer":  {head + "Content-Length: 2\r\n\r\nok", head + "Content-Length: 2\r\n\r\nok"},
		"empty chunk sizes, zeros": {head + "Transfer-Encoding: chunked\r\n\r\n", "\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			address := endless(t, c.beginning, c.again)
			whole := strings.Contains(name, "after")
			began := time.Now()
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var wg sync.WaitGroup
			for range endlessAtOnce {
				wg.Go(func() { expectEnd(t, address, whole) })
			}
			wg.Wait()
			runtime.ReadMemStats(&after)
			if took := time.Since(began); took > endlessTime {
				t.Errorf("time for %d requests: got %v, want at most %v", endlessAtOnce, took, endlessTime)
			}
			if got := int64(after.Sys) - int64(before.Sys); got > endlessMemory {
				t.Errorf("memory for %d requests: got %d more bytes, want at most %d", endlessAtOnce, got, endlessMemory)
			}
		})
	}
}

// expectEnd sends one request, and expects an error, or a whole answer. Each request has a
// pool of its own: bytes behind an answer may come after its connection was found sound
// for the next request, which then fails rightly.
func expectEnd(t *testing.T, address string, whole bool) {
	p := &Pool{Dialect: platform.HTTP{}}
	ctx, cancel := context.WithTimeout(context.Background(), 2*endlessTime)
	defer cancel()
	a, err := doOnceSent(ctx, p, address)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(io.LimitReader(a, 1<<20))
		a.Close()
	}
	switch {
	case whole && (err != nil || string(body) != "ok"):
		t.Errorf("answer: got %d bytes, %v, want ok", len(body), err)
	case !whole && err == nil:
		t.Errorf("answer: got %d bytes and no error", len(body))
	case ctx.Err() != nil:
		t.Error("request: ended by its deadline alone")
	}
}

// doOnceSent sends a request again while it could not be sent at all: on a busy machine
// a hundred connections at once take longer than one dial may.
func doOnceSent(ctx context.Context, p *Pool, address string) (*Answer, error) {
	for {
		a, err := p.Do(ctx, address, call("a"), bamboostep.Passing{Within: time.Second})
		var failed *SendError
		if err == nil || ctx.Err() != nil || !errors.As(err, &failed) || failed.Sent {
			return a, err
		}
	}
}
