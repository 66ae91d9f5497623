package fleet

import "time"

// Backend servers that have left. Lists come from several voters, and one of them may be
// older than it looks: a VM that was suspended does not know for how long. What a
// newer list has not named for a while, or a server itself has said of its leaving,
// holds against such a list.

const (
	goneFor     = 5 * time.Second // in which no list brings back a server that has gone
	goneForgets = time.Minute     // after which nothing is known of it
)

// departure is what is known of a backend server that has gone.
type departure struct {
	at      time.Time
	leaving bool
}

// noteGone remembers a backend server that lists name no more.
func (f *Fleet) noteGone(k key, leaving bool, now time.Time) {
	for old, d := range f.gone {
		if now.Sub(d.at) > goneForgets {
			delete(f.gone, old)
		}
	}
	f.gone[k] = departure{now, leaving}
}

// comesBack reports whether a list that was true at a time may add a backend server
// that is not known.
func (f *Fleet) comesBack(k key, at time.Time) bool {
	if at.Before(f.listAt) {
		return false // a newer list does not name it
	}
	d, ok := f.gone[k]
	return !ok || at.Sub(d.at) > goneFor
}
