package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// answer is what a client has of one attempt.
type answer struct {
	id     string
	status int // 0 for none
	events int
	whole  bool
	reason string   // body of an answer that is no stream
	data   []string // of the events
	lastID string
	cut    bool // the connection ended early
	took   time.Duration
}

// streamPatience is the gap after which a client abandons a stream: four times the objective of 800 ms, or eight times the
// longest pause of 400 ms.
const streamPatience = 3200 * time.Millisecond

var callerClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// stream sends a request for a stream and reads all of it.
func stream(e *process, path, model string, promptTokens, outTokens int, deadline time.Duration, header map[string]string) answer {
	a := answer{id: newID()}
	began := time.Now()
	defer func() { a.took = time.Since(began) }()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	patience := time.AfterFunc(streamPatience, cancel)
	defer patience.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at(e.ip, portFront)+path, strings.NewReader(`{"prompt":"p"}`))
	if err != nil {
		return a
	}
	req.Host = "ficu95.example"
	req.Header.Set("X-Attempt-Id", a.id)
	if model != "" {
		req.Header.Set("X-Model", model)
		req.Header.Set("X-Token-Usage", fmt.Sprintf("%d,%d", promptTokens, outTokens))
		req.Header.Set("X-Prompt-Prefix", fmt.Sprintf("5c1e07a2:%d,%x:%d", promptTokens/2, rand.Uint32(), promptTokens-promptTokens/2))
	}
	req.Header.Set("X-Request-Deadline", fmt.Sprint(deadline.Milliseconds()))
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := callerClient.Do(req)
	if err != nil {
		return a
	}
	defer resp.Body.Close()
	a.status = resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 200))
		a.reason = strings.TrimSpace(string(text))
		return a
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		patience.Reset(streamPatience)
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			a.lastID = id
		}
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			a.data = append(a.data, data)
			a.events++
		}
	}
	a.cut = lines.Err() != nil
	a.whole = !a.cut
	return a
}

func (a answer) String() string {
	switch {
	case a.status == 0:
		return a.id + ": no answer"
	case a.status != http.StatusOK:
		return fmt.Sprintf("%s: %d %s", a.id, a.status, a.reason)
	case a.cut:
		return fmt.Sprintf("%s: 200, broken off after %d events", a.id, a.events)
	}
	return fmt.Sprintf("%s: 200, whole, %d events", a.id, a.events)
}

// get sends a request without a body and reads its answer.
func get(e *process, host, path string, deadline time.Duration) answer {
	a := answer{id: newID()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline+500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at(e.ip, portFront)+path, nil)
	if err != nil {
		return a
	}
	req.Host = host
	req.Header.Set("X-Attempt-Id", a.id)
	req.Header.Set("X-Request-Deadline", fmt.Sprint(deadline.Milliseconds()))
	resp, err := callerClient.Do(req)
	if err != nil {
		return a
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	a.status, a.reason, a.whole = resp.StatusCode, strings.TrimSpace(string(text)), err == nil
	return a
}
