package catalog

import (
	"fmt"
	"strings"
)

// Kind is the kind of a declared object, as TOML files name it.
type Kind string

// The kinds of object, in the order in which they are reported.
const (
	KindPlace   Kind = "place"
	KindVersion Kind = "version"
	KindModel   Kind = "model"
	KindAdapter Kind = "adapter"
	KindService Kind = "service"
)

// Problem is one mistake in a set of objects. Empty fields do not apply: a set
// that came over the network has no files.
type Problem struct {
	File  string `json:"file,omitempty"`
	Line  int    `json:"line,omitempty"`
	Kind  Kind   `json:"kind,omitempty"`
	Name  string `json:"name,omitempty"`
	Field string `json:"field,omitempty"`
	Issue string `json:"issue"`
}

// String returns p as one line, its position first.
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		fmt.Fprintf(&b, "%s:%d: ", p.File, p.Line)
	}
	if p.Kind != "" {
		fmt.Fprintf(&b, "%s %q: ", p.Kind, p.Name)
	}
	if p.Field != "" {
		fmt.Fprintf(&b, "field %q ", p.Field)
	}
	b.WriteString(p.Issue)
	return b.String()
}

// ProblemsError lists every mistake found in a set of objects.
type ProblemsError struct{ Problems []Problem }

// Error implements error, one mistake a line.
func (e *ProblemsError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}
