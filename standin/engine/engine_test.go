package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep"
)

// bench is an engine behind HTTP.
type bench struct {
	*Engine
	t   *testing.T
	url string
}

func newBench(t *testing.T, e *Engine) *bench {
	t.Helper()
	e.MemoryMiB = 1000
	e.MaxWaiting = 8
	e.CacheBlocks = 4
	e.Step = time.Millisecond
	if e.MaxBatch == 0 {
		e.MaxBatch = 4
	}
	s := httptest.NewServer(e.Handler())
	t.Cleanup(func() {
		e.Close()
		s.Close()
	})
	return &bench{e, t, s.URL}
}

func (b *bench) post(path string, body any) *http.Response {
	b.t.Helper()
	text, err := json.Marshal(body)
	if err != nil {
		b.t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	b.t.Cleanup(cancel)
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, b.url+path, bytes.NewReader(text))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { resp.Body.Close() })
	return resp
}

func (b *bench) order(kind bamboostep.OrderKind, name string, mib int64, fence uint64) int {
	b.t.Helper()
	o := bamboostep.Order{Kind: kind, Name: name, Model: "m", Version: "v", MiB: mib, Fence: bamboostep.FencingToken{Term: 1, Sequence: fence}}
	return b.post("/orders", o).StatusCode
}

// generate returns the text and the last piece of an answer.
func (b *bench) generate(g generateRequest) (string, piece) {
	b.t.Helper()
	resp := b.post("/generate", g)
	var text strings.Builder
	var p piece
	for dec := json.NewDecoder(resp.Body); dec.More(); {
		p = piece{}
		if err := dec.Decode(&p); err != nil {
			b.t.Fatal(err)
		}
		text.WriteString(p.Text)
	}
	return text.String(), p
}

func request(text string) json.RawMessage { return json.RawMessage(text) }

func TestAnswerIsResumedAnywhere(t *testing.T) {
	b := newBench(t, &Engine{})
	if got := b.order(bamboostep.LoadModel, "m", 100, 1); got != http.StatusOK {
		t.Fatalf("load: got status %d", got)
	}
	want := Reference("m", "", "price of\na gutter", 20)
	body := request(`{"messages":[{"content":"price of"},{"content":"a gutter"}],"max_tokens":20}`)
	for _, at := range []int{0, 1, len(want) / 2, len(want)} {
		text, last := b.generate(generateRequest{Attempt: "a", Model: "m", Request: body, Prior: want[:at]})
		if got := want[:at] + text; got != want || !last.Done {
			t.Errorf("resumed at byte %d: got %q, done %v, want %q", at, got, last.Done, want)
		}
	}
	if got := b.post("/generate", generateRequest{Model: "m", Request: body, Prior: "not mine"}).StatusCode; got != http.StatusBadRequest {
		t.Errorf("prior of another answer: got status %d, want %d", got, http.StatusBadRequest)
	}
	if got := b.post("/generate", generateRequest{Model: "n", Request: body}).StatusCode; got != http.StatusNotFound {
		t.Errorf("model that is not resident: got status %d, want %d", got, http.StatusNotFound)
	}
}

func TestOrdersTakeAndFreeMemory(t *testing.T) {
	tests := map[string]struct {
		engine   *Engine
		want     []int // status of: load 600, load 600 more, an older order, unload
		wantPeak int64
	}{
		"plain":  {&Engine{}, []int{200, 200, 200, 200}, 1200},
		"guards": {&Engine{GuardsMemory: true}, []int{200, 507, 200, 200}, 600},
		"fences": {&Engine{FencesOrders: true}, []int{200, 200, 409, 200}, 1200},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, tt.engine)
			got := []int{
				b.order(bamboostep.LoadModel, "m", 600, 5),
				b.order(bamboostep.LoadModel, "n", 600, 6),
				b.order(bamboostep.LoadModel, "m", 600, 4),
				b.order(bamboostep.UnloadModel, "m", 600, 7),
			}
			for i := range got {
				if got[i] != tt.want[i] {
					t.Errorf("order %d: got status %d, want %d", i, got[i], tt.want[i])
				}
			}
			if s := b.stats(); s.PeakMiB != tt.wantPeak || s.HeldMiB != tt.wantPeak-600 {
				t.Errorf("memory: got peak %d and held %d MiB, want %d and %d", s.PeakMiB, s.HeldMiB, tt.wantPeak, tt.wantPeak-600)
			}
		})
	}
}

func TestImportantRequestsGoFirst(t *testing.T) {
	b := newBench(t, &Engine{MaxBatch: 1})
	b.order(bamboostep.LoadModel, "m", 100, 1)
	long := b.post("/generate", generateRequest{Attempt: "long", Model: "m", Request: request(`{"prompt":"x","max_tokens":4096}`)})
	ended := make(chan string, 2)
	for i, attempt := range []bamboostep.AttemptID{"question", "quote"} {
		go func() {
			b.generate(generateRequest{Attempt: attempt, Model: "m", Request: request(`{"prompt":"y","max_tokens":3}`), Priority: 2 - i})
			ended <- string(attempt)
		}()
		for deadline := time.Now().Add(5 * time.Second); b.find(attempt) == nil; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("attempt %q was not taken in", attempt)
			}
		}
	}
	b.post("/cancel", attemptRequest{"long"})
	if got := <-ended; got != "quote" {
		t.Errorf("first to end: got %q, want %q", got, "quote")
	}
	<-ended
	if long.Body.Close() != nil || b.find("long") != nil {
		t.Error("cancelled attempt still runs")
	}
}

func TestPrefixCacheIsBoundedAndTellsLate(t *testing.T) {
	now := time.Unix(0, 0)
	c := newPrefixCache(3, time.Second, 2)
	if got := c.use(now, "m", "", []uint64{1, 2}); got != 0 {
		t.Errorf("cold: got %d blocks, want 0", got)
	}
	if got := c.use(now, "m", "", []uint64{1, 2, 3}); got != 2 {
		t.Errorf("warm: got %d blocks, want 2", got)
	}
	c.use(now, "m", "", []uint64{7, 8, 9})
	if got := c.published(now); len(got) != 0 {
		t.Errorf("events at once: got %v, want none", got)
	}
	if got := c.published(now.Add(time.Second)); len(got) != 2 || got[0] != 1 || got[1] != 3 {
		t.Errorf("late events with a gap: got %v, want [1 3]", got)
	}
}
