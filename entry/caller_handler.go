package main

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/catalog"
	"github.com/bamboostep/bamboostep/dispatch"
	"github.com/bamboostep/bamboostep/internal/worker"
	"github.com/bamboostep/bamboostep/timeline"
)

// This file holds the callers' side of an entry: an HTTP handler that takes
// requests for models, adapters and plain services, and gives each one whole
// answer or one clear error.
//
// Callers are old devices, so everything is plain HTTP/1.1 and nothing depends on
// their behaving well. A request that the entry gives up on is answered at once,
// with Retry-After where coming back helps; no answer is held back. An error
// tells whether the request ran, and "not_run" is only said where it is certain.

// fleet is what callers' requests need to know of the system.
type fleet interface {
	// Set returns the current revision, or nil before the first.
	Set() *catalog.Set
	// Servers returns the connected, live, not leaving backend servers of a place.
	Servers(place string) []backendServer
}

// server is one backend server as requests see it.
type backendServer interface {
	VM() bamboostep.VM
	// Report returns the last report and when it came.
	Report() (r bamboostep.Report, at time.Time)
	// Offer runs one attempt. A nil error means that the whole answer was
	// yielded, in order and without gaps; otherwise the error is a
	// *bamboostep.FailedError, whose outcome not_run is a promise.
	Offer(ctx context.Context, offer bamboostep.Offer, startWithin time.Duration, yield func(bamboostep.Answer) error) error
}

// callerLimits bounds what one request may take. Zero fields take defaults.
type callerLimits struct {
	MaxBodyBytes     int64         // request body
	BodyTimeout      time.Duration // request body, from the first byte of the request on
	MaxBufferedBytes int           // plain answer held back until whole, so that it can be retried
	MaxRecordedBytes int           // answer of a non-idempotent request kept for resends
	DeadlineFactor   float64       // deadline of a request, in multiples of its target
	MinDeadline      time.Duration // deadline of a request at least
	StallTimeout     time.Duration // pause in a model's answer after which it is resumed elsewhere
	AnswerTimeout    time.Duration // whole answer of a model at most
	NoServerWait     time.Duration // wait for a backend server to come up
	HeldClaimWait    time.Duration // wait of a resend for the first sending to end
	ClaimTimeout     time.Duration // claim or settlement of a non-idempotent request
	ClaimRetention   time.Duration // recorded answers are kept for so long
	DedupWindow      time.Duration // a repeated body counts as the same request, where the service does not say
	WriteTimeout     time.Duration // a caller that takes nothing for so long is given up
}

const (
	defaultMaxBodyBytes     = 1 << 20
	defaultBodyTimeout      = 30 * time.Second
	defaultMaxBufferedBytes = 256 << 10
	defaultMaxRecordedBytes = 1 << 20
	defaultDeadlineFactor   = 30
	defaultMinDeadline      = 10 * time.Second
	defaultStallTimeout     = 2500 * time.Millisecond
	defaultAnswerTimeout    = 5 * time.Minute
	defaultNoServerWait     = 3 * time.Second
	defaultHeldClaimWait    = 2 * time.Second
	defaultClaimTimeout     = 2 * time.Second
	defaultClaimRetention   = 24 * time.Hour
	defaultDedupWindow      = 10 * time.Minute
	defaultWriteTimeout     = 30 * time.Second
)

func setDefault[T int | int64 | float64 | time.Duration](v *T, def T) {
	if *v == 0 {
		*v = def
	}
}

