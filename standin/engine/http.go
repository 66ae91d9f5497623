package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/standin/internal/listen"
)

const maxBody = 64 << 20 // bytes

type generateRequest struct {
	Attempt  bamboostep.AttemptID `json:"attempt"`
	Model    string               `json:"model"`
	Adapter  string               `json:"adapter"`
	Request  json.RawMessage      `json:"request"`
	Prior    string               `json:"prior"`
	Priority int                  `json:"priority"`
	Prefix   []uint64             `json:"prefix"`
}

type attemptRequest struct {
	Attempt bamboostep.AttemptID `json:"attempt"`
}

type emptyAnswer struct{}

// Handler starts the engine and returns its HTTP interface.
func (e *Engine) Handler() http.Handler {
	e.start()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /generate", e.serveGenerate)
	mux.HandleFunc("POST /cancel", e.serveCancel)
	mux.HandleFunc("POST /orders", e.serveOrder)
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, r *http.Request) {
		listen.WriteJSON(w, http.StatusOK, e.state(time.Now()))
	})
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, r *http.Request) {
		listen.WriteJSON(w, http.StatusOK, e.stats())
	})
	mux.HandleFunc("POST /kv/export", e.serveExport)
	mux.HandleFunc("POST /kv/import", e.serveImport)
	return mux
}

// readJSON reads the body into v, or answers with a failure.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(v)
	if err != nil {
		listen.WriteFailure(w, http.StatusBadRequest, codeBad, err.Error())
	}
	return err == nil
}

func writeFailure(w http.ResponseWriter, f *listen.Failure) {
	listen.WriteJSON(w, statusOf[f.Code], f)
}

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var g generateRequest
	if !readJSON(w, r, &g) {
		return
	}
	io.Copy(io.Discard, r.Body) // lets the server notice that the caller went
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	s, err := newSequence(ctx, cancel, g, e.CrashOn)
	if err != nil {
		listen.WriteFailure(w, http.StatusBadRequest, codeBad, err.Error())
		return
	}
	if f := e.enqueue(s); f != nil {
		writeFailure(w, f)
		return
	}
	e.stream(w, s)
}

func newSequence(ctx context.Context, cancel context.CancelFunc, g generateRequest, crashOn string) (*sequence, error) {
	prompt, n, err := Prompt(g.Request)
	if err != nil {
		return nil, err
	}
	seed := answerSeed(g.Model, g.Adapter, prompt)
	next, rest, err := skip(seed, g.Prior)
	if err != nil {
		return nil, err
	}
	return &sequence{
		ctx: ctx, cancel: cancel,
		attempt: g.Attempt, model: g.Model, adapter: g.Adapter,
		seed: seed, next: next, end: max(n, next), rest: rest,
		prefix: g.Prefix, promptTokens: words(prompt), priority: g.Priority,
		crashes: crashOn != "" && strings.Contains(prompt, crashOn),
		out:     make(chan piece, max(n-next, 0)+2),
	}, nil
}

// stream writes the pieces of s as they come. The status is sent with the first,
// so that a failure before it has a status of its own.
func (e *Engine) stream(w http.ResponseWriter, s *sequence) {
	rc := http.NewResponseController(w)
	enc := json.NewEncoder(w)
	for first := true; ; first = false {
		select {
		case p := <-s.out:
			if first && p.Code != "" {
				writeFailure(w, &listen.Failure{Code: p.Code, Message: p.Message})
				return
			}
			if enc.Encode(p) != nil || rc.Flush() != nil || p.Done || p.Code != "" {
				return
			}
		case <-s.ctx.Done():
			return
		case <-e.stop:
			return
		}
	}
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var c attemptRequest
	if !readJSON(w, r, &c) {
		return
	}
	e.cancelAttempt(c.Attempt)
	listen.WriteJSON(w, http.StatusOK, emptyAnswer{})
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o bamboostep.Order
	if !readJSON(w, r, &o) {
		return
	}
	io.Copy(io.Discard, r.Body)
	f := e.do(o)
	if e.losesAnswer() {
		select {
		case <-r.Context().Done():
		case <-e.stop:
		}
		panic(http.ErrAbortHandler)
	}
	if f != nil {
		writeFailure(w, f)
		return
	}
	listen.WriteJSON(w, http.StatusOK, emptyAnswer{})
}

func (e *Engine) losesAnswer() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.LoseOrders > 0 && e.orders%e.LoseOrders == 0
}
