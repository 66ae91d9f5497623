package main

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep/platform"
)

// routesWithKeys returns testRoutes under a version, with one workspace that has the keys.
func routesWithKeys(version int, keys ...string) string {
	set := strings.Replace(testRoutes, `"version":1`, fmt.Sprintf(`"version":%d`, version), 1)
	tenants := fmt.Sprintf(`,"tenants":[{"name":"one","api_keys":["%s"]}]}`, strings.Join(keys, `","`))
	return strings.TrimSuffix(set, "}") + tenants
}

// TestWithdrawnKeyStaysWithdrawn guards against a withdrawn API key that is accepted again
// after a restart. A publication withdraws one of two keys, then the entry and the voter
// restart in turn: once rejected, the withdrawn key must never be accepted again, while the
// kept key must be. Without a voter the entry must answer 503 to the kept key as well.
func TestWithdrawnKeyStaysWithdrawn(t *testing.T) {
	const kept, withdrawn = "kept-key", "withdrawn-key"
	service := newCrashingService(t, 2)
	directory := service.directory()
	voter := newRole(t, "voter", "127.0.0.21", directory)
	e := newRole(t, "entry", "127.0.0.22", directory)
	path := strings.TrimPrefix(platform.PatternPublishRoutes, "PUT ")
	awaitOK(t, "first publication", http.MethodPut, voter.cfg.OperatorAddr, path, routesWithKeys(1, kept, withdrawn))
	sent := 0
	sendWithKey := func(key string) int {
		sent++
		return sendRequestWithKey(http.MethodPost, e.cfg.CallerAddr, "/p/x", "body", fmt.Sprint("a", sent), key)
	}
	awaitStatus := func(what, key string, want int) {
		t.Helper()
		for until := time.Now().Add(waitTimeout); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
			if sendWithKey(key) == want {
				return
			}
		}
		t.Fatalf("%s: got no status %d within %v", what, want, waitTimeout)
	}
	awaitStatus("key before its withdrawal", withdrawn, http.StatusOK)
	awaitOK(t, "second publication", http.MethodPut, voter.cfg.OperatorAddr, path, routesWithKeys(2, kept))
	awaitStatus("withdrawn key", withdrawn, http.StatusUnauthorized)
	for i, r := range []*testRole{e, voter, e, voter} {
		r.restart()
		for until := time.Now().Add(time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
			if got := sendWithKey(withdrawn); got == http.StatusOK {
				t.Fatalf("restart %d, of the %s: got status 200 with the withdrawn key", i, r.name)
			}
		}
		awaitStatus(fmt.Sprintf("kept key after restart %d", i), kept, http.StatusOK)
	}
	voter.stop()
	awaitStatus("kept key without a voter", kept, http.StatusServiceUnavailable)
}