func (l callerLimits) withDefaults() callerLimits {
	setDefault(&l.MaxBodyBytes, defaultMaxBodyBytes)
	setDefault(&l.BodyTimeout, defaultBodyTimeout)
	setDefault(&l.MaxBufferedBytes, defaultMaxBufferedBytes)
	setDefault(&l.MaxRecordedBytes, defaultMaxRecordedBytes)
	setDefault(&l.DeadlineFactor, defaultDeadlineFactor)
	setDefault(&l.MinDeadline, defaultMinDeadline)
	setDefault(&l.StallTimeout, defaultStallTimeout)
	setDefault(&l.AnswerTimeout, defaultAnswerTimeout)
	setDefault(&l.NoServerWait, defaultNoServerWait)
	setDefault(&l.HeldClaimWait, defaultHeldClaimWait)
	setDefault(&l.ClaimTimeout, defaultClaimTimeout)
	setDefault(&l.ClaimRetention, defaultClaimRetention)
	setDefault(&l.DedupWindow, defaultDedupWindow)
	setDefault(&l.WriteTimeout, defaultWriteTimeout)
	return l
}

// callers is the callers' http.Handler. Set the exported fields before the first
// request.
type callerHandler struct {
	Name              string // of this entry
	FailureDomain     string
	Region            string // own; empty if none is declared
	Fleet             fleet
	Ledger            bamboostep.Ledger
	LedgerReachableAt func() time.Time // when the ledger was last proved to be in reach; may be nil
	Suspects          *dispatch.Suspects
	ShareSuspects     func([]bamboostep.Suspect) // tells the other entries; may be nil
	Recorder          *timeline.Recorder
	Registry          prometheus.Registerer
	Clock             bamboostep.Clock
	Router            bamboostep.Router // dispatch.Balanced if nil
	Admission         dispatch.Admission
	Seed              uint64
	Limits            callerLimits

	once           sync.Once
	firstRequestAt time.Time // when the first request came
	metrics        *callerMetrics
	retryBudget    *dispatch.Budget
	demand         demandTable
	servers        serverTable
	pickCount      atomic.Uint64
	workers        *worker.Pool

	lateRefusalCount atomic.Uint64 // made or due, for being late
}

var _ http.Handler = (*callerHandler)(nil)

func (c *callerHandler) init() {
	c.firstRequestAt = c.Clock.Now()
	c.Limits = c.Limits.withDefaults()
	c.retryBudget = &dispatch.Budget{}
	c.workers = worker.NewPool()
	if c.Router == nil {
		c.Router = dispatch.Balanced{}
	}
	if c.Suspects == nil {
		c.Suspects = &dispatch.Suspects{}
	}
	c.metrics = newCallerMetrics(c.Registry, c.Suspects)
}

// RefusedSuspects returns the requests that are refused because they crash backend
// servers.
func (c *callerHandler) RefusedSuspects() []bamboostep.Suspect {
	c.once.Do(c.init)
	return c.Suspects.Refused(c.Clock.Now())
}

// NoteSuspects takes in all the requests that were running when a backend server
// crashed, as its agent tells them, or what another entry's ShareSuspects sent.
func (c *callerHandler) NoteSuspects(list []bamboostep.Suspect) {
	c.once.Do(c.init)
	c.Suspects.Note(c.Clock.Now(), list)
}

// ServeHTTP implements http.Handler.
func (c *callerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.once.Do(c.init)
	x := c.newExchange(w, r)
	defer x.finish()
	if x.set == nil {
		x.refuse(&bamboostep.RefusedError{Status: http.StatusServiceUnavailable, Code: "no_configuration",
			Message: "this entry has no configuration yet", Outcome: bamboostep.Unknown, RetryAfter: time.Second})
		return
	}
	if !x.readBody() {
		return
	}
	switch r.URL.Path {
	case "/v1/models":
		x.serveModels()
	case "/v1/chat/completions":
		x.serveChat(chatFormat{})
	case "/v1/completions":
		x.serveChat(completionFormat{})
	default:
		x.serveService()
	}
}

// exchange is one request of a caller and the answer to it.
type exchange struct {
	*callerHandler
	w       http.ResponseWriter
	r       *http.Request
	id      bamboostep.RequestID
	set     *catalog.Set
	body    []byte
	started time.Time

	target    string // model, adapter or service
	class     bamboostep.Class
	offerMade bool // the first offer was made
	status    int  // sent to the caller; 0 before
}

