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
	unboundedRequests = 100
	unboundedTimeout  = 10 * time.Second // for all requests; far below the deadline of each
	unboundedMemory   = 64 << 20         // bytes, for all requests
)

// startUnboundedBackend starts a server that sends start on each connection, and then
// repeats the same data until the client closes it.
func startUnboundedBackend(t *testing.T, start, repeated string) string {
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
				_, err := io.WriteString(nc, start)
				for err == nil {
					_, err = io.WriteString(nc, repeated)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// TestUnboundedData guards repeatedst exhausted memory and requests that hang: faulty
// backend servers send data until the client closes. Unless the data is part of a
// response body, the request must fail soon, and a hundred of them at once must use
// little memory.
func TestUnboundedData(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nX-Response-Signature: s\r\n"
	kilobyte := strings.Repeat("x", 1<<10)
	for name, c := range map[string]struct{ start, repeated string }{
		"no status line":             {"", kilobyte},
		"only line breaks":           {"", strings.Repeat("\r\n", 512)},
		"in a status line":           {"HTTP/1.1 200 ", kilobyte},
		"in a header":                {head + "X-More: ", kilobyte},
		"headers":                    {head, "X-More: " + kilobyte + "\r\n"},
		"informational responses":    {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"responses to others":        {"", "HTTP/1.1 200 OK\r\nX-Attempt-Id: z\r\nContent-Length: 0\r\n\r\n"},
		"body of another response":   {"HTTP/1.1 200 OK\r\nX-Attempt-Id: z\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + kilobyte + "\r\n"},
		"in a chunk's size":          {head + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", 1<<10)},
		"in a chunk's extension":     {head + "Transfer-Encoding: chunked\r\n\r\n5;", kilobyte},
		"in a trailer":               {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: " + kilobyte + "\r\n"},
		"after a complete response":  {head + "Content-Length: 2\r\n\r\nok", kilobyte},
		"responses after a response": {head + "Content-Length: 2\r\n\r\nok", head + "Content-Length: 2\r\n\r\nok"},
		"empty chunk sizes, zeros":   {head + "Transfer-Encoding: chunked\r\n\r\n", "\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			address := startUnboundedBackend(t, c.start, c.repeated)
			whole := strings.Contains(name, "after")
			began := time.Now()
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var wg sync.WaitGroup
			for range unboundedRequests {
				wg.Go(func() { expectResult(t, address, whole) })
			}
			wg.Wait()
			runtime.ReadMemStats(&after)
			if took := time.Since(began); took > unboundedTimeout {
				t.Errorf("time for %d requests: got %v, want at most %v", unboundedRequests, took, unboundedTimeout)
			}
			if got := int64(after.Sys) - int64(before.Sys); got > unboundedMemory {
				t.Errorf("memory for %d requests: got %d more bytes, want at most %d", unboundedRequests, got, unboundedMemory)
			}
		})
	}
}

// expectResult sends one request, and expects a complete response or an error. Each
// request has its own pool: data after a response may arrive after its connection has
// been found usable for the next request, which would then rightly fail.
func expectResult(t *testing.T, address string, whole bool) {
	p := &Pool{Dialect: platform.HTTPDialect{}}
	ctx, cancel := context.WithTimeout(context.Background(), 2*unboundedTimeout)
	defer cancel()
	a, err := doUntilSent(ctx, p, address)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(io.LimitReader(a, 1<<20))
		a.Close()
	}
	switch {
	case whole && (err != nil || string(body) != "ok"):
		t.Errorf("response: got %d bytes, %v, want ok", len(body), err)
	case !whole && err == nil:
		t.Errorf("response: got %d bytes and no error", len(body))
	case ctx.Err() != nil:
		t.Error("request ended only at its deadline")
	}
}

// doUntilSent repeats a request until it could be sent. On a busy machine, a hundred
// connections at once take longer than the dial timeout.
func doUntilSent(ctx context.Context, p *Pool, address string) (*Response, error) {
	for {
		a, err := p.Do(ctx, address, newCall("a"), bamboostep.ForwardOptions{TimeLeft: time.Second})
		var failed *SendError
		if err == nil || ctx.Err() != nil || !errors.As(err, &failed) || failed.Sent {
			return a, err
		}
	}
}
