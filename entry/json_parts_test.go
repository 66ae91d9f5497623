package main

import (
	"strings"
	"testing"
)

func TestTopLevelField(t *testing.T) {
	for name, c := range map[string]struct{ data, want string }{
		"text":             {`{"a":1,"id":"x"}`, `"x"`},
		"number":           {`{"id": 17 }`, `17`},
		"object":           {`{"id":{"b":[1, 2]}}`, `{"b":[1, 2]}`},
		"the last of two":  {`{"id":1,"id":2}`, `2`},
		"in other values":  {`{"a":{"id":1},"b":[{"id":2}],"c":"id","id":3}`, `3`},
		"escaped name":     {`{"\u0069d":4}`, `4`},
		"missing":          {`{"a":{"id":1}}`, ``},
		"no object":        {`["id"]`, ``},
		"a text":           {`"id"`, ``},
		"empty":            {``, ``},
		"breaks off":       {`{"id":1`, ``},
		"more than one":    {`{"id":1}{"id":2}`, ``},
		"too deep":         {`{"id":1,"a":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `}`, ``},
		"invalid after it": {`{"id":1,"a":tru}`, ``},
	} {
		t.Run(name, func(t *testing.T) {
			if got := topLevelField([]byte(c.data), "id"); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}
