package chart_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/bamboostep/bamboostep/chart"
)

const doorDefinition = `
name = "door"
initial = "shut"
[[state]]
name = "shut"
[state.on]
open = "ajar"
[[state]]
name = "ajar"
final = true
`

func ExampleMachine_Next() {
	m := chart.MustParse([]byte(doorDefinition))
	s, _ := m.Next(m.Initial(), "open")
	fmt.Println(s, m.Final(s))
	_, err := m.Next(s, "open")
	fmt.Println(err)
	// Output:
	// ajar true
	// state "ajar" of state machine "door" has no transition on event "open"
}

func TestParseRejectsInvalidDefinitions(t *testing.T) {
	tests := map[string]struct{ text, want string }{
		"undeclared target": {
			"name='c'\ninitial='a'\n[[state]]\nname='a'\n[state.on]\ngo='b'\n",
			`state machine "c": event "go" of state "a" leads to undeclared state "b"`,
		},
		"unreachable state": {
			"name='c'\ninitial='a'\n[[state]]\nname='a'\nfinal=true\n[[state]]\nname='b'\nfinal=true\n",
			`state machine "c": state "b" is unreachable from the initial state`,
		},
		"state without transitions": {
			"name='c'\ninitial='a'\n[[state]]\nname='a'\n",
			`state machine "c": state "a" must either be final or have transitions`,
		},
		"duplicate state": {
			"name='c'\ninitial='a'\n[[state]]\nname='a'\nfinal=true\n[[state]]\nname='a'\nfinal=true\n",
			`state machine "c": state "a" is declared more than once`,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := chart.Parse([]byte(tt.text))
			var definitionErr *chart.DefinitionError
			if !errors.As(err, &definitionErr) {
				t.Fatalf("got error %v, want *DefinitionError", err)
			}
			if got := err.Error(); got != tt.want {
				t.Errorf("got %s, want %s", got, tt.want)
			}
		})
	}
}
