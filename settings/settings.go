// Package settings reads a program's settings from a TOML file. Unknown keys are
// rejected. All unknown keys, or else all problems that a Checker finds, are reported
// together; a syntax or type error is reported alone.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Problem is one error in a settings file.
type Problem struct {
	Key   string // dotted path, such as "tls.cert"
	Line  int    // starts at 1; 0 if the problem has no line, such as a missing key
	Issue string // predicate of the key, such as "is missing"
}

// InvalidError lists the problems found in a settings file.
type InvalidError struct {
	File     string
	Problems []Problem
}

// Error implements error. It returns one line per problem.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, e.format(p))
	}
	return strings.Join(lines, "\n")
}

func (e *InvalidError) format(p Problem) string {
	position := e.File
	if p.Line > 0 {
		position = fmt.Sprintf("%s:%d", e.File, p.Line)
	}
	return fmt.Sprintf("%s: key %q %s", position, p.Key, p.Issue)
}

// Checker is implemented by settings structs with constraints beyond the types of
// their fields. Check returns every violation.
type Checker interface {
	Check() []Problem
}

// Load decodes the file into v, a pointer to a settings struct, and calls Check if v
// is a Checker. Fields whose keys the file doesn't set keep their values, so v may hold
// defaults. The error is an *InvalidError if the content is invalid.
func Load(file string, v any) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("settings file %q: %w", file, err)
	}
	return Parse(file, data, v)
}

// Parse is like Load but decodes data; file is only used in error messages.
func Parse(file string, data []byte, v any) error {
	dec := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return &InvalidError{file, decodeProblems(err)}
	}
	checker, ok := v.(Checker)
	if !ok {
		return nil
	}
	if problems := checker.Check(); len(problems) > 0 {
		return &InvalidError{file, problems}
	}
	return nil
}

func decodeProblems(err error) []Problem {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		problems := make([]Problem, 0, len(unknown.Errors))
		for _, e := range unknown.Errors {
			problems = append(problems, problemAt(e, "is unknown"))
		}
		return problems
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		return []Problem{problemAt(*decodeErr, "is invalid: "+decodeErr.Error())}
	}
	return []Problem{{Issue: err.Error()}}
}

func problemAt(e toml.DecodeError, issue string) Problem {
	line, _ := e.Position()
	return Problem{Key: strings.Join(e.Key(), "."), Line: line, Issue: issue}
}

// Duration is a time.Duration written as a string in the format of
// time.ParseDuration, such as "1.5s" or "200ms".
type Duration struct{ time.Duration }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	duration, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"1.5s\"", text)
	}
	d.Duration = duration
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}
