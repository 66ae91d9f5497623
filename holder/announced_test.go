package holder

import (
	"maps"
	"testing"
	"time"
)

// Each subscriber is told the prompts of the others, also after messages are lost, entries die
// and the engine starts anew.
func TestAnnouncements(t *testing.T) {
	start := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		events func(a *announcements[string])
		after  time.Duration
		want   map[string]int // what is told then, to entries "a", "b" and "c"
	}{
		"none":             {func(*announcements[string]) {}, 0, map[string]int{"a": 0, "b": 0, "c": 0}},
		"own do not count": {func(a *announcements[string]) { a.state("a", 5000, start) }, 0, map[string]int{"a": 0, "b": 5000, "c": 5000}},
		"a lost one is made good by the next": {func(a *announcements[string]) {
			a.state("a", 5000, start) // and 9000 is lost
			a.state("a", 2000, start)
		}, 0, map[string]int{"a": 0, "b": 2000, "c": 2000}},
		"nothing new is not told": {func(a *announcements[string]) {
			a.state("a", 5000, start)
			a.takeUpdates(start)
			a.state("a", 5000, start)
		}, 0, map[string]int{}},
		"an entry whose connection ends": {func(a *announcements[string]) {
			a.state("a", 5000, start)
			a.state("b", 3000, start)
			a.drop("a")
		}, 0, map[string]int{"b": 0, "c": 3000}},
		"an entry that dies unnoticed": {func(a *announcements[string]) { a.state("a", 5000, start) }, 2 * announcedMaxAge, map[string]int{"a": 0, "b": 0, "c": 0}},
		"the engine starts anew": {func(a *announcements[string]) {
			a.state("a", 5000, start)
			a.takeUpdates(start)
			a.restart()
		}, 0, map[string]int{"a": 0, "b": 0, "c": 0}},
	} {
		t.Run(name, func(t *testing.T) {
			var a announcements[string]
			for _, entry := range []string{"a", "b", "c"} {
				a.subscribe(entry)
			}
			c.events(&a)
			if got := a.takeUpdates(start.Add(c.after)); !maps.Equal(got, c.want) {
				t.Errorf("told: got %v, want %v", got, c.want)
			}
		})
	}
}
