package main

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// The bound that the platform states for a part of prompts that crashes backend servers: five
// crashes, and three requests more.
const maxReachedByPart = 5 + 3

// sendPrompt sends a request with the given parts of its prompt, and returns the status.
func sendPrompt(t *testing.T, address, id, parts string) int {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/p/x", strings.NewReader(id))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Prompt-Prefix", parts)
	return statusOf(req, id)
}

// TestCrashingPromptPartOverRestarts guards against a part of prompts that crashes one backend
// server after another (issue 31). Requests with it come to two entries in turn, no two alike,
// while entries and the voter restart. Harmless requests share all their other parts and must be
// served.
func TestCrashingPromptPartOverRestarts(t *testing.T) {
	for name, c := range map[string]struct{ crashing, harmless string }{
		"second of three": {"aaaa:100," + crashPart + ":50,%x:10", "aaaa:100,%x:10"},
		"third of four":   {"aaaa:100,bbbb:20," + crashPart + ":50,%x:10", "aaaa:100,bbbb:20,%x:10"},
		"first of three":  {crashPart + ":50,bbbb:20,%x:10", "aaaa:100,bbbb:20,%x:10"},
	} {
		t.Run(name, func(t *testing.T) {
			service, voter, entries := startCrashTest(t)
			for i := range 16 {
				e := entries[i%2]
				if got := sendPrompt(t, e.cfg.CallerAddr, fmt.Sprint("a", i), fmt.Sprintf(c.crashing, 1000+i)); got < http.StatusInternalServerError {
					t.Errorf("request %d: got status %d, want 500 or higher", i, got)
				}
				if got := sendPrompt(t, e.cfg.CallerAddr, fmt.Sprint("b", i), fmt.Sprintf(c.harmless, 2000+i)); got != http.StatusOK {
					t.Errorf("harmless request %d: got status %d, want 200", i, got)
				}
				time.Sleep(restartTime)
				switch i {
				case 6, 9, 12:
					e.restart()
					awaitReady(t, e)
				case 10:
					voter.restart()
				}
			}
			if got := service.reached.Load(); got > maxReachedByPart || got < 3 {
				t.Errorf("16 requests with the part: reached %d backend servers, want 3 to %d", got, maxReachedByPart)
			}
			for _, r := range append(entries, voter) {
				r.stop()
			}
		})
	}
}
