package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/bamboostep/bamboostep/catalog"
	"github.com/bamboostep/bamboostep/operator"
)

// The exit statuses.
const (
	exitOK          = 0
	exitProblem     = 1
	exitUsage       = 2
	exitUnreachable = 3
)

// usageProblem says that the command line itself is wrong.
type usageProblem struct{ issue string }

func (e *usageProblem) Error() string { return e.issue }

// unknownOutcomeError says how to find out whether a publish took effect.
type unknownOutcomeError struct {
	dir   string
	id    string
	cause error
}

func (e *unknownOutcomeError) Error() string {
	return fmt.Sprintf("%v\nto learn the outcome, publish folder %q again as it is; its publish ID is %s", e.cause, e.dir, e.id)
}

func (e *unknownOutcomeError) Unwrap() error { return e.cause }

func exitStatus(err error) int {
	var usage *usageProblem
	var unreachable *operator.UnreachableError
	var voter *voterError
	switch {
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &unreachable), errors.As(err, &voter):
		return exitUnreachable
	}
	return exitProblem
}

// writeError writes what went wrong. With --output json, commands have written
// their own form of it already.
func writeError(w io.Writer, err error) {
	var shown *shownError
	if errors.As(err, &shown) {
		return
	}
	fmt.Fprintln(w, err)
}

// shownError is an error that was written to the output as JSON.
type shownError struct{ cause error }

func (e *shownError) Error() string { return e.cause.Error() }

func (e *shownError) Unwrap() error { return e.cause }

type errorOutput struct {
	Error    string                  `json:"error"`
	Status   int                     `json:"exit_status"`
	Problems []catalog.Problem       `json:"problems,omitempty"`
	Conflict *operator.ConflictError `json:"conflict,omitempty"`
}

// showError writes err as JSON.
func showError(w io.Writer, err error) error {
	out := errorOutput{Error: err.Error(), Status: exitStatus(err)}
	var problems *catalog.ProblemsError
	if errors.As(err, &problems) {
		out.Problems = problems.Problems
	}
	errors.As(err, &out.Conflict)
	if encodeErr := json.NewEncoder(w).Encode(out); encodeErr != nil {
		return encodeErr
	}
	return &shownError{err}
}