func (c *callerHandler) newExchange(w http.ResponseWriter, r *http.Request) *exchange {
	x := &exchange{callerHandler: c, w: w, r: r, set: c.Fleet.Set(), started: c.Clock.Now()}
	x.id = newRequestID()
	w.Header().Set("X-Request-Id", string(x.id))
	c.metrics.inFlight.Inc()
	return x
}

// newRequestID returns a UUID of version 7, which holds the time it was made.
func newRequestID() bamboostep.RequestID {
	id, err := uuid.NewV7()
	if err != nil {
		id = uuid.New()
	}
	return bamboostep.RequestID(id.String())
}

func (x *exchange) finish() {
	x.metrics.inFlight.Dec()
	x.metrics.countRequest(x)
}

// note records an event of the request's time line.
func (x *exchange) recordEvent(e timeline.Event) {
	e.Request = x.id
	e.Model = x.target
	if e.Revision == 0 {
		e.Revision = x.set.Revision()
	}
	x.Recorder.Record(e)
}

// readBody reads the body within a time. The deadline is lifted afterwards, or it
// would end the connection while the answer is still made.
func (x *exchange) readBody() bool {
	controller := http.NewResponseController(x.w)
	controller.SetReadDeadline(x.started.Add(x.Limits.BodyTimeout))
	body, err := readAll(http.MaxBytesReader(x.w, x.r.Body, x.Limits.MaxBodyBytes), x.r.ContentLength)
	controller.SetReadDeadline(time.Time{})
	if err == nil {
		x.body = body
		return true
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		x.refuse(clientError(http.StatusRequestEntityTooLarge, "body_too_large", "the body is larger than "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes"))
		return false
	}
	x.refuse(clientError(http.StatusBadRequest, "body_unreadable", "the body could not be read: "+err.Error()))
	return false
}

// badRequest is a refusal that every sending of the same request gets, so none ran.
func clientError(status int, code, message string) *bamboostep.RefusedError {
	return &bamboostep.RefusedError{Status: status, Code: code, Message: message, Outcome: bamboostep.NotRun}
}

type errorResponse struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code      string             `json:"code"`
	Message   string             `json:"message"`
	Outcome   bamboostep.Outcome `json:"outcome"`
	RequestID string             `json:"request_id"`
}

func (x *exchange) newErrorResponse(e *bamboostep.RefusedError) errorResponse {
	return errorResponse{errorDetail{e.Code, e.Message, e.Outcome, string(x.id)}}
}

// refuse answers with an error, before anything else was sent.
func (x *exchange) refuse(e *bamboostep.RefusedError) {
	x.recordRefusal(e)
	x.writeError(e)
}

func (x *exchange) recordRefusal(e *bamboostep.RefusedError) {
	x.metrics.refusals.WithLabelValues(e.Code).Inc()
	if x.set != nil {
		x.recordEvent(timeline.Event{Kind: "refused", Detail: e.Code + " " + string(e.Outcome)})
	}
}

func (x *exchange) writeError(e *bamboostep.RefusedError) {
	if e.RetryAfter > 0 {
		seconds := int(math.Ceil(e.RetryAfter.Seconds()))
		x.w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	x.writeJSON(e.Status, x.newErrorResponse(e))
}

func (x *exchange) writeJSON(status int, v any) {
	x.status = status
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(x.w, err.Error(), http.StatusInternalServerError)
		return
	}
	x.w.Header().Set("Content-Type", "application/json")
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(status)
	x.w.Write(body)
}

// startLimit returns how long a request may wait for the first piece of its answer.
func (x *exchange) startTimeout(target time.Duration) time.Duration {
	return max(time.Duration(float64(target)*x.Limits.DeadlineFactor), x.Limits.MinDeadline)
}

// caller returns the address of the caller without its port.
func (x *exchange) callerAddress() string {
	host, _, err := net.SplitHostPort(x.r.RemoteAddr)
	if err != nil {
		return x.r.RemoteAddr
	}
	return host
}
