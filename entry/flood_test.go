package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/memory"
)

// Guards against bodies that are held without a bound over all: a crowd sends large ones that stop short and stays. What the entry holds
// stays under its bound, what does not fit is refused as not run, and an ordinary request is answered meanwhile.
func TestFloodOfBodiesStaysWithinTheBudget(t *testing.T) {
	const (
		crowd  = 12
		body   = 1 << 20
		budget = 3 << 20
	)
	app := func(o bamboostep.Offer, yield func(bamboostep.Answer) error) error {
		return yield(bamboostep.Answer{Attempt: o.Attempt, Data: []byte("served"), Last: true})
	}
	c := newTestHandler(newTestFleet(1, nil, app), nil)
	c.Memory = memory.NewBudget(budget)
	s := startHandler(t, c)
	for range crowd {
		conn, err := net.Dial("tcp", s.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		go fmt.Fprintf(conn, "POST /checks HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", body, strings.Repeat("x", body-100))
	}
	for until := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		state := c.Memory.State()
		if state.Used > budget {
			t.Fatalf("held: got %d bytes, want at most %d", state.Used, budget)
		}
		if state.Refused+state.GivenUp >= crowd/2 {
			break
		}
		if time.Now().After(until) {
			t.Fatalf("bodies that were refused or went: got %+v, want at least half of %d", state, crowd)
		}
	}
	if got := call(t, s, http.MethodPost, "/checks", "small"); got.status != http.StatusOK || got.body != "served" {
		t.Errorf("ordinary request: got %d %q, want it served", got.status, got.body)
	}
	got := call(t, s, http.MethodPost, "/checks", strings.Repeat("x", body))
	if got.status == http.StatusOK && got.body == "served" {
		return // what stood still has gone for it
	}
	if got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, "memory_full") || !strings.Contains(got.body, string(bamboostep.NotRun)) || got.header.Get("Retry-After") == "" {
		t.Errorf("large request: got %d %q, want 503 memory_full, not run, with Retry-After", got.status, got.body)
	}
}
