package timeline

import (
	"sync"
	"time"

	"github.com/bamboostep/bamboostep"
)

// Stamp is a hybrid logical time: milliseconds since the Unix epoch in the
// upper 48 bits and a counter in the lower 16. Stamps compare as integers.
type Stamp uint64

const counterBits = 16

// Time returns the wall-clock part of s.
func (s Stamp) Time() time.Time {
	return time.UnixMilli(int64(s >> counterBits))
}

// Clock is a hybrid logical clock. It follows the wall clock of its host but
// never falls behind a stamp it has seen, so an event that was caused by a
// message sorts after the sending of that message whatever the hosts' clocks say.
//
// The zero value is not usable; set Wall first.
type Clock struct {
	Wall bamboostep.Clock // source of wall-clock time

	mu   sync.Mutex
	last Stamp
}

// Now returns a stamp that is later than every stamp the clock gave or observed.
func (c *Clock) Now() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last+1, wallStamp(c.Wall.Now()))
	return c.last
}

// Observe moves the clock past s, a stamp that came with a message.
func (c *Clock) Observe(s Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last, s)
}

func wallStamp(t time.Time) Stamp {
	return Stamp(t.UnixMilli()) << counterBits
}
