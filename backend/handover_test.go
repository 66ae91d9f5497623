package backend_test

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep"
)

// movingEngine exports and imports KV caches.
type movingEngine struct {
	gatedEngine
	version  string
	export   func(ctx context.Context) ([]byte, error)
	imported []byte
	refuses  bool
}

func (e *movingEngine) ExportKV(ctx context.Context, _ bamboostep.AttemptID) ([]byte, error) {
	return e.export(ctx)
}

func (e *movingEngine) ImportKV(_ context.Context, _ bamboostep.AttemptID, kv []byte) error {
	if e.refuses {
		return errors.New("no")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.imported = kv
	return nil
}

func (e *movingEngine) got() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return string(e.imported)
}

func (e *movingEngine) State(ctx context.Context) (bamboostep.EngineState, error) {
	s, err := e.gatedEngine.State(ctx)
	s.Replicas[0].Version = e.version
	return s, err
}

var _ bamboostep.KVExporter = (*movingEngine)(nil)

// An attempt that outlasts a drain ends with its KV cache if that can be had soon
// and is small, and without it otherwise, in any case in time.
func TestHandOverBringsCache(t *testing.T) {
	t.Parallel()
	cache := []byte("cache")
	tests := map[string]struct {
		export func(ctx context.Context) ([]byte, error)
		begun  bool
		want   []byte
	}{
		"exported":     {func(context.Context) ([]byte, error) { return cache, nil }, true, cache},
		"not begun":    {func(context.Context) ([]byte, error) { return cache, nil }, false, nil},
		"too large":    {func(context.Context) ([]byte, error) { return make([]byte, 5<<20), nil }, true, nil},
		"export fails": {func(context.Context) ([]byte, error) { return cache, errors.New("no") }, true, nil},
		"export hangs": {func(ctx context.Context) ([]byte, error) { <-ctx.Done(); return cache, nil }, true, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := &movingEngine{gatedEngine: gatedEngine{gate: make(chan string, 1)}, version: "v1", export: tt.export}
			address, _, drain := startDrainable(t, "127.0.0.1:0", e, 10*time.Millisecond)
			a := offer(context.Background(), startClient(t, address), "1")
			until(t, "the attempt runs", func() bool { return e.started() == 1 })
			if tt.begun {
				e.gate <- "one "
				until(t, "first word arrives", func() bool { return a.got() == "one " })
			}
			drain()
			f := a.wait(t)
			if f.Code != "leaving" {
				t.Errorf("got failure %+v, want code leaving", f)
			}
			if got := f.KV != nil; got != (tt.want != nil) {
				t.Fatalf("got a cache: %v, want %v", got, tt.want != nil)
			}
			if f.KV != nil && (!bytes.Equal(f.KV.Data, tt.want) || f.KV.Version != "v1") {
				t.Errorf("got cache %+v, want %q of v1", f.KV, tt.want)
			}
		})
	}
}

// The cache that comes with an offer is given to the engine if it is of the same
// version. Whether the engine takes it or not, the answer is whole.
func TestOfferBringsCache(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		version string
		refuses bool
		want    string
	}{
		"same version":   {"v1", false, "cache"},
		"other version":  {"v2", false, ""},
		"engine refuses": {"v1", true, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := &movingEngine{gatedEngine: gatedEngine{gate: make(chan string, 1)}, version: tt.version, refuses: tt.refuses}
			address, _ := startServer(t, "127.0.0.1:0", e)
			a := offerWith(context.Background(), startClient(t, address), bamboostep.Offer{
				Attempt:   "1",
				Request:   bamboostep.Request{Model: "m"},
				PriorText: []byte("one "),
				KV:        &bamboostep.KV{Version: "v1", Data: []byte("cache")},
			})
			e.gate <- "."
			if f := a.wait(t); f.Outcome != "" || a.got() != "." {
				t.Errorf("got %q (%+v), want the whole answer", a.got(), f)
			}
			if got := e.got(); got != tt.want {
				t.Errorf("got imported %q, want %q", got, tt.want)
			}
		})
	}
}
