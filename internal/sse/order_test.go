package sse

import (
	"fmt"
	"strings"
	"testing"
)

// eventsText returns the events with the IDs from one number to another.
func eventsText(from, to int) string {
	var text strings.Builder
	for n := from; n <= to; n++ {
		fmt.Fprintf(&text, "id: %d\ndata: e%d\n\n", n, n)
	}
	return text.String()
}

// Guards against events that come twice or in another order within one answer.
func TestEventsInOrder(t *testing.T) {
	for name, c := range map[string]struct {
		after  string
		pieces []string
		want   string
	}{
		"new stream":             {"", []string{eventsText(1, 3)}, eventsText(1, 3)},
		"new stream without IDs": {"", []string{"data: a\n\ndata: b\n\n"}, "data: a\n\ndata: b\n\n"},
		"in several pieces":      {"3", []string{eventsText(4, 4), eventsText(5, 6)}, eventsText(4, 6)},
		"repeats later":          {"3", []string{eventsText(4, 5), eventsText(5, 6)}, eventsText(4, 5)},
		"goes back":              {"", []string{eventsText(5, 6), eventsText(1, 2)}, eventsText(5, 6)},
		"skips":                  {"3", []string{eventsText(8, 9)}, eventsText(8, 9)},
		"no ID after the first":  {"3", []string{eventsText(4, 4) + "data: x\n\n"}, eventsText(4, 4) + "data: x\n\n"},
		"IDs that are no number": {"a", []string{"id: b\ndata: x\n\n", "id: a\ndata: y\n\n"}, "id: b\ndata: x\n\nid: a\ndata: y\n\n"},
		"the same ID, no number": {"a", []string{"id: a\ndata: x\n\n"}, ""},
		"lines with CR":          {"3", []string{"id: 4\r\ndata: x\r\n\r\nid: 4\r\ndata: x\r\n\r\n"}, "id: 4\r\ndata: x\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			order := NewOrder(c.after)
			var got strings.Builder
			for _, piece := range c.pieces {
				accepted := order.Accept([]byte(piece))
				got.WriteString(piece[:accepted])
				if accepted < len(piece) {
					break
				}
			}
			if got.String() != c.want {
				t.Errorf("got %q forwarded, want %q", got.String(), c.want)
			}
		})
	}
}
