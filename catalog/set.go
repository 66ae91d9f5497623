// Package catalog holds the declared objects: whole sets of models, adapters,
// versions, places and services, as one published revision.
//
// A Set is immutable and may be shared freely. It is built from TOML files or
// from its encoded form, indexed once, and then only read.
package catalog

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/wire"
)

// Objects are the objects of a set. Within a Set they are in order of name.
type Objects struct {
	Places   []bamboostep.Place   `toml:"place" msgpack:"places" json:"places"`
	Versions []bamboostep.Version `toml:"version" msgpack:"versions" json:"versions"`
	Models   []bamboostep.Model   `toml:"model" msgpack:"models" json:"models"`
	Adapters []bamboostep.Adapter `toml:"adapter" msgpack:"adapters" json:"adapters"`
	Services []bamboostep.Service `toml:"service" msgpack:"services" json:"services"`
}

// Set is one whole set of objects, and the revision under which it was published.
type Set struct {
	revision uint64
	objects  Objects
	places   map[string]bamboostep.Place
	versions map[string]bamboostep.Version
	models   map[string]bamboostep.Model
	adapters map[string]bamboostep.Adapter
	services map[string]bamboostep.Service
	encoding *encoding
}

// encoding is the encoded form of a set, made when it is first asked for.
type encoding struct {
	once sync.Once
	data []byte
	err  error
}

// New returns a set of the objects. It does not check them.
func New(objects Objects) *Set {
	objects = objects.sorted()
	s := &Set{
		objects:  objects,
		places:   make(map[string]bamboostep.Place),
		versions: make(map[string]bamboostep.Version),
		models:   make(map[string]bamboostep.Model),
		adapters: make(map[string]bamboostep.Adapter),
		services: make(map[string]bamboostep.Service),
		encoding: new(encoding),
	}
	for _, p := range objects.Places {
		s.places[p.Name] = p
	}
	for _, v := range objects.Versions {
		s.versions[v.Name] = v
	}
	for _, m := range objects.Models {
		s.models[m.Name] = m
	}
	for _, a := range objects.Adapters {
		s.adapters[a.Name] = a
	}
	for _, v := range objects.Services {
		s.services[v.Name] = v
	}
	return s
}

// sorted returns a copy of o in order of name, so that equal sets have equal
// encodings however their files were arranged.
func (o Objects) sorted() Objects {
	o.Places = slices.Clone(o.Places)
	for i := range o.Places {
		if len(o.Places[i].FailureDomains) == 0 {
			o.Places[i].FailureDomains = nil
		}
	}
	return Objects{
		Places:   sortedByName(o.Places, placeName),
		Versions: sortedByName(o.Versions, versionName),
		Models:   sortedByName(o.Models, modelName),
		Adapters: sortedByName(o.Adapters, adapterName),
		Services: sortedByName(o.Services, serviceName),
	}
}

func placeName(p bamboostep.Place) string     { return p.Name }
func versionName(v bamboostep.Version) string { return v.Name }
func modelName(m bamboostep.Model) string     { return m.Name }
func adapterName(a bamboostep.Adapter) string { return a.Name }
func serviceName(s bamboostep.Service) string { return s.Name }

func sortedByName[T any](list []T, name func(T) string) []T {
	return slices.SortedStableFunc(slices.Values(list), func(a, b T) int {
		return strings.Compare(name(a), name(b))
	})
}

// Revision returns the revision that s was published as, or 0.
func (s *Set) Revision() uint64 { return s.revision }

// WithRevision returns s as published under revision n.
func (s *Set) WithRevision(n uint64) *Set {
	c := *s
	c.revision = n
	c.encoding = new(encoding)
	return &c
}

// Objects returns the objects of s, which the caller must not change.
func (s *Set) Objects() Objects { return s.objects }

// Place returns the named place.
func (s *Set) Place(name string) (bamboostep.Place, bool) {
	p, ok := s.places[name]
	return p, ok
}

// Version returns the named version.
func (s *Set) Version(name string) (bamboostep.Version, bool) {
	v, ok := s.versions[name]
	return v, ok
}

// Model returns the named model.
func (s *Set) Model(name string) (bamboostep.Model, bool) {
	m, ok := s.models[name]
	return m, ok
}

// Adapter returns the named adapter.
func (s *Set) Adapter(name string) (bamboostep.Adapter, bool) {
	a, ok := s.adapters[name]
	return a, ok
}

// Service returns the named service.
func (s *Set) Service(name string) (bamboostep.Service, bool) {
	v, ok := s.services[name]
	return v, ok
}

// ServiceFor returns the service with the longest prefix of an HTTP path. A
// prefix ends at a slash or at the end of the path.
func (s *Set) ServiceFor(path string) (bamboostep.Service, bool) {
	var best bamboostep.Service
	for _, name := range slices.Sorted(maps.Keys(s.services)) {
		v := s.services[name]
		if hasPathPrefix(path, v.PathPrefix) && len(v.PathPrefix) > len(best.PathPrefix) {
			best = v
		}
	}
	return best, best.Name != ""
}

func hasPathPrefix(path, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && prefix != "" && (rest == "" || rest[0] == '/' || rest[0] == '?')
}

type encodedSet struct {
	Revision uint64  `msgpack:"revision"`
	Objects  Objects `msgpack:"objects"`
}

// Encode returns s in the form that Decode reads. The caller must not change it.
func (s *Set) Encode() ([]byte, error) {
	e := s.encoding
	e.once.Do(func() { e.data, e.err = msgpack.Marshal(encodedSet{s.revision, s.objects}) })
	return e.data, e.err
}

// Decode reads the form that Encode writes.
func Decode(data []byte) (*Set, error) {
	var e encodedSet
	if err := wire.CheckEncoding(data); err != nil {
		return nil, fmt.Errorf("encoded set: %w", err)
	}
	if err := msgpack.Unmarshal(data, &e); err != nil {
		return nil, fmt.Errorf("encoded set: %w", err)
	}
	return New(e.Objects).WithRevision(e.Revision), nil
}
