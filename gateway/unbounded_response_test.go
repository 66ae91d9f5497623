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

// TestUnboundedBodies has a faulty backend server send bodies that never end to a
// hundred callers at once. No caller may get a response that looks complete, no request
// that must not run twice may be repeated, and the memory for all buffers must stay far
// below that of a VM.
func TestUnboundedBodies(t *testing.T) {
	const (
		callers = 100
		memory  = 100 << 20 // bytes; half of the memory of a small VM
		within  = 20 * time.Second
	)
	// The programs set a similar limit, based on the memory of their VM.
	before := debug.SetMemoryLimit(memory * 4 / 5)
	t.Cleanup(func() { debug.SetMemoryLimit(before) })
	kilobyte := strings.Repeat("x", 1<<10)
	for name, kind := range map[string]route.Kind{
		"plain response": route.NonIdempotent,
		"stream":         route.Streaming,
	} {
		t.Run(name, func(t *testing.T) {
			s := newFakeBackend(t, true, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("X-Response-Signature", "s")
				for r.Context().Err() == nil {
					if _, err := io.WriteString(w, kilobyte); err != nil {
						return
					}
				}
			})
			g := startGateway(t, route.Route{Kind: kind, Attempts: 2, Timeout: time.Minute}, s)
			ctx, cancel := context.WithTimeout(context.Background(), within)
			defer cancel()
			peak := trackPeakHeap(ctx)
			var wg sync.WaitGroup
			for range callers {
				wg.Go(func() { expectIncomplete(ctx, t, g.URL) })
			}
			wg.Wait()
			if got := peak(); got > memory {
				t.Errorf("heap for %d unbounded responses: got %d bytes, want at most %d", callers, got, memory)
			}
			if got := len(s.recordedRuns()); got > callers {
				t.Errorf("runs: got %d of %d requests", got, callers)
			}
		})
	}
}

func expectIncomplete(ctx context.Context, t *testing.T, url string) {
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
			t.Error("request did not end")
		}
		return
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err == nil && resp.StatusCode == http.StatusOK {
		t.Error("response: got a complete one, want an error")
	}
}

// trackPeakHeap polls the heap size until ctx ends or peak is called. peak returns the
// highest value.
func trackPeakHeap(ctx context.Context) (peak func() uint64) {
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
