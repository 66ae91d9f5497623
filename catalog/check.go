package catalog

// Checks over a whole set. Every rule reports through the same checker, so that
// one run finds all mistakes. What only follows from a mistake that was reported
// already is left out: checks of a field that could not be read, and checks
// behind a broken reference.

import (
	"fmt"
	"math"
	"path"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/bamboostep/bamboostep"
)

// reservedPrefix is what an entry serves callers itself.
const reservedPrefix = "/v1"

// maxNumber bounds every size, count and time, so that sums cannot overflow.
const maxNumber = 1 << 30

const maxNameBytes = 128

// Check checks objects that did not come from files. The error is a
// *ProblemsError.
func Check(o Objects) error {
	problems := check(entriesOf(o))
	if len(problems) == 0 {
		return nil
	}
	return &ProblemsError{problems}
}

func check(entries []*entry) []Problem {
	c := &checker{
		places:   make(map[string]*bamboostep.Place),
		versions: make(map[string]*bamboostep.Version),
		models:   make(map[string]*bamboostep.Model),
		adapters: make(map[string]*bamboostep.Adapter),
		unread:   make(map[string]bool),
		entries:  entries,
	}
	c.index()
	for _, e := range entries {
		if !e.broken {
			c.checkEntry(e)
		}
	}
	c.checkPrefixes()
	if len(c.problems) == 0 && !slices.ContainsFunc(entries, (*entry).unread) {
		c.checkMemory()
		c.checkAdapterMemory()
	}
	return c.problems
}

type checker struct {
	places   map[string]*bamboostep.Place
	versions map[string]*bamboostep.Version
	models   map[string]*bamboostep.Model
	adapters map[string]*bamboostep.Adapter
	unread   map[string]bool // places of which some field could not be read
	entries  []*entry
	problems []Problem
}

func (c *checker) report(e *entry, field, format string, args ...any) {
	if e.bad[field] {
		return
	}
	c.problems = append(c.problems, e.problem(field, fmt.Sprintf(format, args...)))
}

// index notes every object by its name and reports duplicate names. Models and
// adapters share the namespace that callers use.
func (c *checker) index() {
	type nameKey struct{ space, name string }
	first := make(map[nameKey]*entry)
	for _, e := range c.entries {
		if e.name() == "" {
			c.report(e, "name", "is missing")
			continue
		}
		c.checkName(e)
		space := string(e.kind)
		if e.kind == KindAdapter {
			space = string(KindModel)
		}
		key := nameKey{space, e.name()}
		if other, taken := first[key]; taken {
			c.report(e, "name", "is taken by the %s %s", other.kind, other.where())
			continue
		}
		first[key] = e
		c.note(e)
	}
}

// checkName refuses names that would not survive a URL, a log line or a metric
// label.
func (c *checker) checkName(e *entry) {
	name := e.name()
	bad := func(r rune) bool { return unicode.IsSpace(r) || !unicode.IsPrint(r) || strings.ContainsRune(`"'=`, r) }
	if strings.ContainsFunc(name, bad) || !utf8.ValidString(name) {
		c.report(e, "name", "must hold no space, quotation mark, equals sign or control character")
	}
	if len(name) > maxNameBytes {
		c.report(e, "name", "is %d bytes long, at most %d", len(name), maxNameBytes)
	}
}

func (e *entry) where() string {
	if e.file == "" {
		return "of the same name"
	}
	return fmt.Sprintf("at %s:%d", e.file, e.line)
}

func (c *checker) note(e *entry) {
	switch v := e.object.(type) {
	case *bamboostep.Place:
		c.places[v.Name] = v
		c.unread[v.Name] = e.unread()
	case *bamboostep.Version:
		c.versions[v.Name] = v
	case *bamboostep.Model:
		c.models[v.Name] = v
	case *bamboostep.Adapter:
		c.adapters[v.Name] = v
	}
}

func (c *checker) checkEntry(e *entry) {
	switch v := e.object.(type) {
	case *bamboostep.Place:
		c.checkPlace(e, v)
	case *bamboostep.Version:
		c.checkPositive(e, "weights_mib", v.WeightsMiB)
	case *bamboostep.Model:
		c.checkModel(e, v)
	case *bamboostep.Adapter:
		c.checkAdapter(e, v)
	case *bamboostep.Service:
		c.checkService(e, v)
	}
}

func (c *checker) checkPositive(e *entry, field string, n int64) {
	if n <= 0 {
		c.report(e, field, "must be above 0, is %d", n)
	}
	c.checkNotHuge(e, field, n)
}

func (c *checker) checkNotNegative(e *entry, field string, n int64) {
	if n < 0 {
		c.report(e, field, "must not be negative, is %d", n)
	}
	c.checkNotHuge(e, field, n)
}

func (c *checker) checkNotHuge(e *entry, field string, n int64) {
	if n > maxNumber {
		c.report(e, field, "must be at most %d, is %d", maxNumber, n)
	}
}

func (c *checker) checkPlace(e *entry, p *bamboostep.Place) {
	switch p.Kind {
	case bamboostep.EnginePlace:
		c.checkPositive(e, "memory_mib", p.MemoryMiB)
	case bamboostep.ApplicationPlace:
		c.checkNotNegative(e, "memory_mib", p.MemoryMiB)
	default:
		c.report(e, "kind", "must be %q or %q, is %q", bamboostep.EnginePlace, bamboostep.ApplicationPlace, p.Kind)
	}
	c.checkNotNegative(e, "workers", int64(p.Workers))
	c.checkNotNegative(e, "loads_at_once", int64(p.LoadsAtOnce))
	if p.MoveWeight < 0 || math.IsNaN(p.MoveWeight) || math.IsInf(p.MoveWeight, 0) {
		c.report(e, "move_weight", "must be a finite number, 0 or above, is %v", p.MoveWeight)
	}
	for i, domain := range p.FailureDomains {
		if slices.Contains(p.FailureDomains[:i], domain) {
			c.report(e, "failure_domains", "names %q twice", domain)
		}
	}
}

