package main

import (
	"maps"
	"net/http"
	"net/textproto"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/dispatch"
)

// This file proxies requests to plain services. Method, path, headers and body are
// passed on unchanged, except for hop-by-hop headers.
//
// Short answers are buffered until complete, so that an idempotent request can be
// retried without the caller noticing, and that of another one recorded. Longer answers, and those that the memory for
// requests has no room for, are streamed. If a streamed
// answer is interrupted, the caller's connection is aborted, since a clean end
// would make the answer look complete.

func (x *exchange) serveService() {
	service, ok := x.set.ServiceFor(x.r.URL.Path)
	if !ok {
		x.refuse(clientError(http.StatusNotFound, "path_not_found", "no service takes this path"))
		return
	}
	x.target = service.Name
	x.class = service.Class
	j := x.newServiceJob(service)
	x.recordReceived(j)
	if !service.Idempotent {
		x.serveNonIdempotent(service, j)
		return
	}
	a := &serviceAnswer{exchange: x, job: j}
	a.finishAnswer(x.runAttempts(x.r.Context(), j, a.handlePiece))
}

func (x *exchange) newServiceJob(service bamboostep.Service) *job {
	j := &job{place: service.Place, work: 1, startTarget: time.Duration(service.AnswerMS) * time.Millisecond}
	j.request.Service = service.Name
	x.fillRequest(&j.request)
	j.answerTime = x.Limits.AnswerTimeout
	j.stallTime = x.startTimeout(j.startTarget)
	j.retry = dispatch.RequestState{Repeatable: service.Idempotent, Budget: x.retryBudget, Deadline: x.started.Add(j.stallTime)}
	return j
}

// serviceAnswer passes the answer of a plain service on to the caller.
type serviceAnswer struct {
	*exchange
	job        *job
	buffer     bufferedAnswer
	headerSent bool   // the response has started, so the request cannot be retried
	ran        func() // of a request that must not run twice: records that it ran, before an incomplete answer is passed on; else nil
	callerGone error  // why a request that must not run twice goes on without its caller
}

// bufferedAnswer collects an answer until it is complete.
type bufferedAnswer struct {
	attempt bamboostep.AttemptID
	status  int
	header  map[string][]string
	body    []byte
}

// add appends a piece. The first piece of a new attempt discards those of the
// previous attempt.
func (b *bufferedAnswer) add(p bamboostep.Answer) {
	if p.Attempt != b.attempt {
		*b = bufferedAnswer{attempt: p.Attempt}
	}
	if p.Status != 0 {
		b.status = p.Status
		b.header = p.Header
	}
	b.body = append(b.body, p.Data...)
}

func (a *serviceAnswer) handlePiece(p bamboostep.Answer) error {
	if a.headerSent {
		return a.passOn(p.Data)
	}
	a.buffer.add(p)
	if p.Last || a.mayBuffer() {
		return nil
	}
	if a.ran != nil {
		a.ran()
	}
	return a.flushBuffer()
}

// mayBuffer reports whether the answer may be buffered on, and counts what is.
func (a *serviceAnswer) mayBuffer() bool {
	if len(a.buffer.body) > a.Limits.MaxBufferedBytes || a.ran == nil && isEventStream(a.buffer.header) {
		return false
	}
	return a.held.Resize(a.Clock.Now(), int64(len(a.body)+len(a.buffer.body))) == nil
}

// passOn writes a part of a streamed answer. A request that must not run twice runs to its end also when its caller has left.
func (a *serviceAnswer) passOn(data []byte) error {
	if a.callerGone != nil {
		return nil
	}
	err := a.write(data)
	if a.ran != nil {
		a.callerGone = err
		return nil
	}
	return err
}

func isEventStream(header map[string][]string) bool {
	return strings.HasPrefix(http.Header(header).Get("Content-Type"), "text/event-stream")
}

// flushBuffer starts the response and sends the buffered part. The request is not
// retried after that, since the caller could not tell the answers apart.
func (a *serviceAnswer) flushBuffer() error {
	a.headerSent = true
	a.job.retry.Repeatable = false
	a.writeHeader(a.buffer.status, a.buffer.header)
	err := a.passOn(a.buffer.body)
	a.buffer.body = nil
	_ = a.held.Resize(a.Clock.Now(), int64(len(a.body))) // less than before
	return err
}

func (a *serviceAnswer) write(data []byte) error {
	rc := http.NewResponseController(a.w)
	rc.SetWriteDeadline(a.Clock.Now().Add(a.Limits.WriteTimeout))
	if _, err := a.w.Write(data); err != nil {
		return &callerGoneError{err}
	}
	return rc.Flush()
}

func (a *serviceAnswer) finishAnswer(refused *bamboostep.RequestError) {
	switch {
	case refused == nil && !a.headerSent:
		a.flushBuffer()
	case refused != nil && a.headerSent:
		a.recordRefusal(refused)
		panic(http.ErrAbortHandler)
	case a.callerGone != nil:
		panic(http.ErrAbortHandler)
	case refused != nil:
		a.refuse(refused)
	}
}

// writeHeader sends the status and headers of a service's answer.
func (x *exchange) writeHeader(status int, header map[string][]string) {
	if status == 0 {
		status = http.StatusOK
	}
	x.status = status
	id := x.w.Header().Get("X-Request-Id")
	maps.Copy(x.w.Header(), withoutHopByHop(header))
	x.w.Header().Set("X-Request-Id", id)
	x.w.WriteHeader(status)
}

// hopByHopHeaders concern a single connection and are not forwarded.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

func withoutHopByHop(header map[string][]string) http.Header {
	h := http.Header(header).Clone()
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
	return h
}

// forwardedHeader returns the request headers to forward to a service.
func forwardedHeader(r *http.Request) map[string][]string {
	h := withoutHopByHop(r.Header)
	if h == nil {
		h = make(http.Header)
	}
	if r.Host != "" {
		h.Set("Host", r.Host)
	}
	return h
}

// incompleteRuneLen returns the length of the incomplete UTF-8 sequence at the end
// of data, or 0 if there is none.
func incompleteRuneLen(data []byte) int {
	for n := 1; n <= min(len(data), utf8.UTFMax-1); n++ {
		b := data[len(data)-n]
		if !utf8.RuneStart(b) {
			continue
		}
		if utf8.FullRune(data[len(data)-n:]) {
			return 0
		}
		return n
	}
	return 0
}
