package sse

import (
	"bytes"
	"strconv"
)

// Order checks that the events of a response follow on what the receiver has: their IDs increase, so that no event comes twice and
// none from another place in the stream. If the receiver has events already, the first one must have an ID; without it nothing
// would tell the rest of a stream from something else.
type Order struct {
	last  string // ID of the last event, or ""
	needs bool   // the next event must have an ID
}

// NewOrder returns the order of a response to a receiver that has the events up to one with an ID, "" for none.
func NewOrder(after string) *Order { return &Order{last: after, needs: after != ""} }

// LastID returns the ID of the last event that has one, or "".
func (o *Order) LastID() string { return o.last }

// Accept returns how many bytes of complete events, which are the next ones of the response, come before the first event that does
// not follow on.
func (o *Order) Accept(events []byte) int {
	accepted, at := 0, 0
	var e event
	for line := range bytes.Lines(events) {
		at += len(line)
		content := bytes.TrimRight(line, "\r\n")
		if len(content) > 0 {
			e.add(content)
			continue
		}
		if !o.follows(e) {
			return accepted
		}
		accepted, e = at, event{}
	}
	if !o.follows(e) {
		return accepted
	}
	return at
}

// follows reports whether an event follows on the last one, which it then is.
func (o *Order) follows(e event) bool {
	switch {
	case e.hasID && !above(e.id, o.last):
		return false
	case e.hasID:
		o.last, o.needs = e.id, false
	case e.hasField:
		return !o.needs
	}
	return true
}

// above reports whether one ID may follow another. IDs that are no numbers must only differ.
func above(id, last string) bool {
	a, aErr := strconv.ParseUint(id, 10, 64)
	b, bErr := strconv.ParseUint(last, 10, 64)
	if aErr == nil && bErr == nil {
		return a > b
	}
	return id != last
}

// event is what Order needs to know of an event. One without a field is a comment.
type event struct {
	hasField bool
	hasID    bool
	id       string
}

func (e *event) add(line []byte) {
	if line[0] == ':' {
		return
	}
	e.hasField = true
	if rest, ok := bytes.CutPrefix(line, idField); ok {
		e.hasID, e.id = true, string(bytes.TrimSpace(rest))
	}
}
