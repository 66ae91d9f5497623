package chart_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/bamboostep/bamboostep/chart"
)

const door = `
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

func ExampleChart_Next() {
	c := chart.MustParse([]byte(door))
	s, _ := c.Next(c.Initial(), "open")
	fmt.Println(s, c.Final(s))
	_, err := c.Next(s, "open")
	fmt.Println(err)
	// Output:
	// ajar true
	// state "ajar" of chart "door" does not list event "open"
}

func TestParseRefuses(t *testing.T) {
	tests := map[string]struct{ text, want string }{
		"undeclared target": {
			"name='c'\ninitial='a'\n[[state]]\nname='a'\n[state.on]\ngo='b'\n",
			`chart "c": event "go" of state "a" leads to "b", which is not declared`,
		},
		"unreachable state": {
			"name='c'\ninitial='a'\n[[state]]\nname='a'\nfinal=true\n[[state]]\nname='b'\nfinal=true\n",
			`chart "c": state "b" cannot be reached`,
		},
		"dead end": {
			"name='c'\ninitial='a'\n[[state]]\nname='a'\n",
			`chart "c": state "a" must either be final or list events`,
		},
		"state twice": {
			"name='c'\ninitial='a'\n[[state]]\nname='a'\nfinal=true\n[[state]]\nname='a'\nfinal=true\n",
			`chart "c": state "a" is declared twice`,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := chart.Parse([]byte(tt.text))
			var invalid *chart.InvalidError
			if !errors.As(err, &invalid) {
				t.Fatalf("got error %v, want *InvalidError", err)
			}
			if got := err.Error(); got != tt.want {
				t.Errorf("got %s, want %s", got, tt.want)
			}
		})
	}
}
