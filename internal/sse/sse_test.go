package sse

import "testing"

func TestLastEnd(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		end  int
	}{
		"none": {"id: 1\nda", 0},
		"one":  {"id: 1\n\nid", 7},
		"two":  {"id: 1\n\nid: 2\n\n", 14},
		"CRLF": {"id: 1\r\n\r\nid", 9},
	} {
		t.Run(name, func(t *testing.T) {
			if got := LastEnd([]byte(c.text)); got != c.end {
				t.Errorf("end: got %d, want %d", got, c.end)
			}
		})
	}
}

func TestTail(t *testing.T) {
	for name, c := range map[string]struct {
		pieces []string
		want   bool
	}{
		"nothing":                    {nil, true},
		"whole event":                {[]string{"id: 1\n\n"}, true},
		"part of an event":           {[]string{"id: 1\n\n", "id"}, false},
		"empty line in two pieces":   {[]string{"id: 1\n", "\n"}, true},
		"CRLF, one byte at a time":   {[]string{"x", "\r", "\n", "\r", "\n"}, true},
		"line without an empty line": {[]string{"id: 1\r\n"}, false},
		"empty pieces":               {[]string{"id: 1\n\n", "", ""}, true},
	} {
		t.Run(name, func(t *testing.T) {
			var tail Tail
			for _, p := range c.pieces {
				_, _ = tail.Write([]byte(p))
			}
			if got := tail.Complete(); got != c.want {
				t.Errorf("after %q: got complete %v, want %v", c.pieces, got, c.want)
			}
		})
	}
}
