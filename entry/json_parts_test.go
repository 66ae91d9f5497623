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

func TestOnePrompt(t *testing.T) {
	for name, c := range map[string]struct {
		prompt string
		ok     bool
	}{
		"text":                   {`"how far apart"`, true},
		"tokens":                 {`[1, 2, 3]`, true},
		"one token":              {`[1]`, true},
		"a null among tokens":    {`[1, null]`, true},
		"a list of one text":     {`["a"]`, true},
		"a list of one list":     {`[[1, 2]]`, true},
		"a list of one fraction": {`[1.5]`, true},
		"two texts":              {`["a", "b"]`, false},
		"two lists of tokens":    {`[[1], [2]]`, false},
		"tokens and a text":      {`[1, "a"]`, false},
		"two fractions":          {`[1.5, 2]`, false},
		"a number beyond any":    {`[1, 99999999999999999999]`, false},
		"none":                   {`[]`, false},
		"an object":              {`{"a":1}`, false},
		"a number":               {`7`, false},
		"a truth value":          {`true`, false},
	} {
		t.Run(name, func(t *testing.T) {
			if err := hasOnePrompt([]byte(c.prompt)); (err == nil) != c.ok {
				t.Errorf("got error %v, want a single prompt %v", err, c.ok)
			}
		})
	}
}
