package catalog

import (
	"fmt"
	"reflect"
	"strings"
)

// Action says how an object changed from one set to another.
type Action string

// The actions.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
)

// FieldChange is one changed field of an object.
type FieldChange struct {
	Field string `json:"field"`
	Old   string `json:"old"`
	New   string `json:"new"`
}

// Change is one object that differs between two sets.
type Change struct {
	Kind   Kind          `json:"kind"`
	Name   string        `json:"name"`
	Action Action        `json:"action"`
	Fields []FieldChange `json:"fields,omitempty"` // when Action is Changed
}

// String returns c as one line.
func (c Change) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %q %s", c.Kind, c.Name, c.Action)
	for i, f := range c.Fields {
		separator := ","
		if i == 0 {
			separator = ":"
		}
		fmt.Fprintf(&b, "%s %s %s -> %s", separator, f.Field, f.Old, f.New)
	}
	return b.String()
}

// Diff returns what changes from a to b, by kind and then by name.
func Diff(a, b *Set) []Change {
	old, next := a.Objects(), b.Objects()
	changes := diffLists(nil, KindPlace, old.Places, next.Places, placeName)
	changes = diffLists(changes, KindVersion, old.Versions, next.Versions, versionName)
	changes = diffLists(changes, KindModel, old.Models, next.Models, modelName)
	changes = diffLists(changes, KindAdapter, old.Adapters, next.Adapters, adapterName)
	return diffLists(changes, KindService, old.Services, next.Services, serviceName)
}

// diffLists appends the changes between two lists in order of name.
func diffLists[T any](changes []Change, kind Kind, old, next []T, name func(T) string) []Change {
	for len(old) > 0 || len(next) > 0 {
		switch {
		case len(next) == 0 || len(old) > 0 && name(old[0]) < name(next[0]):
			changes = append(changes, Change{Kind: kind, Name: name(old[0]), Action: Removed})
			old = old[1:]
		case len(old) == 0 || name(next[0]) < name(old[0]):
			changes = append(changes, Change{Kind: kind, Name: name(next[0]), Action: Added})
			next = next[1:]
		default:
			if !reflect.DeepEqual(old[0], next[0]) {
				changes = append(changes, Change{kind, name(old[0]), Changed, diffFields(old[0], next[0])})
			}
			old, next = old[1:], next[1:]
		}
	}
	return changes
}

func diffFields(a, b any) []FieldChange {
	var fields []FieldChange
	x, y := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range x.NumField() {
		old, next := fieldText(x.Field(i)), fieldText(y.Field(i))
		if old != next {
			fields = append(fields, FieldChange{x.Type().Field(i).Tag.Get("toml"), old, next})
		}
	}
	return fields
}

func fieldText(v reflect.Value) string {
	switch v.Kind() {
	case reflect.String:
		return fmt.Sprintf("%q", v.String())
	case reflect.Slice:
		return fmt.Sprintf("%q", v.Interface())
	}
	return fmt.Sprint(v.Interface())
}
