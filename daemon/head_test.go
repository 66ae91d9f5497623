package daemon

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/bamboostep/bamboostep/memory"
)

// Guards against heads without a bound over all, and against a guard that costs ordinary requests anything or leaves something counted.
func TestHeadGuard(t *testing.T) {
	const budget = 1 << 20
	head := func(fields int) http.Header {
		h := make(http.Header)
		for n := range fields {
			h.Set(fmt.Sprint("X-", n), "")
		}
		return h
	}
	for name, c := range map[string]struct {
		fields int
		body   string
		status int
		counts bool // while it is served
	}{
		"an ordinary request":           {10, "body", http.StatusOK, false},
		"many fields":                   {1000, "body", http.StatusOK, true},
		"many fields without a body":    {1000, "", http.StatusOK, true},
		"more fields than there's room": {20_000, "body", http.StatusServiceUnavailable, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := memory.NewBudget(budget)
			served := false
			guard := &HeadGuard{Memory: b, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				served = true
				body, err := io.ReadAll(r.Body)
				if err != nil || string(body) != c.body {
					t.Errorf("body: got %q, %v, want %q", body, err, c.body)
				}
				if counts := b.State().Used > 0; counts != c.counts {
					t.Errorf("counted while it is served: got %v, want %v", counts, c.counts)
				}
			})}
			r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(c.body))
			r.Header = head(c.fields)
			w := httptest.NewRecorder()
			guard.ServeHTTP(w, r)
			if w.Code != c.status || served != (c.status == http.StatusOK) {
				t.Errorf("status: got %d, served %v, want %d", w.Code, served, c.status)
			}
			if c.status != http.StatusOK && (w.Header().Get("Retry-After") == "" || w.Header().Get("Connection") != "close") {
				t.Errorf("refusal: got %v, want Retry-After and the end of its connection", w.Header())
			}
			if got := b.State().Used; got != 0 {
				t.Errorf("counted after it: got %d bytes, want 0", got)
			}
		})
	}
}
