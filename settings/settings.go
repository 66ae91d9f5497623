// Package settings reads the settings of a program from TOML, strictly: unknown
// keys are refused, and every mistake is reported at once with its key.
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

// Problem is one mistake in a settings file.
type Problem struct {
	Key   string // dotted
	Line  int    // 0 when the mistake is not at one line, such as a missing key
	Issue string
}

// InvalidError lists every mistake found in a settings file.
type InvalidError struct {
	File     string
	Problems []Problem
}

// Error implements error, one mistake a line.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, e.line(p))
	}
	return strings.Join(lines, "\n")
}

func (e *InvalidError) line(p Problem) string {
	where := e.File
	if p.Line > 0 {
		where = fmt.Sprintf("%s:%d", e.File, p.Line)
	}
	return fmt.Sprintf("%s: key %q %s", where, p.Key, p.Issue)
}

// Checker is implemented by settings that know more than their types say.
type Checker interface {
	Check() []Problem
}

// Load reads the file into v, a pointer to a settings struct that may already
// hold defaults. The error is an *InvalidError for mistakes in the file.
func Load(file string, v any) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("settings file %q: %w", file, err)
	}
	return Parse(file, text, v)
}

// Parse is Load for text that is already in memory; file only names it.
func Parse(file string, text []byte, v any) error {
	dec := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
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
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) {
		problems := make([]Problem, 0, len(missing.Errors))
		for _, e := range missing.Errors {
			problems = append(problems, problemAt(e, "is unknown"))
		}
		return problems
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		return []Problem{problemAt(*decode, "is wrong: "+decode.Error())}
	}
	return []Problem{{Issue: err.Error()}}
}

func problemAt(e toml.DecodeError, issue string) Problem {
	line, _ := e.Position()
	return Problem{Key: strings.Join(e.Key(), "."), Line: line, Issue: issue}
}

// Duration is a time span written as text, such as "1.5s" or "200ms".
type Duration struct{ time.Duration }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	span, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a time span like \"1.5s\"", text)
	}
	d.Duration = span
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}
