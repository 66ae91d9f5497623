// Package sse finds the ends and IDs of events in a stream of server-sent events
// (text/event-stream).
//
// An event ends with an empty line. A stream that ends anywhere else was broken off.
package sse

import (
	"bytes"
	"net/http"
	"strings"
)

// Is reports whether a response with the header h is a stream of events.
func Is(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// LastEnd returns the offset after the last complete event, or 0 if there is none.
func LastEnd(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(b, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+4)
	}
	return end
}

var idField = []byte("id:")

// longestEnd is the number of bytes by which the end of an event is recognized.
const longestEnd = len("\r\n\r\n")

// Tail follows a stream whose events are passed on as they come, to tell whether it ends with
// a complete event. The zero value has seen nothing.
type Tail struct {
	last []byte // at most longestEnd bytes
}

// Write adds the next bytes of the stream. It never fails.
func (t *Tail) Write(p []byte) (int, error) {
	t.last = append(t.last, p[max(0, len(p)-longestEnd):]...)
	t.last = t.last[max(0, len(t.last)-longestEnd):]
	return len(p), nil
}

// Complete reports whether the stream so far is empty or ends with a complete event.
func (t *Tail) Complete() bool {
	return LastEnd(t.last) == len(t.last)
}

// Empty reports whether the stream has no bytes so far.
func (t *Tail) Empty() bool { return len(t.last) == 0 }
