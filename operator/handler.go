package operator

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/catalog"
	"github.com/bamboostep/bamboostep/ledger"
	"github.com/bamboostep/bamboostep/memory"
	"github.com/bamboostep/bamboostep/timeline"
)

// Handler serves the operators' HTTP under /operator/v1/. Set the exported fields
// before the first request.
type Handler struct {
	Ledger    bamboostep.Ledger
	Set       func() *catalog.Set // in force at this entry; nil before the first
	Revisions func() []bamboostep.Revision
	Status    func() Status
	Timeline  func(ctx context.Context, q timeline.Query) []timeline.Event
	Voters    Voters         // nil if the entry cannot change them
	Memory    *memory.Budget // for bodies that arrive, and time lines that are read; nil for any number
	Token     string         // bearer token that operators must send; none is asked for if empty

	once       sync.Once
	mux        http.ServeMux
	collecting chan struct{} // holds a value while a time line is collected
}

// Voters changes who votes in the ledger. *ledger.Client is one.
type Voters interface {
	AddVoter(ctx context.Context, m ledger.Member) error
	RemoveVoter(ctx context.Context, m ledger.Member) error
}

var _ Voters = (*ledger.Client)(nil)

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.once.Do(h.register)
	if !h.authorized(r) {
		w.Header().Set("WWW-Authenticate", "Bearer")
		h.refuse(w, http.StatusUnauthorized, errorDetail{Code: codeUnauthorized, Message: "bearer token is missing or wrong"})
		return
	}
	h.mux.ServeHTTP(w, r)
}

func (h *Handler) register() {
	h.collecting = make(chan struct{}, 1)
	h.mux.HandleFunc("GET "+pathSet, h.serveSet)
	h.mux.HandleFunc("POST "+pathPublish, h.servePublish)
	h.mux.HandleFunc("GET "+pathStatus, h.serveStatus)
	h.mux.HandleFunc("POST "+pathDrain, h.serveDrain)
	if h.Voters != nil {
		h.mux.HandleFunc("POST "+pathVoters, h.serveVoters)
	}
	h.mux.HandleFunc("GET "+pathRevisions, h.serveRevisions)
	h.mux.HandleFunc("GET "+pathTimeline, h.serveTimeline)
	h.mux.HandleFunc(pathPrefix, func(w http.ResponseWriter, r *http.Request) {
		message := fmt.Sprintf("%s %s is unknown", r.Method, r.URL.Path)
		h.refuse(w, http.StatusNotFound, errorDetail{Code: codeNotFound, Message: message})
	})
}

// authorized compares hashes, so that the time taken tells nothing about the
// token, not even its length.
func (h *Handler) authorized(r *http.Request) bool {
	if h.Token == "" {
		return true
	}
	given, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	got, want := sha256.Sum256([]byte(given)), sha256.Sum256([]byte(h.Token))
	return subtle.ConstantTimeCompare(got[:], want[:]) == 1 && ok
}

func (h *Handler) serveSet(w http.ResponseWriter, r *http.Request) {
	var body setBody
	if s := h.Set(); s != nil {
		body = setBody{s.Revision(), s.Objects()}
	}
	h.answer(w, body)
}

func (h *Handler) serveStatus(w http.ResponseWriter, r *http.Request) {
	h.answer(w, h.Status())
}

func (h *Handler) serveRevisions(w http.ResponseWriter, r *http.Request) {
	h.answer(w, h.Revisions())
}

func (h *Handler) serveTimeline(w http.ResponseWriter, r *http.Request) {
	q, err := timeline.ParseQuery(r.URL.Query())
	if err != nil {
		h.refuse(w, http.StatusBadRequest, errorDetail{Code: codeBadRequest, Message: err.Error()})
		return
	}
	text, err := h.collectTimeline(r.Context(), q)
	if err != nil {
		h.refuse(w, http.StatusServiceUnavailable, errorDetail{Code: codeUnavailable, Message: err.Error(), Known: true})
		return
	}
	held := h.Memory.Open()
	defer held.Close()
	c := http.NewResponseController(w)
	held.Owner = memory.OwnerFunc(func() { _ = c.SetWriteDeadline(time.Now()) }) // fails only on a connection that is closed
	if err := held.Resize(time.Now(), int64(len(text))); err != nil {
		h.refuse(w, http.StatusServiceUnavailable, errorDetail{Code: codeUnavailable, Message: err.Error(), Known: true})
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text) // fails only if the operator has left
}

// collectTimeline returns the events of all processes that q selects, as a list in JSON. The events take several times the memory of the list, so that they are collected for one
// request at a time. It blocks until those before it are done; the error is that of ctx, or of the encoder.
func (h *Handler) collectTimeline(ctx context.Context, q timeline.Query) ([]byte, error) {
	select {
	case h.collecting <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-h.collecting }()
	events := h.Timeline(ctx, q)
	if events == nil {
		events = []timeline.Event{}
	}
	text, err := json.Marshal(events)
	return append(text, '\n'), err
}

func (h *Handler) servePublish(w http.ResponseWriter, r *http.Request) {
	var body publishBody
	if !h.readBody(w, r, &body) {
		return
	}
	if body.ID == "" {
		h.refuse(w, http.StatusBadRequest, errorDetail{Code: codeBadRequest, Message: "field \"id\" is missing"})
		return
	}
	revision, err := h.publish(r.Context(), body)
	if err != nil {
		h.refuseError(w, err)
		return
	}
	h.answer(w, revision)
}

