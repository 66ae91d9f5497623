package route

import (
	"fmt"
	"strings"
)

// CheckError says why a table cannot be published.
type CheckError struct {
	Route string // empty if the whole table is meant
	Issue string
}

// Error implements error.
func (e *CheckError) Error() string {
	if e.Route == "" {
		return "routes: " + e.Issue
	}
	return fmt.Sprintf("route %q: %s", e.Route, e.Issue)
}

func (t *Table) check(r *Route) error {
	issue := t.issue(r)
	if issue == "" {
		return nil
	}
	return &CheckError{Route: r.Name, Issue: issue}
}

func (t *Table) issue(r *Route) string {
	switch {
	case r.Host == "":
		return "has no host"
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Sprintf("prefix %q does not begin and end with a slash", r.Prefix)
	case t.byPlace[place{r.Host, r.Prefix}] != nil:
		return fmt.Sprintf("host and prefix are those of route %q too", t.byPlace[place{r.Host, r.Prefix}].Name)
	case r.Timeout <= 0:
		return "timeout is not positive"
	case r.Attempts < 1:
		return "allows no attempt"
	case r.weight() <= 0:
		return "weights add up to nothing"
	}
	switch r.Kind {
	case Idempotent, NonIdempotent, Streaming:
	default:
		return fmt.Sprintf("kind %q is unknown", r.Kind)
	}
	for _, s := range r.Split {
		if t.services[s.Service] == nil {
			return fmt.Sprintf("names the unknown service %q", s.Service)
		}
		if s.Weight < 0 {
			return fmt.Sprintf("weight of service %q is negative", s.Service)
		}
	}
	return ""
}
