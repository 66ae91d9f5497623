package placement

import (
	"errors"
	"testing"

	"github.com/bamboostep/bamboostep/fleet"
)

func TestOutcomeOf(t *testing.T) {
	for name, c := range map[string]struct {
		err  error
		want string
	}{
		"taken":            {nil, "taken"},
		"refused":          {&fleet.RefusedError{Code: "no_room"}, "no_room"},
		"no answer":        {&fleet.RefusedError{Code: fleet.CodeNoAnswer}, fleet.CodeNoAnswer},
		"holder not there": {errors.New("holder is not connected"), "unreachable"},
	} {
		t.Run(name, func(t *testing.T) {
			if got := outcomeOf(c.err); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}
