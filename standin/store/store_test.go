package store

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"
)

func TestLoadsSlowInProportion(t *testing.T) {
	s := &Store{Limits: Limits{ModelLoad: 200 * time.Millisecond, ModelsAtOnce: 2, AdaptersAtOnce: 1}}
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	load := func(n int) time.Duration {
		begun := time.Now()
		var wg sync.WaitGroup
		for range n {
			wg.Go(func() {
				resp, err := http.Get(server.URL + "/weights/v?kind=model")
				if err != nil {
					t.Error(err)
					return
				}
				resp.Body.Close()
			})
		}
		wg.Wait()
		return time.Since(begun)
	}
	two, six := load(2), load(6)
	if two < 200*time.Millisecond || six < 550*time.Millisecond {
		t.Errorf("loads of 200 ms, 2 at once: got %v for 2 and %v for 6, want at least 200ms and about 600ms", two, six)
	}
	resp, err := http.Get(server.URL + "/stats")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var got stats
	if err := json.NewDecoder(resp.Body).Decode(&got); err != nil || got.ModelsPeak != 6 || got.ModelsDone != 8 {
		t.Errorf("stats: got %+v, %v, want peak 6 and 8 done", got, err)
	}
}