func (h *Handler) publish(ctx context.Context, body publishBody) (bamboostep.Revision, error) {
	if err := catalog.Check(body.Objects); err != nil {
		return bamboostep.Revision{}, err
	}
	set := catalog.New(body.Objects)
	data, err := set.Encode()
	if err != nil {
		return bamboostep.Revision{}, err
	}
	revision, err := h.Ledger.Publish(ctx, bamboostep.Publication{
		ID: body.ID, BaseRevision: body.Based, Author: body.Author, Set: data,
	})
	var conflict *bamboostep.ConflictError
	if errors.As(err, &conflict) {
		return revision, h.conflict(ctx, conflict, set)
	}
	return revision, err
}

// conflict adds to a conflict what differs. The winner's set may not have
// reached this entry yet.
func (h *Handler) conflict(ctx context.Context, c *bamboostep.ConflictError, refused *catalog.Set) error {
	ctx, cancel := context.WithTimeout(ctx, conflictWait)
	defer cancel()
	e := &ConflictError{Based: c.BaseRevision, Newest: c.Newest}
	if s := h.awaitSet(ctx, c.Newest.Number); s != nil {
		e.Differs = catalog.Diff(s, refused)
	}
	return e
}

func (h *Handler) awaitSet(ctx context.Context, revision uint64) *catalog.Set {
	t := time.NewTicker(conflictPoll)
	defer t.Stop()
	for {
		if s := h.Set(); s != nil && s.Revision() >= revision {
			return s
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

func (h *Handler) serveDrain(w http.ResponseWriter, r *http.Request) {
	var body drainBody
	if !h.readBody(w, r, &body) {
		return
	}
	if body.VM == "" {
		h.refuse(w, http.StatusBadRequest, errorDetail{Code: codeBadRequest, Message: "field \"vm\" is missing"})
		return
	}
	if err := h.Ledger.Drain(r.Context(), body.VM, body.Leaving); err != nil {
		h.refuseError(w, err)
		return
	}
	h.answer(w, doneBody{})
}

func (h *Handler) serveVoters(w http.ResponseWriter, r *http.Request) {
	var body voterBody
	if !h.readBody(w, r, &body) {
		return
	}
	if body.Voter.Name == "" || body.Add && body.Voter.Address == "" {
		h.refuse(w, http.StatusBadRequest, errorDetail{Code: codeBadRequest, Message: "field \"name\" or \"address\" is missing"})
		return
	}
	change := h.Voters.RemoveVoter
	if body.Add {
		change = h.Voters.AddVoter
	}
	if err := change(r.Context(), body.Voter); err != nil {
		h.refuseError(w, err)
		return
	}
	h.answer(w, doneBody{})
}

// readBody decodes the body of a request into v. If that fails, it responds and returns false.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, v any) bool {
	held := h.Memory.Open()
	defer held.Close()
	data, err := readBody(w, r, &held, maxBodyBytes)
	var full *memory.FullError
	if errors.As(err, &full) {
		h.refuse(w, http.StatusServiceUnavailable, errorDetail{Code: codeUnavailable, Message: err.Error(), Known: true})
		return false
	}
	if err == nil {
		dec := json.NewDecoder(bytes.NewReader(data))
		dec.DisallowUnknownFields()
		err = dec.Decode(v)
	}
	if err != nil {
		h.refuse(w, http.StatusBadRequest, errorDetail{Code: codeBadRequest, Message: "body: " + err.Error()})
		return false
	}
	return true
}

func (h *Handler) answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

func (h *Handler) refuse(w http.ResponseWriter, status int, detail errorDetail) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(errorBody{detail})
}

func (h *Handler) refuseError(w http.ResponseWriter, err error) {
	status, detail := describe(err)
	h.refuse(w, status, detail)
}

// describe returns the HTTP status and the body of an error.
func describe(err error) (int, errorDetail) {
	detail := errorDetail{Message: err.Error()}
	var problems *catalog.ProblemsError
	var conflict *ConflictError
	var unavailable *bamboostep.UnavailableError
	var refused *ledger.RefusedError
	var membership *ledger.MembershipError
	switch {
	case errors.As(err, &problems):
		detail.Code, detail.Problems = codeInvalid, problems.Problems
		return http.StatusUnprocessableEntity, detail
	case errors.As(err, &conflict):
		detail.Code, detail.Conflict = codeConflict, conflict
		return http.StatusConflict, detail
	case errors.As(err, &unavailable):
		detail.Code, detail.Known = codeUnavailable, unavailable.NotApplied
		return http.StatusServiceUnavailable, detail
	case errors.As(err, &refused):
		detail.Code = refused.Code
		return http.StatusUnprocessableEntity, detail
	case errors.As(err, &membership):
		detail.Code = codeMembership
		return http.StatusConflict, detail
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		detail.Code = codeUnavailable
		return http.StatusServiceUnavailable, detail
	}
	detail.Code = codeInternal
	return http.StatusInternalServerError, detail
}

var _ http.Handler = (*Handler)(nil)
