package main

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/bamboostep/bamboostep/scenario/caller"
	"github.com/bamboostep/bamboostep/scenario/cluster"
	"github.com/bamboostep/bamboostep/standin/engine"
)

// Commands that send requests and check their answers.

func (s *scenario) call(ts *testscript.TestScript, args []string) error {
	if err := s.begin(ts, args); err != nil {
		return err
	}
	return s.finish(ts, args)
}

// callWithin calls again until the status is 200, as a caller does that is told when
// to come back.
func (s *scenario) callWithin(ts *testscript.TestScript, args []string) error {
	span, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	return cluster.Eventually(span, "status 200 for "+args[1], func() error {
		if err := s.call(ts, args[1:]); err != nil {
			return err
		}
		return s.expect(ts, []string{args[1], "status", "200"})
	})
}

func (s *scenario) begin(ts *testscript.TestScript, args []string) error {
	begun := make(chan struct{})
	send, want, err := s.request(args[1], args[2:], func() { close(begun) })
	if err != nil {
		return err
	}
	p := &pendingCall{done: make(chan struct{}), begun: begun, want: want}
	s.mu.Lock()
	s.calls[args[0]] = p
	s.mu.Unlock()
	s.waiting.Go(func() {
		defer close(p.done)
		ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
		defer cancel()
		p.answer, p.err = send(ctx)
	})
	return nil
}

// request returns what sends the request that the arguments describe, and the
// reference text of a model's answer.
func (s *scenario) request(entry string, args []string, begun func()) (func(context.Context) (caller.Answer, error), string, error) {
	c := &caller.Caller{BaseURL: s.cluster.CallersURL(entry), Begun: begun}
	if args[0] == "post" {
		return func(ctx context.Context) (caller.Answer, error) { return c.Post(ctx, args[1], []byte(args[2])) }, "", nil
	}
	if len(args) != 4 {
		return nil, "", fmt.Errorf("got %q, want chat or stream, a model, a prompt and a number of tokens", args)
	}
	n, err := strconv.Atoi(args[3])
	if err != nil {
		return nil, "", err
	}
	prompt := expandPrompt(args[2])
	want := engine.Reference(args[1], "", prompt, n)
	if args[0] == "stream" {
		return func(ctx context.Context) (caller.Answer, error) { return c.Stream(ctx, args[1], prompt, n) }, want, nil
	}
	return func(ctx context.Context) (caller.Answer, error) { return c.Chat(ctx, args[1], prompt, n) }, want, nil
}

// expandPrompt writes out a prompt of the form N*WORD.
func expandPrompt(prompt string) string {
	count, word, ok := strings.Cut(prompt, "*")
	n, err := strconv.Atoi(count)
	if !ok || err != nil {
		return prompt
	}
	return strings.Repeat(word+" ", n)
}

func (s *scenario) finish(ts *testscript.TestScript, args []string) error {
	p, err := s.pending(args[0])
	if err != nil {
		return err
	}
	<-p.done
	ts.Logf("%s: %s %v", args[0], p.answer, p.err)
	return nil
}

func (s *scenario) pending(name string) (*pendingCall, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.calls[name]
	if p == nil {
		return nil, fmt.Errorf("no call is named %q", name)
	}
	return p, nil
}

func (s *scenario) expect(ts *testscript.TestScript, args []string) error {
	p, err := s.pending(args[0])
	if err != nil {
		return err
	}
	<-p.done
	if args[1] == "no_answer" {
		if p.err == nil {
			return fmt.Errorf("got %s, want no answer at all", p.answer)
		}
		return nil
	}
	if p.err != nil {
		return p.err
	}
	return s.expectAnswer(p, args[1:])
}

func (s *scenario) expectAnswer(p *pendingCall, args []string) error {
	a := p.answer
	got, want := "", ""
	switch args[0] {
	case "whole":
		if a.Broken != nil {
			return a.Broken
		}
		got, want = fmt.Sprint(a.Status, " ", a.Text), "200 "+p.want
	case "status":
		got, want = fmt.Sprint(a.Status), args[1]
	case "code":
		got, want = a.Code, args[1]
	case "outcome":
		got, want = a.Outcome, args[1]
	case "same":
		other, err := s.pending(args[1])
		if err != nil {
			return err
		}
		got, want = a.Body, other.answer.Body
	case "before":
		return expectBefore(a, args[1])
	case "retry_after":
		if a.RetryAfter == "" {
			return errors.New("got no Retry-After")
		}
	default:
		return fmt.Errorf("expect knows no %q", args[0])
	}
	if got != want {
		return fmt.Errorf("got %s %q, want %q (%s)", args[0], got, want, a)
	}
	return nil
}

func expectBefore(a caller.Answer, span string) error {
	limit, err := time.ParseDuration(span)
	if err != nil {
		return err
	}
	if a.Whole > limit {
		return fmt.Errorf("got the whole answer after %v, want before %v", a.Whole, limit)
	}
	return nil
}
