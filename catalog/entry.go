package catalog

import (
	"errors"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"github.com/bamboostep/bamboostep"
)

// entry is one object with the place where it was declared. Objects that came
// over the network have no file.
type entry struct {
	kind   Kind
	object any // pointer to the object
	file   string
	line   int
	lines  map[string]int  // line of each field that was set
	broken bool            // a syntax error hid fields
	bad    map[string]bool // fields that could not be read
}

func newEntry(kind Kind) (*entry, bool) {
	e := &entry{kind: kind, lines: make(map[string]int), bad: make(map[string]bool)}
	switch kind {
	case KindPlace:
		e.object = new(bamboostep.Place)
	case KindVersion:
		e.object = new(bamboostep.Version)
	case KindModel:
		e.object = new(bamboostep.Model)
	case KindAdapter:
		e.object = new(bamboostep.Adapter)
	case KindService:
		e.object = new(bamboostep.Service)
	default:
		return nil, false
	}
	return e, true
}

func (e *entry) name() string { return objectName(e.object) }

// unread reports whether some field of e could not be read.
func (e *entry) unread() bool { return e.broken || len(e.bad) > 0 }

func objectName(object any) string {
	return reflect.ValueOf(object).Elem().FieldByName("Name").String()
}

// problem returns a mistake in a field of e, at the field's line if it was set.
func (e *entry) problem(field, issue string) Problem {
	line, ok := e.lines[field]
	if !ok {
		line = e.line
	}
	return Problem{File: e.file, Line: line, Kind: e.kind, Name: e.name(), Field: field, Issue: issue}
}

// fieldIssue words a decoding error of one field.
func (e *entry) fieldIssue(key string, err error) string {
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) {
		return "is unknown"
	}
	if want, ok := e.wanted(key); ok {
		return "must be " + want
	}
	return "is wrong: " + strings.TrimPrefix(err.Error(), "toml: ")
}

// wanted words the type of a field.
func (e *entry) wanted(key string) (string, bool) {
	t := reflect.TypeOf(e.object).Elem()
	for i := range t.NumField() {
		if t.Field(i).Tag.Get("toml") != key {
			continue
		}
		switch t.Field(i).Type.Kind() {
		case reflect.String:
			return "a string", true
		case reflect.Bool:
			return "true or false", true
		case reflect.Int, reflect.Int64:
			return "a whole number", true
		case reflect.Float64:
			return "a number", true
		case reflect.Slice:
			return "a list of strings", true
		}
	}
	return "", false
}

// entriesOf returns the objects of a set as entries without positions.
func entriesOf(o Objects) []*entry {
	var list []*entry
	add := func(kind Kind, object any) {
		list = append(list, &entry{kind: kind, object: object})
	}
	for i := range o.Places {
		add(KindPlace, &o.Places[i])
	}
	for i := range o.Versions {
		add(KindVersion, &o.Versions[i])
	}
	for i := range o.Models {
		add(KindModel, &o.Models[i])
	}
	for i := range o.Adapters {
		add(KindAdapter, &o.Adapters[i])
	}
	for i := range o.Services {
		add(KindService, &o.Services[i])
	}
	return list
}

// collect returns the objects of entries, in their order.
func collect(entries []*entry) Objects {
	var o Objects
	for _, e := range entries {
		switch v := e.object.(type) {
		case *bamboostep.Place:
			o.Places = append(o.Places, *v)
		case *bamboostep.Version:
			o.Versions = append(o.Versions, *v)
		case *bamboostep.Model:
			o.Models = append(o.Models, *v)
		case *bamboostep.Adapter:
			o.Adapters = append(o.Adapters, *v)
		case *bamboostep.Service:
			o.Services = append(o.Services, *v)
		}
	}
	return o
}
