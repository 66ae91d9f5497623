package timeline

import (
	"strings"
	"unicode/utf8"

	"github.com/bamboostep/bamboostep"
)

// The length of an event. Callers choose some of its texts, such as the ID and the path of a request, and may make them as long as a head is read. The Recorder keeps thousands of
// events, so each text is clipped.

const (
	maxDetailBytes = 1 << 10
	maxNameBytes   = 256 // of each other text
	clippedMark    = "..."
)

// clip returns s, or its beginning and clippedMark if it is longer than so many bytes. It keeps nothing of a longer s in memory.
func clip(s string, bytes int) string {
	if len(s) <= bytes {
		return s
	}
	end := bytes - len(clippedMark)
	for end > 0 && !utf8.RuneStart(s[end]) {
		end--
	}
	return strings.Clone(s[:end]) + clippedMark
}

// clipped returns e with clipped texts.
func (e Event) clipped() Event {
	e.Kind = clip(e.Kind, maxNameBytes)
	e.Request = bamboostep.RequestID(clip(string(e.Request), maxNameBytes))
	e.Attempt = bamboostep.AttemptID(clip(string(e.Attempt), maxNameBytes))
	e.Model = clip(e.Model, maxNameBytes)
	e.VM = clip(e.VM, maxNameBytes)
	e.Content = clip(e.Content, maxNameBytes)
	e.Detail = clip(e.Detail, maxDetailBytes)
	return e
}

// clipped returns a query that selects the clipped events that q asks for.
func (q Query) clipped() Query {
	q.Request = bamboostep.RequestID(clip(string(q.Request), maxNameBytes))
	q.Model = clip(q.Model, maxNameBytes)
	q.VM = clip(q.VM, maxNameBytes)
	q.Content = clip(q.Content, maxNameBytes)
	return q
}
