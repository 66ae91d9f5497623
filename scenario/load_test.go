package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/bamboostep/bamboostep/scenario/caller"
	"github.com/bamboostep/bamboostep/scenario/cluster"
	"github.com/bamboostep/bamboostep/standin/engine"
)

const loadTokens = 8

// steadyLoad sends requests at a steady rate and keeps what went wrong. A caller
// that gets no connection at all goes to the next entry, as the platform's
// balancer would send it.
type steadyLoad struct {
	urls  []string
	model string
	every time.Duration

	cancel  context.CancelFunc
	stopped chan struct{}

	mu     sync.Mutex
	sent   int
	failed []string
	worst  time.Duration
}

func (s *scenario) load(ts *testscript.TestScript, args []string) error {
	rate, err := strconv.Atoi(args[3])
	if err != nil {
		return err
	}
	l := &steadyLoad{model: args[2], every: time.Second / time.Duration(rate), stopped: make(chan struct{})}
	for _, entry := range strings.Split(args[1], ",") {
		l.urls = append(l.urls, s.cluster.CallersURL(entry))
	}
	ctx, cancel := context.WithCancel(s.ctx)
	l.cancel = cancel
	s.loads[args[0]] = l
	go l.run(ctx, s.ctx)
	return nil
}

func (s *scenario) unload(ts *testscript.TestScript, args []string) error {
	l := s.loads[args[0]]
	if l == nil {
		return fmt.Errorf("no load is named %q", args[0])
	}
	allowed := 0
	if len(args) > 1 {
		var err error
		if allowed, err = strconv.Atoi(args[1]); err != nil {
			return err
		}
	}
	l.end()
	ts.Logf("load %s: %d sent, %d not whole, longest %v", args[0], l.sent, len(l.failed), l.worst)
	if l.sent == 0 {
		return fmt.Errorf("load %q sent nothing", args[0])
	}
	if len(l.failed) > allowed {
		return fmt.Errorf("load %q: %d of %d requests were not whole, want at most %d: %s", args[0], len(l.failed), l.sent, allowed, l.failed[0])
	}
	return nil
}

// answered waits until the load has had n more answers.
func (s *scenario) answered(ts *testscript.TestScript, args []string) error {
	l := s.loads[args[0]]
	if l == nil {
		return fmt.Errorf("no load is named %q", args[0])
	}
	n, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	want := l.count() + n
	return cluster.Eventually(placedWithin, "answers to "+args[0], func() error {
		if got := l.count(); got < want {
			return fmt.Errorf("got %d answers, want %d", got, want)
		}
		return nil
	})
}

func (l *steadyLoad) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent
}

func (l *steadyLoad) end() {
	l.cancel()
	<-l.stopped
}

// run starts requests until ctx ends and lets those that run finish under
// whole's time.
func (l *steadyLoad) run(ctx, whole context.Context) {
	defer close(l.stopped)
	var all sync.WaitGroup
	defer all.Wait()
	t := time.NewTicker(l.every)
	defer t.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			all.Go(func() { l.one(whole, i) })
		}
	}
}

func (l *steadyLoad) one(ctx context.Context, i int) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	prompt := fmt.Sprintf("load request %d", i)
	a, err := l.send(ctx, i, prompt)
	issue := ""
	want := engine.Reference(l.model, "", prompt, loadTokens)
	switch {
	case err != nil:
		issue = err.Error()
	case a.Status != http.StatusOK || a.Text != want || a.Broken != nil:
		issue = a.String()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent++
	l.worst = max(l.worst, a.Whole)
	if issue != "" {
		l.failed = append(l.failed, issue)
	}
}

func (l *steadyLoad) send(ctx context.Context, i int, prompt string) (caller.Answer, error) {
	var a caller.Answer
	var err error
	for k := range l.urls {
		c := &caller.Caller{BaseURL: l.urls[(i+k)%len(l.urls)]}
		if a, err = c.Stream(ctx, l.model, prompt, loadTokens); err == nil || !failedToConnect(err) {
			return a, err
		}
	}
	return a, err
}

// failedToConnect reports whether a caller got no connection, so that nothing of its request was sent: nobody listens, or the listener was
// closed before the caller's side knew that it was connected, which resets the connection.
func failedToConnect(err error) bool {
	var dial *net.OpError
	if !errors.As(err, &dial) || dial.Op != "dial" {
		return false
	}
	return errors.Is(dial, syscall.ECONNREFUSED) || errors.Is(dial, syscall.ECONNRESET)
}
