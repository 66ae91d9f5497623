package memory

import (
	"strings"
	"testing"
)

func TestHeadBytes(t *testing.T) {
	for name, c := range map[string]struct {
		head map[string][]string
		want int64
	}{
		"empty":      {nil, 0},
		"one field":  {map[string][]string{"Host": {"h"}}, fieldBytes + 10},
		"two values": {map[string][]string{"A": {"b", ""}}, 2*fieldBytes + 6},
		"long value": {map[string][]string{"A": {strings.Repeat("x", 1000)}}, fieldBytes + 2002},
	} {
		t.Run(name, func(t *testing.T) {
			if got := HeadBytes(c.head); got != c.want {
				t.Errorf("got %d, want %d", got, c.want)
			}
		})
	}
}
