package route

import (
	"fmt"
	"strings"
)

// ValidationError describes why a route table is invalid.
type ValidationError struct {
	Route string // empty if the error concerns the table as a whole
	Issue string
}

// Error implements error.
func (e *ValidationError) Error() string {
	if e.Route == "" {
		return "routes: " + e.Issue
	}
	return fmt.Sprintf("route %q: %s", e.Route, e.Issue)
}

// findIssue describes the first problem found in r, given the services and the routes that were
// indexed before it, or returns "" if r is valid.
func (t *Table) findIssue(r *Route) string {
	switch {
	case r.Host == "":
		return "has no host"
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Sprintf("prefix %q does not start and end with a slash", r.Prefix)
	case t.byPrefix[r.key()] != nil:
		return fmt.Sprintf("host and prefix are already used by route %q", t.byPrefix[r.key()].Name)
	case r.Timeout <= 0:
		return "timeout must be positive"
	case r.Attempts < 1:
		return "attempts must be at least 1"
	case r.weight() <= 0:
		return "sum of service weights must be positive"
	}
	switch r.Kind {
	case Idempotent, NonIdempotent, Streaming:
	default:
		return fmt.Sprintf("unknown kind %q", r.Kind)
	}
	for _, s := range r.Split {
		if t.services[s.Service] == nil {
			return fmt.Sprintf("unknown service %q", s.Service)
		}
		if s.Weight < 0 {
			return fmt.Sprintf("service %q has a negative weight", s.Service)
		}
	}
	return ""
}
