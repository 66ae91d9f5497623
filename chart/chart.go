// Package chart interprets state charts written in TOML; the field calls them
// finite state machines.
//
// A lifecycle (replica, attempt, order, member) is declared in a file and
// embedded in the program that runs it. The interpreter is the only code that
// decides which state follows, so the file is the truth and not a drawing of it.
// An event that a state does not list is an UnlistedEventError: the caller logs
// and counts it and leaves the state as it was.
//
//	name = "order"
//	initial = "queued"
//
//	[[state]]
//	name = "queued"
//	[state.on]
//	send = "sent"
//
//	[[state]]
//	name = "sent"
//	final = true
package chart

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/pelletier/go-toml/v2"
)

// State is the name of a state in a chart.
type State string

// Event is the name of an event in a chart.
type Event string

// Chart is one checked state chart. It is immutable.
type Chart struct {
	name    string
	initial State
	states  map[State]stateDecl
}

type chartDecl struct {
	Name    string      `toml:"name"`
	Initial State       `toml:"initial"`
	States  []stateDecl `toml:"state"`
}

type stateDecl struct {
	Name  State           `toml:"name"`
	Final bool            `toml:"final"`
	On    map[Event]State `toml:"on"`
}

// UnlistedEventError says that a state does not list an event.
type UnlistedEventError struct {
	Chart string
	State State
	Event Event
}

// Error implements error.
func (e *UnlistedEventError) Error() string {
	return fmt.Sprintf("state %q of chart %q does not list event %q", e.State, e.Chart, e.Event)
}

// InvalidError says that a chart file is wrong.
type InvalidError struct {
	Chart string
	Issue string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("chart %q: %s", e.Chart, e.Issue)
}

// Parse reads and checks a chart. The error is an *InvalidError, or a TOML error
// with its position.
func Parse(text []byte) (*Chart, error) {
	var decl chartDecl
	dec := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := dec.Decode(&decl); err != nil {
		return nil, fmt.Errorf("chart file: %w", err)
	}
	c := &Chart{name: decl.Name, initial: decl.Initial, states: make(map[State]stateDecl)}
	for _, s := range decl.States {
		if _, twice := c.states[s.Name]; twice {
			return nil, &InvalidError{c.name, fmt.Sprintf("state %q is declared twice", s.Name)}
		}
		c.states[s.Name] = s
	}
	return c, c.check(decl.States)
}

// MustParse is Parse for embedded files, which tests have already checked. It
// panics on an error.
func MustParse(text []byte) *Chart {
	c, err := Parse(text)
	if err != nil {
		panic(err)
	}
	return c
}

// Initial returns the state that the lifecycle begins in.
func (c *Chart) Initial() State { return c.initial }

// Final reports whether s ends the lifecycle.
func (c *Chart) Final(s State) bool { return c.states[s].Final }

// Next returns the state that follows s upon e, or s itself and an
// *UnlistedEventError.
func (c *Chart) Next(s State, e Event) (State, error) {
	next, ok := c.states[s].On[e]
	if !ok {
		return s, &UnlistedEventError{c.name, s, e}
	}
	return next, nil
}

func (c *Chart) check(order []stateDecl) error {
	if _, ok := c.states[c.initial]; !ok {
		return &InvalidError{c.name, fmt.Sprintf("initial state %q is not declared", c.initial)}
	}
	for _, s := range order {
		if s.Final == (len(s.On) > 0) {
			return &InvalidError{c.name, fmt.Sprintf("state %q must either be final or list events", s.Name)}
		}
		for e, next := range s.On {
			if _, ok := c.states[next]; !ok {
				return &InvalidError{c.name, fmt.Sprintf("event %q of state %q leads to %q, which is not declared", e, s.Name, next)}
			}
		}
	}
	return c.checkReachable(order)
}

func (c *Chart) checkReachable(order []stateDecl) error {
	reached := []State{c.initial}
	for i := 0; i < len(reached); i++ {
		for _, next := range c.states[reached[i]].On {
			if !slices.Contains(reached, next) {
				reached = append(reached, next)
			}
		}
	}
	for _, s := range order {
		if !slices.Contains(reached, s.Name) {
			return &InvalidError{c.name, fmt.Sprintf("state %q cannot be reached", s.Name)}
		}
	}
	return nil
}
