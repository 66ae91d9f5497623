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
	"github.com/bamboostep/bamboostep/memory"
	"github.com/bamboostep/bamboostep/timeline"
)

// This file implements the HTTP handler for callers. It serves requests for
// models, adapters and plain services, and answers each with one complete response
// or one error.
//
// Callers may be old devices, so the API is plain HTTP/1.1 and nothing relies on
// well-behaved clients. When the entry gives up on a request it answers at once,
// with Retry-After if a retry can help. An error states whether the request ran;
// "not_run" is only used when that is certain.

// fleet is the view of the system that is needed to serve requests.
type fleet interface {
	// Set returns the active configuration, or nil before the first one.
	Set() *catalog.Set
	// Servers returns the backend servers of a place that are connected and accept
	// new work.
	Servers(place string) []backendServer
}

// backendServer is a backend server that attempts are sent to.
type backendServer interface {
	VM() bamboostep.VM
	// Report returns the last load report and the time it arrived.
	Report() (r bamboostep.Report, at time.Time)
	// Offer runs one attempt and passes each piece of the answer to yield, in
	// order and without gaps. A nil error means that the answer is complete.
	// Otherwise the error is a *bamboostep.AttemptError; outcome not_run in it is a
	// guarantee that the attempt did not and will not run.
	Offer(ctx context.Context, offer bamboostep.Offer, startWithin time.Duration, yield func(bamboostep.Answer) error) error
}

