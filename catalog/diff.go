package catalog

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/bamboostep/bamboostep"
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
	old, new := a.Objects(), b.Objects()
	changes := diffLists(nil, KindPlace, old.Places, new.Places, func(p bamboostep.Place) string { return p.Name })
	changes = diffLists(changes, KindVersion, old.Versions, new.Versions, func(v bamboostep.Version) string { return v.Name })
	changes = diffLists(changes, KindModel, old.Models, new.Models, func(m bamboostep.Model) string { return m.Name })
	changes = diffLists(changes, KindAdapter, old.Adapters, new.Adapters, func(a bamboostep.Adapter) string { return a.Name })
	return diffLists(changes, KindService, old.Services, new.Services, func(s bamboostep.Service) string { return s.Name })
}

// diffLists appends the changes between two lists in order of name.
func diffLists[T any](changes []Change, kind Kind, old, new []T, name func(T) string) []Change {
	for len(old) > 0 || len(new) > 0 {
		switch {
		case len(new) == 0 || len(old) > 0 && name(old[0]) < name(new[0]):
			changes = append(changes, Change{Kind: kind, Name: name(old[0]), Action: Removed})
			old = old[1:]
		case len(old) == 0 || name(new[0]) < name(old[0]):
			changes = append(changes, Change{Kind: kind, Name: name(new[0]), Action: Added})
			new = new[1:]
		default:
			if !reflect.DeepEqual(old[0], new[0]) {
				changes = append(changes, Change{kind, name(old[0]), Changed, diffFields(old[0], new[0])})
			}
			old, new = old[1:], new[1:]
		}
	}
	return changes
}

func diffFields(a, b any) []FieldChange {
	var fields []FieldChange
	x, y := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range x.NumField() {
		old, new := fieldText(x.Field(i)), fieldText(y.Field(i))
		if old != new {
			fields = append(fields, FieldChange{x.Type().Field(i).Tag.Get("toml"), old, new})
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
