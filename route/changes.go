package route

import (
	"fmt"
	"slices"
	"strings"
)

// What differs between two tables, by object. Objects are the same if they have the same name.

// Change is how an object differs from that of another table.
type Change struct {
	Object string        `json:"object"`
	Kind   string        `json:"change"`           // added, removed or changed
	Fields []FieldChange `json:"fields,omitempty"` // of a changed object
}

// FieldChange is the change of one field.
type FieldChange struct {
	Field string `json:"field"`
	Old   string `json:"old"` // noValue if the object had no such field
	New   string `json:"new"`
}

// String returns the change in a few words.
func (c FieldChange) String() string { return fmt.Sprintf("%s: %s -> %s", c.Field, c.Old, c.New) }

// noValue stands for a field that an object does not have.
const noValue = "none"

// The kinds of changes.
const (
	Added   = "added"
	Removed = "removed"
	Changed = "changed"
)

// String returns the change on one line.
func (c Change) String() string {
	if len(c.Fields) == 0 {
		return c.Kind + " " + c.Object
	}
	fields := make([]string, len(c.Fields))
	for i, f := range c.Fields {
		fields[i] = f.String()
	}
	return c.Kind + " " + c.Object + ": " + strings.Join(fields, "; ")
}

// described is an object with its fields in a form that can be compared and shown.
type described struct {
	object string
	fields []field
}

type field struct{ name, value string }

// ChangesFrom returns what t adds, changes and removes compared with old, in the order of
// t's objects, then of the removed ones.
func (t Table) ChangesFrom(old Table) []Change {
	was, is := old.describe(), t.describe()
	var changes []Change
	for _, d := range is {
		i := slices.IndexFunc(was, func(o described) bool { return o.object == d.object })
		if i < 0 {
			changes = append(changes, Change{Object: d.object, Kind: Added})
			continue
		}
		if fields := changedFields(was[i].fields, d.fields); len(fields) > 0 {
			changes = append(changes, Change{Object: d.object, Kind: Changed, Fields: fields})
		}
	}
	for _, o := range was {
		if !slices.ContainsFunc(is, func(d described) bool { return o.object == d.object }) {
			changes = append(changes, Change{Object: o.object, Kind: Removed})
		}
	}
	return changes
}

// changedFields compares the fields of two forms of an object, of which one may have fields that the other lacks.
func changedFields(was, is []field) []FieldChange {
	var changed []FieldChange
	for _, f := range is {
		if old := valueOf(was, f.name); old != f.value {
			changed = append(changed, FieldChange{f.name, old, f.value})
		}
	}
	for _, f := range was {
		if valueOf(is, f.name) == noValue && f.value != noValue {
			changed = append(changed, FieldChange{f.name, f.value, noValue})
		}
	}
	return changed
}

func valueOf(fields []field, name string) string {
	for _, f := range fields {
		if f.name == name {
			return f.value
		}
	}
	return noValue
}

// describe returns all objects of t.
func (t Table) describe() []described {
	var all []described
	for _, r := range t.Routes {
		all = append(all, described{routeObject(r.Name), routeFields(r)})
	}
	for _, s := range t.Services {
		all = append(all, described{serviceObject(s.Name), serviceFields(s)})
		if s.Engine == nil {
			continue
		}
		for _, m := range s.Engine.Models {
			all = append(all, described{modelObject(s.Name, m.Name), modelFields(m)})
		}
	}
	for _, w := range t.Workspaces {
		all = append(all, described{workspaceObject(w.Name), workspaceFields(w)})
	}
	return append(all, described{"limits", limitFields(t.Limits)})
}

func routeFields(r Route) []field {
	split := make([]string, len(r.Split))
	for i, s := range r.Split {
		split[i] = fmt.Sprintf("%s %d", s.Service, s.Weight)
	}
	return []field{
		{"host", r.Host},
		{"prefix", r.Prefix},
		{"kind", string(r.Kind)},
		{"timeout", r.Timeout.String()},
		{"latency_target", r.LatencyTarget.String()},
		{"event_gap_target", r.EventGapTarget.String()},
		{"priority", fmt.Sprint(r.Priority)},
		{"split", strings.Join(split, ", ")},
		{"attempts", fmt.Sprint(r.Attempts)},
		{"prompt_affinity", fmt.Sprint(r.PromptAffinity)},
		{"resumable", fmt.Sprint(r.Resumable)},
		{"public", fmt.Sprint(r.Public)},
	}
}

func serviceFields(s Service) []field {
	fields := []field{{"health_path", s.HealthPath}, {"max_connections", fmt.Sprint(s.MaxConnections)}}
	if e := s.Engine; e != nil {
		fields = append(fields,
			field{"slots", fmt.Sprint(e.Slots)},
			field{"cache_tokens", fmt.Sprint(e.CacheTokens)},
			field{"weights_mb", fmt.Sprint(e.WeightsMB)},
			field{"adapter_slots", fmt.Sprint(e.AdapterSlots)},
			field{"store_rate", fmt.Sprint(e.LoadsPerSecond)},
			field{"max_event_waiters", fmt.Sprint(e.MaxEventWaiters)},
		)
	}
	return fields
}

func modelFields(m Model) []field {
	return []field{
		{"weights_mb", fmt.Sprint(m.WeightsMB)},
		{"adapter_mb", fmt.Sprint(m.AdapterMB)},
		{"adapters", fmt.Sprint(m.AdapterCount)},
		{"store_load_time", m.StoreLoadTime.String()},
		{"disk_load_time", m.DiskLoadTime.String()},
		{"memory_load_time", m.MemoryLoadTime.String()},
	}
}

// digestShown is how many bytes of a key's digest are shown.
const digestShown = 4

func workspaceFields(w Workspace) []field {
	keys := make([]string, len(w.Keys))
	for i, k := range w.Keys {
		keys[i] = fmt.Sprintf("%x", k[:digestShown])
	}
	slices.Sort(keys)
	priority := noValue
	if w.HasPriority {
		priority = fmt.Sprint(w.Priority)
	}
	return []field{
		{"key_digests", strings.Join(keys, " ")},
		{"priority", priority},
		{"quota_per_second", fmt.Sprint(w.Quota.PerSecond)},
		{"quota_burst", fmt.Sprint(w.Quota.Burst)},
		{"quota_counts_tokens", fmt.Sprint(w.Quota.CountsTokens)},
		{"quota_default_tokens", fmt.Sprint(w.Quota.DefaultTokens)},
	}
}

func limitFields(l Limits) []field {
	return []field{
		{"max_header_bytes", fmt.Sprint(l.MaxHeaderBytes)},
		{"max_body_bytes", fmt.Sprint(l.MaxBodyBytes)},
		{"header_timeout", l.HeaderTimeout.String()},
		{"idle_timeout", l.IdleTimeout.String()},
	}
}
