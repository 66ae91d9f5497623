package bamboostep

// This file defines the objects of the configuration. Operators write them in TOML.
// They refer to each other by name: an Adapter to its Model, a Model to its Version and
// Place, a Service to its Place. Package catalog reads, validates and compares complete
// sets of objects.

// PlaceKind is the kind of backend server in a Place.
type PlaceKind string

// The kinds of Place.
const (
	EnginePlace      PlaceKind = "engine"      // model engines
	ApplicationPlace PlaceKind = "application" // plain application services
)

// Class is the priority class of a request. Classes with a lower Rank are served first.
type Class string

// The classes, most important first.
const (
	ClassWrite    Class = "write"    // orders, bookings, material draws
	ClassQuote    Class = "quote"    // quotations
	ClassQuestion Class = "question" // quick questions, checks
)

// Rank returns the priority of c; 0 is the most important. An unknown class has the
// lowest priority.
func (c Class) Rank() int {
	switch c {
	case ClassWrite:
		return 0
	case ClassQuote:
		return 1
	}
	return 2
}

// Place is a pool of backend servers of the same kind and size.
type Place struct {
	Name           string    `toml:"name" msgpack:"name" json:"name"`
	Kind           PlaceKind `toml:"kind" msgpack:"kind" json:"kind"`
	Workers        int       `toml:"workers" msgpack:"workers" json:"workers"`          // VMs expected in the pool
	MemoryMiB      int64     `toml:"memory_mib" msgpack:"memory_mib" json:"memory_mib"` // accelerator memory of one VM, MiB
	FailureDomains []string  `toml:"failure_domains" msgpack:"failure_domains" json:"failure_domains"`
	FencesOrders   bool      `toml:"fences_orders" msgpack:"fences_orders" json:"fences_orders"`    // engines reject an order with an outdated fencing token
	LoadsAtOnce    int       `toml:"loads_at_once" msgpack:"loads_at_once" json:"loads_at_once"`    // concurrent loads from the weight store up to which it does not slow down
	ModelsAtOnce   int       `toml:"models_at_once" msgpack:"models_at_once" json:"models_at_once"` // of these, models that can load concurrently at full speed; 0 means loads_at_once
	MoveWeight     float64   `toml:"move_weight" msgpack:"move_weight" json:"move_weight"`          // cost of one load or unload, as a number of requests answered within the target
}

// WithWorkers returns a copy of p with the number of expected VMs set to n.
func (p Place) WithWorkers(n int) Place {
	p.Workers = n
	return p
}

// WithMemoryMiB returns a copy of p with the memory of one VM set to n MiB.
func (p Place) WithMemoryMiB(n int64) Place {
	p.MemoryMiB = n
	return p
}

// Version is a set of model weights in the weight store.
type Version struct {
	Name       string `toml:"name" msgpack:"name" json:"name"`
	WeightsMiB int64  `toml:"weights_mib" msgpack:"weights_mib" json:"weights_mib"`

	// LoadsQuickly is true if a VM that keeps the weights locally loads them so fast that a
	// request can wait for it.
	LoadsQuickly bool `toml:"-" msgpack:"-" json:"-"`
}

// WithWeightsMiB returns a copy of v with its size set to n MiB.
func (v Version) WithWeightsMiB(n int64) Version {
	v.WeightsMiB = n
	return v
}

// Model is a model that callers can request by name.
type Model struct {
	Name            string `toml:"name" msgpack:"name" json:"name"`
	Version         string `toml:"version" msgpack:"version" json:"version"`
	Place           string `toml:"place" msgpack:"place" json:"place"`
	CacheMiB        int64  `toml:"cache_mib" msgpack:"cache_mib" json:"cache_mib"`    // memory reserved for the KV cache in addition to the weights, MiB
	MinCopies       int    `toml:"min_copies" msgpack:"min_copies" json:"min_copies"` // minimum number of resident copies, at least 1
	Class           Class  `toml:"class" msgpack:"class" json:"class"`
	FirstTokenMS    int64  `toml:"first_token_ms" msgpack:"first_token_ms" json:"first_token_ms"`          // target time to the first token, milliseconds
	BetweenTokensMS int64  `toml:"between_tokens_ms" msgpack:"between_tokens_ms" json:"between_tokens_ms"` // target time between two tokens, milliseconds
}

// WithVersion returns a copy of m with its weights set to the named version.
func (m Model) WithVersion(version string) Model {
	m.Version = version
	return m
}

// WithMinCopies returns a copy of m with the minimum number of resident copies set to
// n.
func (m Model) WithMinCopies(n int) Model {
	m.MinCopies = n
	return m
}

// Adapter is a small set of weights that is applied on top of a Model. Callers request
// it by name, in place of a model.
type Adapter struct {
	Name       string `toml:"name" msgpack:"name" json:"name"`
	Model      string `toml:"model" msgpack:"model" json:"model"`
	Version    string `toml:"version" msgpack:"version" json:"version"`
	WeightsMiB int64  `toml:"weights_mib" msgpack:"weights_mib" json:"weights_mib"`
}

// WithModel returns a copy of a with its base model set to the named one.
func (a Adapter) WithModel(model string) Adapter {
	a.Model = model
	return a
}

// Service is a plain application service. Requests whose path starts with PathPrefix
// are forwarded to it unchanged.
type Service struct {
	Name        string `toml:"name" msgpack:"name" json:"name"`
	Place       string `toml:"place" msgpack:"place" json:"place"`
	PathPrefix  string `toml:"path_prefix" msgpack:"path_prefix" json:"path_prefix"`
	Class       Class  `toml:"class" msgpack:"class" json:"class"`
	Idempotent  bool   `toml:"idempotent" msgpack:"idempotent" json:"idempotent"`          // a request may run more than once
	NameHeader  string `toml:"name_header" msgpack:"name_header" json:"name_header"`       // header that holds a request's idempotency key
	NameField   string `toml:"name_field" msgpack:"name_field" json:"name_field"`          // top-level JSON field that holds a request's idempotency key
	NameWindowS int64  `toml:"name_window_s" msgpack:"name_window_s" json:"name_window_s"` // how long a request with the same body counts as the same request, seconds
	AnswerMS    int64  `toml:"answer_ms" msgpack:"answer_ms" json:"answer_ms"`             // target time to the complete answer, milliseconds
}

// WithIdempotent returns a copy of s with Idempotent set.
func (s Service) WithIdempotent(idempotent bool) Service {
	s.Idempotent = idempotent
	return s
}
