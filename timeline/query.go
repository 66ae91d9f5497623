package timeline

import (
	"fmt"
	"net/url"
	"time"

	"github.com/bamboostep/bamboostep"
)

// ParseQuery reads a Query from URL parameters: request, model, vm, content, since and
// until, the last two in RFC 3339.
func ParseQuery(v url.Values) (Query, error) {
	q := Query{Request: bamboostep.RequestID(v.Get("request")), Model: v.Get("model"), VM: v.Get("vm"), Content: v.Get("content")}
	var err error
	if q.Since, err = parseTime(v, "since"); err != nil {
		return Query{}, err
	}
	q.Until, err = parseTime(v, "until")
	return q, err
}

// Values returns the URL parameters that ParseQuery reads as q.
func (q Query) Values() url.Values {
	v := make(url.Values)
	set := func(key, value string) {
		if value != "" {
			v.Set(key, value)
		}
	}
	set("request", string(q.Request))
	set("model", q.Model)
	set("vm", q.VM)
	set("content", q.Content)
	if !q.Since.IsZero() {
		set("since", q.Since.Format(time.RFC3339Nano))
	}
	if !q.Until.IsZero() {
		set("until", q.Until.Format(time.RFC3339Nano))
	}
	return v
}

func parseTime(v url.Values, key string) (time.Time, error) {
	text := v.Get(key)
	if text == "" {
		return time.Time{}, nil
	}
	t, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return time.Time{}, fmt.Errorf("parameter %q: %q is not a time like 2026-01-31T15:04:05Z", key, text)
	}
	return t, nil
}
