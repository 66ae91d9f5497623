package engine

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/standin/internal/listen"
)

// kvCache stands for the KV cache of one sequence. An attempt whose cache was
// imported before it started has nothing left to prefill.
type kvCache struct {
	Seed   uint64 `json:"seed"`
	Tokens int    `json:"tokens"`
	Filler string `json:"filler"` // makes it as large as KVBytes says
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	var a attemptRequest
	if !readJSON(w, r, &a) {
		return
	}
	s := e.find(a.Attempt)
	if s == nil {
		listen.WriteFailure(w, http.StatusNotFound, "unknown_attempt", "attempt is not running")
		return
	}
	e.mu.Lock()
	kv := kvCache{Seed: s.seed, Tokens: s.next}
	size := (s.promptTokens + s.next) * e.KVBytes
	e.mu.Unlock()
	kv.Filler = strings.Repeat("x", size)
	listen.WriteJSON(w, http.StatusOK, kv)
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var kv kvCache
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&kv); err != nil {
		listen.WriteFailure(w, http.StatusBadRequest, codeBad, err.Error())
		return
	}
	e.mu.Lock()
	e.imported[bamboostep.AttemptID(r.URL.Query().Get("attempt"))] = kv
	e.mu.Unlock()
	listen.WriteJSON(w, http.StatusOK, emptyAnswer{})
}
