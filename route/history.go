package route

import "time"

// How long a route has sent all of its requests to one service. A process knows only the tables that it
// has had itself.

// WithHistory returns a copy of t, which must be frozen, that knows since when its routes have sent requests where they do
// now. old is the table that t replaces at a time, or nil.
func (t *Table) WithHistory(old *Table, at time.Time) *Table {
	c := *t
	c.soleSince = make(map[hostPrefix]time.Time, len(t.Routes))
	for i := range t.Routes {
		r := &t.Routes[i]
		c.soleSince[r.key()] = at
		if old == nil {
			continue
		}
		before := old.byPrefix[r.key()]
		if before != nil && before.SoleService() == r.SoleService() {
			c.soleSince[r.key()] = old.soleSince[r.key()]
		}
	}
	return &c
}

// SoleService returns the service that gets all requests of the route, or "" if there are several.
func (r *Route) SoleService() string {
	sole := ""
	for _, s := range r.Split {
		if s.Weight <= 0 {
			continue
		}
		if sole != "" && sole != s.Service {
			return ""
		}
		sole = s.Service
	}
	return sole
}

// SoleServiceSince returns the service that has got all requests of a route of t since a time, or "" if there is none, or if that
// is not known.
func (t *Table) SoleServiceSince(r *Route, since time.Time) string {
	at, known := t.soleSince[r.key()]
	if !known || at.After(since) {
		return ""
	}
	return r.SoleService()
}
