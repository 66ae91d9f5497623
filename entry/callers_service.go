package main

import (
	"io"
	"maps"
	"net/http"
	"net/textproto"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/dispatch"
)

// This file holds requests to plain services, which are passed on with method,
// path, headers and body intact, less the headers that concern one connection.
//
// A short answer is held back until it is whole, so that a request that may be
// repeated can be retried without the caller noticing. A long one is passed on as
// it comes; if it breaks off, the connection to the caller is broken off too,
// because a clean end would make it look whole.

func (x *exchange) serveService() {
	s, ok := x.set.ServiceFor(x.r.URL.Path)
	if !ok {
		x.refuse(badRequest(http.StatusNotFound, "path_not_found", "no service takes this path"))
		return
	}
	x.target = s.Name
	x.class = s.Class
	j := x.serviceJob(s)
	x.received(j)
	if !s.Idempotent {
		x.serveClaimed(s, j)
		return
	}
	a := &serviceAnswer{exchange: x, job: j}
	a.end(x.run(x.r.Context(), j, a.piece))
}

func (x *exchange) serviceJob(s bamboostep.Service) *job {
	j := &job{place: s.Place, work: 1, startTarget: time.Duration(s.AnswerMS) * time.Millisecond}
	j.request.Service = s.Name
	x.fillRequest(&j.request)
	j.answerTime = x.Limits.AnswerTime
	j.stallTime = x.startLimit(j.startTarget)
	j.course = dispatch.Course{Repeatable: s.Idempotent, Budget: x.budget, Deadline: x.started.Add(j.stallTime)}
	return j
}

// serviceAnswer passes the answer of a plain service to the caller.
type serviceAnswer struct {
	*exchange
	job   *job
	held  heldAnswer
	begun bool // bytes went to the caller
}

// heldAnswer is an answer that is gathered until it is whole.
type heldAnswer struct {
	attempt bamboostep.AttemptID
	status  int
	header  map[string][]string
	body    []byte
}

// add appends a piece. The pieces of a new attempt replace those of the last one.
func (h *heldAnswer) add(p bamboostep.Answer) {
	if p.Attempt != h.attempt {
		*h = heldAnswer{attempt: p.Attempt}
	}
	if p.Status != 0 {
		h.status = p.Status
		h.header = p.Header
	}
	h.body = append(h.body, p.Data...)
}

func (a *serviceAnswer) piece(p bamboostep.Answer) error {
	if a.begun {
		return a.write(p.Data)
	}
	a.held.add(p)
	if p.Last || len(a.held.body) <= a.Limits.BufferBytes && !isEventStream(a.held.header) {
		return nil
	}
	return a.begin()
}

func isEventStream(header map[string][]string) bool {
	return strings.HasPrefix(http.Header(header).Get("Content-Type"), "text/event-stream")
}

// begin sends what was held back. From then on another attempt could not be told
// from this one by the caller, so there is none.
func (a *serviceAnswer) begin() error {
	a.begun = true
	a.job.course.Repeatable = false
	a.writeHeader(a.held.status, a.held.header)
	return a.write(a.held.body)
}

func (a *serviceAnswer) write(data []byte) error {
	rc := http.NewResponseController(a.w)
	rc.SetWriteDeadline(a.Clock.Now().Add(a.Limits.IdleTime))
	if _, err := a.w.Write(data); err != nil {
		return &callerGoneError{err}
	}
	return rc.Flush()
}

func (a *serviceAnswer) end(refused *bamboostep.RefusedError) {
	switch {
	case refused == nil && !a.begun:
		a.begin()
	case refused != nil && a.begun:
		a.noteRefusal(refused)
		panic(http.ErrAbortHandler)
	case refused != nil:
		a.refuse(refused)
	}
}

// writeHeader begins an answer with the status and header of a service.
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

// hopByHop are the headers that concern one connection.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

func withoutHopByHop(header map[string][]string) http.Header {
	h := http.Header(header).Clone()
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
	return h
}

// forwardedHeader returns the header of a request as a service should see it.
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

// readAll reads r whole into one piece of memory where the length is known.
func readAll(r io.Reader, length int64) ([]byte, error) {
	const maxAhead = 1 << 16
	if length <= 0 || length > maxAhead {
		return io.ReadAll(r)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(r, body)
	return body, err
}

// incompleteTail returns how many bytes at the end of data begin a character of
// UTF-8 that is not complete.
func incompleteTail(data []byte) int {
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
