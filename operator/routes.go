package operator

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/ledger"
	"github.com/bamboostep/bamboostep/memory"
	"github.com/bamboostep/bamboostep/route"
	"github.com/bamboostep/bamboostep/timeline"
)

// Numbered publishes sets under numbers. *ledger.Client is one.
type Numbered interface {
	PublishNumbered(ctx context.Context, number uint64, set []byte) (bamboostep.Revision, error)
	Barrier(ctx context.Context) error
	State() *ledger.State
}

var _ Numbered = (*ledger.Client)(nil)

const (
	maxRoutesBytes = 4 << 20
	publishTimeout = 950 * time.Millisecond // an operator goes to another process after a second
	routesTimeout  = 900 * time.Millisecond
)

// Routes serves the routes of plain HTTP requests to operators: one handler
// publishes a whole set, one reads the newest. The highest number wins, so a set may
// be sent again, to any voter, and is acknowledged again. Set the exported fields
// before the first request.
//
// An acknowledgement says that a quorum holds the set, or a newer one, on disk. A
// read asks a quorum whether there is a newer set, and is refused when none answers.
type Routes struct {
	Ledger   Numbered
	Decode   func(data []byte) (route.Table, error)
	Memory   *memory.Budget // for sets that arrive; nil for any number
	Recorder *timeline.Recorder
}

// Publish takes a set.
func (h *Routes) Publish(w http.ResponseWriter, r *http.Request) {
	held := h.Memory.Open()
	defer held.Close()
	data, err := readBody(w, r, &held, maxRoutesBytes)
	var large *memory.TooLargeError
	var full *memory.FullError
	switch {
	case errors.As(err, &large):
		h.refuse(w, http.StatusRequestEntityTooLarge, "routes_too_large", err)
		return
	case errors.As(err, &full):
		h.refuse(w, http.StatusServiceUnavailable, "memory_full", err)
		return
	case err != nil:
		h.refuse(w, http.StatusBadRequest, "routes_cut_short", err)
		return
	}
	table, err := h.Decode(data)
	if err == nil {
		_, err = table.Freeze()
	}
	if err != nil {
		h.refuse(w, http.StatusBadRequest, "routes_refused", err)
		return
	}
	h.publish(w, r, table.Revision, data)
}

func (h *Routes) publish(w http.ResponseWriter, r *http.Request, number uint64, data []byte) {
	ctx, cancel := context.WithTimeout(r.Context(), publishTimeout)
	defer cancel()
	newest, err := h.Ledger.PublishNumbered(ctx, number, data)
	if err != nil {
		h.refuse(w, http.StatusServiceUnavailable, "routes_not_acknowledged", err)
		return
	}
	h.Recorder.Record(timeline.Event{Kind: "routes_acknowledged", Revision: number, Detail: "newest " + newest.At.Format(time.RFC3339Nano)})
	w.WriteHeader(http.StatusOK)
}

// Read answers with the newest set, as it was published.
func (h *Routes) Read(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), routesTimeout)
	defer cancel()
	if err := h.Ledger.Barrier(ctx); err != nil {
		h.refuse(w, http.StatusServiceUnavailable, "routes_not_proved_newest", err)
		return
	}
	data, number := h.Ledger.State().Set()
	if data == nil {
		h.refuse(w, http.StatusServiceUnavailable, "no_routes", nil)
		return
	}
	h.Recorder.Record(timeline.Event{Kind: "routes_read", Revision: number})
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data) // the operator asks again
}

func (h *Routes) refuse(w http.ResponseWriter, status int, kind string, err error) {
	detail := http.StatusText(status)
	if err != nil {
		detail = err.Error()
	}
	h.Recorder.Record(timeline.Event{Kind: kind, Detail: detail})
	http.Error(w, kind, status)
}
