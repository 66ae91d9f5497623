package engine

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/standin/internal/listen"
)

// One goroutine runs the batch. In each step every running sequence gets one
// token, and waiting sequences join as soon as there is room, the most important
// first. A step costs a base time, a share for each sequence, and the prefill of
// the sequences that joined in it.

// sequence is one attempt in the engine.
type sequence struct {
	ctx            context.Context
	attempt        bamboostep.AttemptID
	model, adapter string
	seed           uint64
	next, end      int // tokens
	rest           string
	prefix         []uint64
	promptTokens   int
	priority       int
	arrival        int
	crashes        bool
	cancel         context.CancelFunc
	out            chan piece // holds the whole answer, so that the batch never blocks
}

// piece is one object of the answer's stream.
type piece struct {
	Text    string `json:"text,omitempty"`
	Tokens  int    `json:"tokens,omitempty"`
	Done    bool   `json:"done,omitempty"`
	Finish  string `json:"finish,omitempty"`
	Code    string `json:"code,omitempty"`
	Message string `json:"message,omitempty"`
}

// enqueue takes s in, or returns why not.
func (e *Engine) enqueue(s *sequence) *listen.Failure {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.resident(s.model, s.adapter) {
		return &listen.Failure{Code: codeNotResident, Message: "model or adapter is not resident"}
	}
	if len(e.waiting) >= e.MaxWaiting {
		return &listen.Failure{Code: codeFull, Message: "queue is full"}
	}
	e.arrivals++
	s.arrival = e.arrivals
	e.waiting = append(e.waiting, s)
	slices.SortFunc(e.waiting, func(a, b *sequence) int {
		if a.priority != b.priority {
			return a.priority - b.priority
		}
		return a.arrival - b.arrival
	})
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return nil
}

func (e *Engine) runBatch() {
	for {
		span, busy := e.beginStep(time.Now())
		if !busy {
			select {
			case <-e.wake:
				continue
			case <-e.stop:
				return
			}
		}
		select {
		case <-time.After(span):
			e.endStep()
		case <-e.stop:
			return
		}
	}
}

// beginStep lets sequences join and returns how long the step takes.
func (e *Engine) beginStep(now time.Time) (span time.Duration, busy bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropCancelled()
	span = e.Step
	for len(e.waiting) > 0 && len(e.running) < e.MaxBatch {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, s)
		e.started++
		span += time.Duration(e.prefill(now, s)) * e.PrefillToken
	}
	return span + time.Duration(len(e.running))*e.StepPerSeq, len(e.running) > 0
}

// prefill returns the prompt tokens that must be computed for s.
func (e *Engine) prefill(now time.Time, s *sequence) int {
	hits := e.cache.use(now, s.model, s.adapter, s.prefix)
	if kv, ok := e.imported[s.attempt]; ok {
		delete(e.imported, s.attempt)
		if kv.Seed == s.seed {
			return 1
		}
	}
	tokens := s.promptTokens + s.next
	if len(s.prefix) > 0 {
		tokens -= s.promptTokens * hits / len(s.prefix)
	}
	return max(tokens, 1)
}

func (e *Engine) dropCancelled() {
	gone := func(s *sequence) bool { return s.ctx.Err() != nil }
	e.waiting = slices.DeleteFunc(e.waiting, gone)
	e.running = slices.DeleteFunc(e.running, gone)
}

// endStep gives every running sequence its token.
func (e *Engine) endStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running = slices.DeleteFunc(e.running, e.advance)
}

// advance gives s its next token and reports whether s has ended.
func (e *Engine) advance(s *sequence) bool {
	if s.crashes {
		e.Exit(crashStatus)
	}
	if !e.resident(s.model, s.adapter) {
		s.out <- piece{Code: codeNotResident, Message: "model or adapter was unloaded"}
		return true
	}
	if s.rest != "" {
		s.out <- piece{Text: s.rest}
		s.rest = ""
	}
	if s.next < s.end {
		s.out <- piece{Text: token(s.seed, s.next), Tokens: 1}
		s.next++
	}
	if s.next < s.end {
		return false
	}
	s.out <- piece{Done: true, Finish: "stop"}
	return true
}

// cancelAttempt ends the named attempt and reports whether it was there.
func (e *Engine) cancelAttempt(id bamboostep.AttemptID) bool {
	s := e.find(id)
	if s == nil {
		return false
	}
	s.cancel()
	return true
}

func (e *Engine) find(id bamboostep.AttemptID) *sequence {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range slices.Concat(e.running, e.waiting) {
		if s.attempt == id {
			return s
		}
	}
	return nil
}

func words(prompt string) int { return len(strings.Fields(prompt)) }