// callerLimits bounds what one request may use. Zero fields take the defaults.
type callerLimits struct {
	MaxBodyBytes     int64         // size of a request body
	BodyTimeout      time.Duration // for reading the body, counted from the end of the request headers
	MaxBufferedBytes int           // size up to which a service's answer is buffered until complete, so that it can be retried
	MaxRecordedBytes int           // size up to which the answer of a non-idempotent request is recorded for resends
	DeadlineFactor   float64       // deadline of the first piece of an answer, as a multiple of the target
	MinDeadline      time.Duration // lower bound of that deadline
	StallTimeout     time.Duration // pause within a model's answer after which the answer is resumed on another backend server
	AnswerTimeout    time.Duration // for the complete answer
	NoServerWait     time.Duration // how long a request waits for a backend server that can serve it
	HeldClaimWait    time.Duration // how long a resend waits for the original request to finish
	ClaimTimeout     time.Duration // for claiming or settling a non-idempotent request in the ledger
	ClaimRetention   time.Duration // how long the ledger keeps the outcome of a request with an idempotency key
	DedupWindow      time.Duration // time in which an equal body is the same request, unless the service declares its own
	WriteTimeout     time.Duration // for each write to the caller's connection
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

// callerHandler is the http.Handler for callers. Set the exported fields before
// the first request.
type callerHandler struct {
	Name              string // of this entry
	FailureDomain     string
	Region            string // empty if no regions are declared
	Fleet             fleet
	Ledger            bamboostep.Ledger
	LedgerReachableAt func() time.Time // when the ledger was last proved reachable; may be nil
	Suspects          *dispatch.CrashSuspects
	ShareSuspects     func([]bamboostep.Suspect) // sends them to the other entries; may be nil
	Recorder          *timeline.Recorder
	Registry          prometheus.Registerer
	Clock             bamboostep.Clock
	Router            bamboostep.Router // dispatch.Balanced if nil
	Admission         dispatch.Admission
	Seed              uint64
	Limits            callerLimits
	Memory            *memory.Budget // for the bodies of requests; nil for any number

	once           sync.Once
	firstRequestAt time.Time // ledgerLostAfter counts from here if the ledger was never reached
	metrics        *callerMetrics
	retryBudget    *dispatch.RetryBudget
	demand         demandTable
	servers        serverTable
	pickCount      atomic.Uint64
	workers        *worker.Pool

	lateRequestCount atomic.Uint64 // late requests, including those admitted as probes
}

var _ http.Handler = (*callerHandler)(nil)

func (c *callerHandler) init() {
	c.firstRequestAt = c.Clock.Now()
	c.Limits = c.Limits.withDefaults()
	c.retryBudget = &dispatch.RetryBudget{}
	c.workers = worker.NewPool()
	if c.Router == nil {
		c.Router = dispatch.Balanced{}
	}
	if c.Suspects == nil {
		c.Suspects = &dispatch.CrashSuspects{}
	}
	c.metrics = newCallerMetrics(c.Registry, c.Suspects)
}

// RefusedSuspects returns the requests that are currently refused because they
// crash backend servers.
func (c *callerHandler) RefusedSuspects() []bamboostep.Suspect {
	c.once.Do(c.init)
	return c.Suspects.Refused(c.Clock.Now())
}

// RecordSuspects records suspects: all requests that were running when a backend
// server crashed, as reported by its agent, or those that another entry shared.
func (c *callerHandler) RecordSuspects(list []bamboostep.Suspect) {
	c.once.Do(c.init)
	c.Suspects.RecordCrash(c.Clock.Now(), list)
}

// ServeHTTP implements http.Handler.
func (c *callerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.once.Do(c.init)
	x := c.newExchange(w, r)
	defer x.finish()
	if x.set == nil {
		x.refuse(&bamboostep.RequestError{Status: http.StatusServiceUnavailable, Code: "no_configuration",
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

// exchange is one request of a caller and its response.
type exchange struct {
	*callerHandler
	w       http.ResponseWriter
	r       *http.Request
	id      bamboostep.RequestID
	set     *catalog.Set
	body    []byte
	held    memory.Holder // the bytes of the body
	started time.Time

	target    string // name of the model, adapter or service; empty until known
	class     bamboostep.Class
	offerMade bool // the first attempt was started
	status    int  // HTTP status sent to the caller; 0 before
}

func (c *callerHandler) newExchange(w http.ResponseWriter, r *http.Request) *exchange {
	x := &exchange{callerHandler: c, w: w, r: r, set: c.Fleet.Set(), started: c.Clock.Now()}
	x.held = c.Memory.Open()
	x.id = newRequestID()
	w.Header().Set("X-Request-Id", string(x.id))
	c.metrics.inFlight.Inc()
	return x
}

// newRequestID returns a UUIDv7, which contains its creation time.
func newRequestID() bamboostep.RequestID {
	id, err := uuid.NewV7()
	if err != nil {
		id = uuid.New()
	}
	return bamboostep.RequestID(id.String())
}

func (x *exchange) finish() {
	x.held.Close()
	x.metrics.inFlight.Dec()
	x.metrics.countRequest(x)
}

// recordEvent adds an event to the request's timeline.
func (x *exchange) recordEvent(e timeline.Event) {
	e.Request = x.id
	e.Model = x.target
	if e.Revision == 0 {
		e.Revision = x.set.Revision()
	}
	x.Recorder.Record(e)
}

// readBody reads the request body within Limits.BodyTimeout, and counts it against Memory as it arrives. The read deadline is
// removed afterwards, since it would otherwise close the connection while the
// answer is being produced.
func (x *exchange) readBody() bool {
	controller := http.NewResponseController(x.w)
	controller.SetReadDeadline(x.started.Add(x.Limits.BodyTimeout))
	x.held.Owner = memory.OwnerFunc(func() { controller.SetReadDeadline(time.Now()) })
	var body []byte
	var err error = &memory.TooLargeError{Limit: x.Limits.MaxBodyBytes}
	if x.r.ContentLength <= x.Limits.MaxBodyBytes {
		body, err = memory.ReadAll(x.r.Body, &x.held, x.Limits.MaxBodyBytes, time.Now, nil)
	}
	if !x.held.Keep(time.Now(), true) {
		err = &memory.FullError{Bytes: int64(len(body))}
	}
	if err == nil {
		controller.SetReadDeadline(time.Time{})
		x.body = body
		return true
	}
	x.w.Header().Set("Connection", "close")
	controller.SetReadDeadline(time.Now()) // what is left of the body is not read
	x.refuse(bodyError(err))
	return false
}

// refuseHead answers a request whose head does not fit into Memory, for a daemon.HeadGuard.
func (c *callerHandler) refuseHead(w http.ResponseWriter, r *http.Request, err error) {
	c.once.Do(c.init)
	x := c.newExchange(w, r)
	defer x.finish()
	x.refuse(bodyError(err))
}

// bodyError returns the refusal of a request whose body was not read.
func bodyError(err error) *bamboostep.RequestError {
	var tooLarge *memory.TooLargeError
	var full *memory.FullError
	switch {
	case errors.As(err, &tooLarge):
		return clientError(http.StatusRequestEntityTooLarge, "body_too_large", "the body is larger than "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes")
	case errors.As(err, &full):
		return &bamboostep.RequestError{Status: http.StatusServiceUnavailable, Code: "memory_full",
			Message: "this entry holds as much as it can", Outcome: bamboostep.NotRun, RetryAfter: time.Second}
	}
	return clientError(http.StatusBadRequest, "body_unreadable", "the body could not be read: "+err.Error())
}

// clientError returns the refusal of a request that is invalid in itself. Every
// resend is refused alike, so the outcome is not_run.
func clientError(status int, code, message string) *bamboostep.RequestError {
	return &bamboostep.RequestError{Status: status, Code: code, Message: message, Outcome: bamboostep.NotRun}
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

func (x *exchange) newErrorResponse(e *bamboostep.RequestError) errorResponse {
	return errorResponse{errorDetail{e.Code, e.Message, e.Outcome, string(x.id)}}
}

// refuse answers with an error. Nothing may have been sent before.
func (x *exchange) refuse(e *bamboostep.RequestError) {
	x.recordRefusal(e)
	x.writeError(e)
}

func (x *exchange) recordRefusal(e *bamboostep.RequestError) {
	x.metrics.refusals.WithLabelValues(e.Code).Inc()
	if x.set != nil {
		x.recordEvent(timeline.Event{Kind: "refused", Detail: e.Code + " " + string(e.Outcome)})
	}
}

func (x *exchange) writeError(e *bamboostep.RequestError) {
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

// startTimeout returns how long a request may wait for the first piece of its
// answer.
func (x *exchange) startTimeout(target time.Duration) time.Duration {
	return max(time.Duration(float64(target)*x.Limits.DeadlineFactor), x.Limits.MinDeadline)
}

// callerAddress returns the caller's IP address.
func (x *exchange) callerAddress() string {
	host, _, err := net.SplitHostPort(x.r.RemoteAddr)
	if err != nil {
		return x.r.RemoteAddr
	}
	return host
}
