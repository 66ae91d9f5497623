// Package chart implements finite state machines whose transition tables are written
// in TOML.
//
// Lifecycles such as those of a replica, an attempt, an order and a member are each
// defined in a TOML file that is embedded in the program. Machine.Next alone determines
// the next state, so the file cannot drift from the code. For an event without a
// transition from the current state, Next returns an UndefinedTransitionError; its user
// keeps the current state, and logs or counts the event.
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

// State is the name of a state.
type State string

// Event is the name of an event that may trigger a transition.
type Event string

// Machine is a validated definition of a state machine. It is immutable and does not
// hold a current state: its users store that and pass it to Next.
type Machine struct {
	name    string
	initial State
	states  map[State]stateDecl
}

type machineDecl struct {
	Name    string      `toml:"name"`
	Initial State       `toml:"initial"`
	States  []stateDecl `toml:"state"`
}

type stateDecl struct {
	Name  State           `toml:"name"`
	Final bool            `toml:"final"`
	On    map[Event]State `toml:"on"`
}

// UndefinedTransitionError reports an event for which a state has no transition.
type UndefinedTransitionError struct {
	Machine string // name of the state machine
	State   State
	Event   Event
}

// Error implements error.
func (e *UndefinedTransitionError) Error() string {
	return fmt.Sprintf("state %q of state machine %q has no transition on event %q", e.State, e.Machine, e.Event)
}

// DefinitionError reports an inconsistent definition of a state machine.
type DefinitionError struct {
	Machine string // name of the state machine
	Issue   string
}

// Error implements error.
func (e *DefinitionError) Error() string {
	return fmt.Sprintf("state machine %q: %s", e.Machine, e.Issue)
}

// Parse decodes and validates a TOML definition. The error is a *DefinitionError or
// wraps that of the TOML decoder.
func Parse(text []byte) (*Machine, error) {
	var decl machineDecl
	dec := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := dec.Decode(&decl); err != nil {
		return nil, fmt.Errorf("state machine definition: %w", err)
	}
	m := &Machine{name: decl.Name, initial: decl.Initial, states: make(map[State]stateDecl)}
	for _, s := range decl.States {
		if _, duplicate := m.states[s.Name]; duplicate {
			return nil, &DefinitionError{m.name, fmt.Sprintf("state %q is declared more than once", s.Name)}
		}
		m.states[s.Name] = s
	}
	return m, m.validate(decl.States)
}

// MustParse is like Parse but panics on an error. It is meant for embedded files,
// which the tests of the embedding packages have already parsed.
func MustParse(text []byte) *Machine {
	m, err := Parse(text)
	if err != nil {
		panic(err)
	}
	return m
}

// Initial returns the initial state.
func (m *Machine) Initial() State { return m.initial }

// Final reports whether s is a final state, one without transitions.
func (m *Machine) Final(s State) bool { return m.states[s].Final }

// Next returns the state that event e leads to from s. If there is no such transition,
// it returns s and an *UndefinedTransitionError.
func (m *Machine) Next(s State, e Event) (State, error) {
	next, ok := m.states[s].On[e]
	if !ok {
		return s, &UndefinedTransitionError{m.name, s, e}
	}
	return next, nil
}

// validate returns a *DefinitionError unless the initial state and all targets of
// transitions are declared, each state is either final or has transitions, and each is
// reachable. decls holds the states in the order of the file.
func (m *Machine) validate(decls []stateDecl) error {
	if _, ok := m.states[m.initial]; !ok {
		return &DefinitionError{m.name, fmt.Sprintf("initial state %q is not declared", m.initial)}
	}
	for _, s := range decls {
		if s.Final == (len(s.On) > 0) {
			return &DefinitionError{m.name, fmt.Sprintf("state %q must either be final or have transitions", s.Name)}
		}
		for e, target := range s.On {
			if _, ok := m.states[target]; !ok {
				return &DefinitionError{m.name, fmt.Sprintf("event %q of state %q leads to undeclared state %q", e, s.Name, target)}
			}
		}
	}
	return m.checkReachable(decls)
}

func (m *Machine) checkReachable(decls []stateDecl) error {
	reachable := []State{m.initial}
	for i := 0; i < len(reachable); i++ {
		for _, next := range m.states[reachable[i]].On {
			if !slices.Contains(reachable, next) {
				reachable = append(reachable, next)
			}
		}
	}
	for _, s := range decls {
		if !slices.Contains(reachable, s.Name) {
			return &DefinitionError{m.name, fmt.Sprintf("state %q is unreachable from the initial state", s.Name)}
		}
	}
	return nil
}
