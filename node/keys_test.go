package main

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep/platform"
)

// withKeys returns the published set under a number, with one workspace that holds keys.
func withKeys(number int, keys ...string) string {
	set := strings.Replace(testRoutes, `"version":1`, fmt.Sprintf(`"version":%d`, number), 1)
	tenants := fmt.Sprintf(`,"tenants":[{"name":"one","api_keys":["%s"]}]}`, strings.Join(keys, `","`))
	return strings.TrimSuffix(set, "}") + tenants
}

// TestWithdrawnKeyStaysWithdrawn guards against a key that is of use again after a process
// has started again: a key is taken away, and entry and voter start again by turns. From the
// time on that the platform allows it never leads to a backend server; one that was kept does.
func TestWithdrawnKeyStaysWithdrawn(t *testing.T) {
	const kept, withdrawn = "kept-key", "withdrawn-key"
	service := newCrashingService(t, 2)
	directory := service.directory()
	voter := newRole(t, "voter", "127.0.0.21", directory)
	e := newRole(t, "entry", "127.0.0.22", directory)
	path := strings.TrimPrefix(platform.PatternPublishRoutes, "PUT ")
	awaitOK(t, "first publication", http.MethodPut, voter.cfg.OperatorAddr, path, withKeys(1, kept, withdrawn))
	sent := 0
	use := func(key string) int {
		sent++
		return callWithKey(http.MethodPost, e.cfg.CallerAddr, "/p/x", "body", fmt.Sprint("a", sent), key)
	}
	await := func(what, key string, want int) {
		t.Helper()
		for until := time.Now().Add(upWithin); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
			if use(key) == want {
				return
			}
		}
		t.Fatalf("%s: got no status %d within %v", what, want, upWithin)
	}
	await("key before it is taken away", withdrawn, http.StatusOK)
	awaitOK(t, "second publication", http.MethodPut, voter.cfg.OperatorAddr, path, withKeys(2, kept))
	await("key that was taken away", withdrawn, http.StatusUnauthorized)
	for i, r := range []*role{e, voter, e, voter} {
		r.restart()
		for until := time.Now().Add(time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
			if got := use(withdrawn); got == http.StatusOK {
				t.Fatalf("restart %d, of the %s: got status 200 with the key that was taken away", i, r.name)
			}
		}
		await(fmt.Sprintf("kept key after restart %d", i), kept, http.StatusOK)
	}
	voter.stop()
	await("kept key without a voter", kept, http.StatusServiceUnavailable)
}
