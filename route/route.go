// Package route defines the routing table for plain HTTP requests: which host and
// path prefix map to which backend service, whether a request may be retried, its
// timeout, and the limits on request size and time.
//
// A Table is validated as a whole before it is published and is immutable
// afterwards, so a request can keep using the table that it was admitted under.
// A table may gain hundreds of routes at once. Match does one map lookup for each
// slash in the path, regardless of the number of routes.
package route

import (
	"slices"
	"strings"
	"time"

	"github.com/bamboostep/bamboostep"
)

// Kind classifies the requests of a route by whether they may be retried.
type Kind string

// Route kinds. Requests of a Streaming route may be retried if the route is Resumable.
const (
	Idempotent    Kind = "idempotent"
	NonIdempotent Kind = "non_idempotent"
	Streaming     Kind = "streaming"
)

// Route maps requests for one host and path prefix to backend services.
type Route struct {
	Name           string
	Host           string
	Prefix         string // starts and ends with a slash
	Kind           Kind
	Timeout        time.Duration     // upper bound on the time from arrival to the end of the response
	LatencyTarget  time.Duration     // latency objective: time to the response, or to the first event of a stream; 0 for none
	EventGapTarget time.Duration     // latency objective: longest gap between two events of a stream; 0 for none
	Priority       int               // priority; 0 is the highest
	Split          []WeightedService // at least one, with a positive sum of weights
	Attempts       int               // backend servers on which one request may run
	PromptAffinity bool              // requests share prompt prefixes
	Resumable      bool              // a stream may be resumed on another backend server after its last event
	Public         bool              // requires no API key
}

// WeightedService is the weight of one service in a route's traffic split.
type WeightedService struct {
	Service string
	Weight  int
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// SelectService selects a service at random by weight, or returns "" if the sum of weights is
// not positive. draw must be uniformly distributed over uint64.
func (r *Route) SelectService(draw uint64) string {
	total := r.weight()
	if total <= 0 {
		return ""
	}
	at := int(draw % uint64(total))
	for _, s := range r.Split {
		at -= s.Weight
		if at < 0 {
			return s.Service
		}
	}
	return ""
}

// HasService reports whether the route may send requests to a service.
func (r *Route) HasService(name string) bool {
	return slices.ContainsFunc(r.Split, func(s WeightedService) bool { return s.Service == name && s.Weight > 0 })
}

// weight returns the sum of the weights of all services.
func (r *Route) weight() int {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	return total
}

// Service is a pool of backend servers that run the same program.
type Service struct {
	Name           string
	HealthPath     string  // path of the health check
	MaxConnections int     // per backend server, from all callers
	Engine         *Engine // nil if the service does not run model engines
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots           int     // requests that one engine runs concurrently
	CacheTokens     int     // KV cache capacity of one engine, in tokens
	WeightsMB       float64 // accelerator memory for model weights and adapters
	AdapterSlots    int     // adapters that one engine holds at once
	LoadsPerSecond  float64 // rate limit of the weight store, across all backend servers
	MaxEventWaiters int     // concurrent callers that may wait for cache events of one backend server
	Models          []Model
}

// Model is one model of an engine service.
type Model struct {
	Name           string
	WeightsMB      float64
	AdapterMB      float64       // accelerator memory for one adapter
	AdapterCount   int           // number of adapters of the model
	StoreLoadTime  time.Duration // load time from the weight store
	DiskLoadTime   time.Duration // load time from the backend server's disk
	MemoryLoadTime time.Duration // load time from the backend server's memory
}

// Model returns the declaration of a model, or nil if there is none.
func (e *Engine) Model(name string) *Model {
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i]
		}
	}
	return nil
}

// Limits restricts the size and duration of requests. The gateway does not apply a byte
// limit of 0.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration // for reading a request head
	IdleTimeout    time.Duration // for which a connection may be idle
}

// Table is one revision of the routing table. Only a table returned by Freeze can be used
// for lookups, and it must not be modified.
type Table struct {
	Revision   uint64 // revision; a higher one replaces a lower one
	Routes     []Route
	Services   []Service
	Limits     Limits
	Workspaces []Workspace // nil if no API keys are required

	byPrefix map[hostPrefix]*Route
	services map[string]*Service
	byKey    map[bamboostep.KeyDigest]*Workspace

	workspaces map[string]*Workspace

	soleSince map[hostPrefix]time.Time // since when a route has sent all of its requests to the service that it sends them to now
}

// hostPrefix is the lookup key of a route.
type hostPrefix struct{ host, prefix string }

func (r *Route) key() hostPrefix { return hostPrefix{canonicalHost(r.Host), r.Prefix} }

// canonicalHost returns the form in which hosts are compared: in lower case, without a port and without
// the dot that ends a fully qualified name.
func canonicalHost(host string) string {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.TrimSuffix(host, ".")
}

// Freeze validates t and returns a copy with its lookup indexes built. The copy shares the
// slices of t. The error is the first *ValidationError.
func (t Table) Freeze() (*Table, error) {
	if issues := t.index(); len(issues) > 0 {
		return nil, issues[0]
	}
	return &t, nil
}

// Issues returns everything for which Freeze refuses t, in the order of its checks.
func (t Table) Issues() []*ValidationError { return t.index() }

// index builds the lookup indexes of t and returns what is invalid.
func (t *Table) index() []*ValidationError {
	t.services = make(map[string]*Service, len(t.Services))
	for i := range t.Services {
		t.services[t.Services[i].Name] = &t.Services[i]
	}
	var issues []*ValidationError
	t.byPrefix = make(map[hostPrefix]*Route, len(t.Routes))
	for i := range t.Routes {
		r := &t.Routes[i]
		if issue := t.findIssue(r); issue != "" {
			issues = append(issues, &ValidationError{Route: r.Name, Issue: issue})
			continue
		}
		t.byPrefix[r.key()] = r
	}
	return append(issues, t.indexWorkspaces()...)
}

// Service returns the service with the given name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Engine returns the engine settings of a service, or nil if it is unknown or runs no
// engines. t may be nil.
func (t *Table) Engine(service string) *Engine {
	if t == nil || t.services[service] == nil {
		return nil
	}
	return t.services[service].Engine
}

// HealthPath returns the health check path of a service's backend servers, or "" if the
// service is unknown or declares none. t may be nil.
func (t *Table) HealthPath(service string) string {
	if t == nil || t.services[service] == nil {
		return ""
	}
	return t.services[service].HealthPath
}

// EngineServices returns the names of the services that run engines. t may be nil.
func (t *Table) EngineServices() []string {
	if t == nil {
		return nil
	}
	var names []string
	for _, s := range t.Services {
		if s.Engine != nil {
			names = append(names, s.Name)
		}
	}
	return names
}

// Match returns the route for host whose prefix is the longest one that path starts with,
// or nil. host is compared as canonicalHost has it.
func (t *Table) Match(host, path string) *Route {
	host = canonicalHost(host)
	for end := len(path); end > 0; {
		i := strings.LastIndexByte(path[:end], '/')
		if i < 0 {
			return nil
		}
		if r := t.byPrefix[hostPrefix{host, path[:i+1]}]; r != nil {
			return r
		}
		end = i
	}
	return nil
}
