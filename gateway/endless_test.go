package gateway

import (
	"context"
	"io"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep/route"
)

// TestBodiesWithoutEnd is a backend server in trouble whose bodies never end, asked by a
// hundred callers at once: none gets an answer that looks whole, no run is repeated
// that may not be, and what is held for all of them stays far below a VM's memory.
func TestBodiesWithoutEnd(t *testing.T) {
	const (
		callers = 100
		memory  = 100 << 20 // bytes, half of a small VM's
		within  = 20 * time.Second
	)
	// The programs set the collector such a limit, by their VM's memory.
	before := debug.SetMemoryLimit(memory * 4 / 5)
	t.Cleanup(func() { debug.SetMemoryLimit(before) })
	kilobyte := strings.Repeat("x", 1<<10)
	for name, kind := range map[string]route.Kind{
		"plain answer": route.NonIdempotent,
		"stream":       route.Streaming,
	} {
		t.Run(name, func(t *testing.T) {
			s := newStandIn(t, true, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("X-Response-Signature", "s")
				for r.Context().Err() == nil {
					if _, err := io.WriteString(w, kilobyte); err != nil {
						return
					}
				}
			})
			g := testGateway(t, route.Route{Kind: kind, Attempts: 2, Timeout: time.Minute}, s)
			ctx, cancel := context.WithTimeout(context.Background(), within)
			defer cancel()
			most := watchMemory(ctx)
			var wg sync.WaitGroup
			for range callers {
				wg.Go(func() { expectBroken(ctx, t, g.URL) })
			}
			wg.Wait()
			if got := most(); got > memory {
				t.Errorf("heap for %d answers without end: got %d bytes, want at most %d", callers, got, memory)
			}
			if got := len(s.ran()); got > callers {
				t.Errorf("runs: got %d of %d requests", got, callers)
			}
		})
	}
}

func expectBroken(ctx context.Context, t *testing.T, url string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/p/x", nil)
	if err != nil {
		t.Error(err)
		return
	}
	req.Host = "h.example"
	req.Header.Set("X-Attempt-Id", "a1")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		if ctx.Err() != nil {
			t.Error("the request did not end")
		}
		return
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err == nil && resp.StatusCode == http.StatusOK {
		t.Error("answer: got a whole one")
	}
}

// watchMemory reads the heap again and again until ctx ends or the most is asked for.
func watchMemory(ctx context.Context) (most func() uint64) {
	ctx, cancel := context.WithCancel(ctx)
	result := make(chan uint64, 1)
	go func() {
		highest := uint64(0)
		for ctx.Err() == nil {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			highest = max(highest, m.HeapInuse)
			select {
			case <-ctx.Done():
			case <-time.After(5 * time.Millisecond):
			}
		}
		result <- highest
	}()
	return func() uint64 {
		cancel()
		return <-result
	}
}