func (c *checker) checkModel(e *entry, m *bamboostep.Model) {
	if _, ok := c.versions[m.Version]; !ok {
		c.report(e, "version", "names version %q, which does not exist", m.Version)
	}
	c.checkNotNegative(e, "cache_mib", m.CacheMiB)
	c.checkNotNegative(e, "first_token_ms", m.FirstTokenMS)
	c.checkNotNegative(e, "between_tokens_ms", m.BetweenTokensMS)
	c.checkClass(e, m.Class)
	if m.MinCopies < 1 {
		c.report(e, "min_copies", "must be at least 1, is %d", m.MinCopies)
	}
	p, ok := c.checkPlaceOf(e, m.Place, bamboostep.EnginePlace)
	if ok && m.MinCopies > p.Workers {
		c.report(e, "min_copies", "is %d, but place %q has %d workers", m.MinCopies, p.Name, p.Workers)
	}
}

func (c *checker) checkClass(e *entry, class bamboostep.Class) {
	switch class {
	case bamboostep.ClassWrite, bamboostep.ClassQuote, bamboostep.ClassQuestion:
	default:
		c.report(e, "class", "must be %q, %q or %q, is %q",
			bamboostep.ClassWrite, bamboostep.ClassQuote, bamboostep.ClassQuestion, class)
	}
}

// checkPlaceOf checks that a model or service has a place with backend servers
// of the right kind.
func (c *checker) checkPlaceOf(e *entry, name string, kind bamboostep.PlaceKind) (*bamboostep.Place, bool) {
	p, ok := c.places[name]
	if !ok {
		c.report(e, "place", "names place %q, which does not exist", name)
		return nil, false
	}
	if c.unread[name] {
		return nil, false
	}
	if p.Kind != kind {
		c.report(e, "place", "names place %q, which is of kind %q, want %q", name, p.Kind, kind)
		return nil, false
	}
	if p.Workers < 1 {
		c.report(e, "place", "names place %q, which has no backend server (workers is %d)", name, p.Workers)
		return nil, false
	}
	return p, true
}

func (c *checker) checkAdapter(e *entry, a *bamboostep.Adapter) {
	c.checkPositive(e, "weights_mib", a.WeightsMiB)
	if a.Version == "" {
		c.report(e, "version", "is missing")
	}
	if _, ok := c.models[a.Model]; ok {
		return
	}
	if _, ok := c.adapters[a.Model]; !ok {
		c.report(e, "model", "names model %q, which does not exist", a.Model)
		return
	}
	if chain, cycle := c.adapterCycle(a); cycle {
		c.report(e, "model", "is in a cycle: %s", strings.Join(chain, " -> "))
		return
	}
	c.report(e, "model", "names %q, which is an adapter and not a model", a.Model)
}

// adapterCycle follows adapters that name adapters from a, and reports whether
// they lead back to it.
func (c *checker) adapterCycle(a *bamboostep.Adapter) (chain []string, cycle bool) {
	chain = []string{a.Name}
	for next := c.adapters[a.Model]; next != nil; next = c.adapters[next.Model] {
		chain = append(chain, next.Name)
		if next.Name == a.Name {
			return chain, true
		}
		if len(chain) > len(c.adapters) {
			return nil, false
		}
	}
	return nil, false
}

func (c *checker) checkService(e *entry, s *bamboostep.Service) {
	c.checkPlaceOf(e, s.Place, bamboostep.ApplicationPlace)
	c.checkClass(e, s.Class)
	c.checkNotNegative(e, "answer_ms", s.AnswerMS)
	c.checkNotNegative(e, "name_window_s", s.NameWindowS)
	if !s.Idempotent && s.NameHeader == "" && s.NameField == "" && s.NameWindowS == 0 {
		c.report(e, "idempotent", "is false, so name_header, name_field or name_window_s must say how a request is named")
	}
	c.checkPrefix(e, s.PathPrefix)
}

func (c *checker) checkPrefix(e *entry, prefix string) {
	if !strings.HasPrefix(prefix, "/") || strings.Trim(prefix, "/") == "" {
		c.report(e, "path_prefix", "must begin with a slash and name a path, is %q", prefix)
		return
	}
	if strings.ContainsAny(prefix, "?# ") {
		c.report(e, "path_prefix", "must hold no question mark, hash or space, is %q", prefix)
	}
	if path.Clean(prefix) != strings.TrimSuffix(prefix, "/") {
		c.report(e, "path_prefix", "must hold no empty, . or .. element, is %q", prefix)
	}
	if hasPathPrefix(prefix, reservedPrefix) {
		c.report(e, "path_prefix", "%q clashes with %q, which every entry serves itself", prefix, reservedPrefix+"/")
	}
}

// checkPrefixes reports services that would take each other's requests. A
// longer prefix below another one is no clash: the longest prefix wins.
func (c *checker) checkPrefixes() {
	first := make(map[string]string)
	for _, e := range c.entries {
		s, ok := e.object.(*bamboostep.Service)
		if !ok {
			continue
		}
		prefix := strings.TrimSuffix(s.PathPrefix, "/")
		if other, taken := first[prefix]; taken {
			c.report(e, "path_prefix", "%q clashes with service %q", s.PathPrefix, other)
			continue
		}
		first[prefix] = s.Name
	}
}
