package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	orderTimeout  = time.Second            // timeout_ms of the route of orders
	orderDeadline = 3 * time.Second        // of their callers
	lateAfter     = 500 * time.Millisecond // beyond timeout_ms
	streamsPerS   = 34                     // over all entries, as in the deployment sheet
	ordersPerS    = 8
	historyFor    = 40 * time.Second
	partTokens    = 10
	longHistory   = 800 // parts of a prompt
	shortHistory  = 3
	sessions      = 85 // as many as ask the fitters' questions on cobreplata
)

// histories are the prompts of the callers' sessions: a first part that all share, the parts of the session's history, which its
// requests share, and for each request a last part of its own.
type histories [][]string

func newHistories(parts int) histories {
	const common = "5c1e07a2"
	all := make(histories, sessions)
	for i := range all {
		all[i] = []string{fmt.Sprintf("%s:%d", common, partTokens)}
		for len(all[i]) < parts-1 {
			all[i] = append(all[i], fmt.Sprintf("%08x:%d", rand.Uint32(), partTokens))
		}
	}
	return all
}

// header returns X-Prompt-Prefix of a request of a session drawn by chance.
func (h histories) header() string {
	shared := h[rand.IntN(len(h))]
	return strings.Join(shared, ",") + fmt.Sprintf(",%08x:%d", rand.Uint32(), partTokens)
}

// order sends a request of the route of orders and waits for its answer beyond the route's timeout.
func order(e *process) answer {
	a := answer{id: newID()}
	began := time.Now()
	defer func() { a.took = time.Since(began) }()
	ctx, cancel := context.WithTimeout(context.Background(), orderDeadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at(e.ip, portFront)+"/lohu930/2f", strings.NewReader(`{"order":1}`))
	if err != nil {
		return a
	}
	req.Host = "ficu95.example"
	req.Header.Set("X-Attempt-Id", a.id)
	req.Header.Set("X-Request-Deadline", fmt.Sprint(orderDeadline.Milliseconds()))
	resp, err := callerClient.Do(req)
	if err != nil {
		a.took = time.Since(began)
		return a
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	a.status, a.reason, a.took = resp.StatusCode, strings.TrimSpace(string(text)), time.Since(began)
	return a
}

// longHistories has callers ask with prompts of many parts, and other callers place orders at the same entries.
func longHistories(s *system, trouble bool) error {
	zones := []string{"uy-sur-a", "uy-sur-b", "uy-sur-c"}
	held := []string{modelSmall.name, modelLarge.name}
	engines, err := s.threeEngines(catalogOf(modelSmall, modelLarge), [3][]string{held, held, held})
	if err != nil {
		return err
	}
	var workers []*plainWorker
	for i := range zones {
		w := &plainWorker{ip: s.address(151 + i)}
		if err := w.start(); err != nil {
			return err
		}
		workers = append(workers, w)
	}
	s.list = func() []map[string]any {
		var entries []map[string]any
		for i := range zones {
			entries = append(entries, engines[i].listing(), workers[i].listing("wuno96b", zones[i]))
		}
		return entries
	}
	d, err := s.start(3, engines)
	if err != nil {
		return err
	}
	config, plain := engineConfig(1, 5000, modelSmall, modelLarge), plainConfig(1, int(orderTimeout.Milliseconds()))
	orders := plain["routes"].([]any)[0].(map[string]any)
	orders["route_type"], orders["attempts"] = "non_idempotent", 1
	config["routes"] = append(config["routes"].([]any), orders)
	config["backends"] = append(config["backends"].([]any), plain["backends"].([]any)...)
	if err := s.publish(d.voters, config, 10*time.Second); err != nil {
		return err
	}
	if err := d.awaitReady(); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	parts := shortHistory
	if trouble {
		parts = longHistory
	}
	prompts := newHistories(parts)
	s.record.printf("prompts of %d parts; X-Prompt-Prefix has %d bytes", parts, len(prompts.header()))
	var clients sync.WaitGroup
	var mu sync.Mutex
	counts := make(map[string]int)
	overTimeout, late, answered := 0, 0, 0
	streams, place := time.NewTicker(time.Second/streamsPerS), time.NewTicker(time.Second/ordersPerS)
	defer streams.Stop()
	defer place.Stop()
	end := time.After(historyFor)
	for n := 0; ; n++ {
		e := d.entries[rand.IntN(len(d.entries))]
		select {
		case <-end:
			clients.Wait()
			for key, n := range counts {
				s.record.printf("answers: %s: %d", key, n)
			}
			s.record.printf("orders: %d answered in time; %d unanswered at the route's timeout, of which %d without an answer %v later", answered, overTimeout, late, lateAfter)
			if answered == 0 {
				return fmt.Errorf("no order was answered")
			}
			if late >= 8 && 4*late > overTimeout {
				return errBroken
			}
			return nil
		case <-streams.C:
			clients.Go(func() {
				header := map[string]string{"X-Prompt-Prefix": prompts.header()}
				a := stream(e, "/pufi791/2f", modelSmall.name, parts*partTokens, 52, 5*time.Second, header)
				mu.Lock()
				defer mu.Unlock()
				counts[fmt.Sprintf("stream: %d %s, whole %v", a.status, a.reason, a.whole)]++
			})
		case <-place.C:
			clients.Go(func() {
				a := order(e)
				s.record.printf("client: order at %s: %s after %v", e.ip, a, a.took.Round(time.Millisecond))
				mu.Lock()
				defer mu.Unlock()
				counts[fmt.Sprintf("order: %d", a.status)]++
				switch {
				case a.took < orderTimeout && a.status != 0:
					answered++
				default:
					overTimeout++
					if a.took > orderTimeout+lateAfter {
						late++
					}
				}
			})
		}
	}
}
