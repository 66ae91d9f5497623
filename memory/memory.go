// Package memory bounds what a process holds for callers and servers.
//
// A Budget is the bytes for all bodies, answers and events together. Each holder of some has a small reserve that is
// always granted and not counted, so that small requests pass while large ones fill the rest, and an eighth of the budget is left to those that hold
// little. When the budget is used up, a holder that asks for more gets it at the cost of the largest one that has not moved for a while, and else of the
// largest one that has been there for long and holds more than the asking one would; if there is none, it is refused itself. So whoever holds most goes first,
// whatever it announced, what moves on quickly comes to its end however many others arrive, and a holder that is alone is refused nothing that fits.
//
// The hard point is that the holder that goes is in other hands. Its bytes are given to the next at once, and its owner is told to
// let go of them; until it has, the process holds more than the budget. Callers of this package keep that short, by ending the read or write that
// the owner waits in.
//
// All methods take the time, and none blocks. What stays within its reserve takes no lock.
package memory

import (
	"fmt"
	"sync"
	"time"
)

// Budget is the bytes that a process may hold. Set the exported fields before the first use. Its methods may be called
// concurrently, and on nil, which grants everything.
type Budget struct {
	Total   int64         // bytes of all holders, without their reserves
	Reserve int64         // bytes of each holder that are not counted
	Stall   time.Duration // a holder that has not moved for so long goes before others do

	// GaveUp is called, outside of all locks, for each holder that had to go for another; it may be nil.
	GaveUp func(g GivenUp)

	mu      sync.Mutex
	used    int64            // bytes counted for all holders
	holders map[*Holder]bool // those with bytes counted
	refused uint64
	givenUp uint64
}

const (
	defaultReserve = 16 << 10 // bytes
	defaultStall   = 2 * time.Second

	longStay   = 5  // times Stall, after which a holder goes for smaller ones although it moves
	littlePart = 16 // a holder with at most this part of the budget holds little
	leftPart   = 8  // this part of the budget is left to holders that hold little
)

// NewBudget returns a budget of so many bytes, with the usual reserve and time to stall.
func NewBudget(bytes int64) *Budget {
	return &Budget{Total: bytes, Reserve: defaultReserve, Stall: defaultStall}
}

// GivenUp tells of a holder that had to go.
type GivenUp struct {
	Bytes  int64         // that it held, its reserve included
	Still  time.Duration // since it moved
	Used   int64         // bytes of all holders that were counted
	Total  int64         // of the budget
	Asking int64         // bytes of the holder for which it goes
}

// FullError says that a holder may not hold more.
type FullError struct {
	Bytes int64 // that it asked for in all
	Used  int64 // bytes of all holders that were counted; 0 if it had to go for another one
	Total int64 // of the budget
}

// Error implements error.
func (e *FullError) Error() string {
	if e.Used == 0 {
		return fmt.Sprintf("gave up its %d bytes for another request", e.Bytes)
	}
	return fmt.Sprintf("%d bytes exceed the memory for requests, %d of %d bytes are held", e.Bytes, e.Used, e.Total)
}

// Never reports whether the budget has no room for so many bytes at any time.
func (e *FullError) Never() bool { return e.Bytes > e.Total-e.Total/leftPart }

// Holder is what holds bytes: a request with its body and its answer. Its methods are called from one goroutine at a time, its owner.
type Holder struct {
	Owner Owner // set before the first Resize; may be nil

	budget  *Budget
	bytes   int64
	known   bool // to the budget; from then on the fields below are read and written under its lock
	kept    bool // does not go for others
	counted int64
	since   time.Time // when it first had bytes counted
	movedAt time.Time
	gone    bool // had to go
}

// Owner is whose bytes a holder counts.
type Owner interface {
	// Release ends the read or write that the owner waits in, since its holder has to go. It is called at most once for a holder, by another goroutine and
	// before Close returns, and must neither block nor call the budget.
	Release()
}

// OwnerFunc is a function that is an Owner.
type OwnerFunc func()

// Release implements Owner.
func (f OwnerFunc) Release() { f() }

// Open returns a holder without bytes.
func (b *Budget) Open() Holder { return Holder{budget: b} }

// Resize sets the bytes that the holder holds at now, before it takes them. The error is a *FullError; the holder then keeps what it had, unless it had
// to go.
func (h *Holder) Resize(now time.Time, bytes int64) error {
	b := h.budget
	if b == nil || bytes <= b.Reserve && !h.known {
		h.bytes = bytes
		return nil
	}
	b.mu.Lock()
	victims, err := b.resize(h, now, bytes)
	b.mu.Unlock()
	if b.GaveUp != nil {
		for _, v := range victims {
			b.GaveUp(v)
		}
	}
	return err
}

func (b *Budget) resize(h *Holder, now time.Time, bytes int64) ([]GivenUp, error) {
	if !h.known {
		h.known = true
		if b.holders == nil {
			b.holders = make(map[*Holder]bool)
		}
		b.holders[h] = true
		h.since = now
	}
	if h.gone {
		return nil, &FullError{Bytes: bytes, Total: b.Total}
	}
	counted := max(0, bytes-b.Reserve)
	var victims []GivenUp
	for b.used-h.counted+counted > b.limit(counted) && counted > h.counted {
		v := b.victim(h, now, counted)
		if v == nil {
			b.refused++
			return victims, &FullError{Bytes: bytes, Used: b.used, Total: b.Total}
		}
		victims = append(victims, GivenUp{v.counted + b.Reserve, now.Sub(v.movedAt), b.used, b.Total, bytes})
		v.gone = true
		b.givenUp++
		b.drop(v)
		if v.Owner != nil {
			v.Owner.Release()
		}
	}
	b.used += counted - h.counted
	h.counted, h.bytes, h.movedAt = counted, bytes, now
	return victims, nil
}

// limit returns what all may hold after a holder has so many counted bytes.
func (b *Budget) limit(counted int64) int64 {
	if counted > b.Total/littlePart {
		return b.Total - b.Total/leftPart
	}
	return b.Total
}

// victim returns the holder that goes so that h can hold so many counted bytes, or nil if h is refused.
func (b *Budget) victim(h *Holder, now time.Time, counted int64) *Holder {
	if counted > b.limit(counted) {
		return nil
	}
	var old, stalled *Holder
	for other := range b.holders {
		if other == h || other.kept || other.counted == 0 {
			continue
		}
		if now.Sub(other.since) >= longStay*b.Stall && other.counted > counted && (old == nil || other.counted > old.counted) {
			old = other
		}
		if now.Sub(other.movedAt) >= b.Stall && (stalled == nil || other.counted > stalled.counted) {
			stalled = other
		}
	}
	if stalled != nil {
		return stalled
	}
	return old
}

func (b *Budget) drop(h *Holder) {
	b.used -= h.counted
	h.counted = 0
	delete(b.holders, h)
}

// Keep sets whether the holder stays when others ask for more, from now on: kept holders do not wait for a caller. It reports false if it had to
// go before.
func (h *Holder) Keep(now time.Time, kept bool) bool {
	if !h.known {
		h.kept = kept
		return true
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.kept, h.movedAt = kept, now
	return !h.gone
}

// MayGo reports whether the holder may have to go for others once it is not kept: it has held more than its reserve.
func (h *Holder) MayGo() bool { return h.known }

// Bytes returns what the holder holds.
func (h *Holder) Bytes() int64 { return h.bytes }

// Close gives back what the holder has. It may be called again.
func (h *Holder) Close() {
	h.bytes = 0
	if !h.known {
		return
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drop(h)
}

// State is what a budget has granted and refused so far.
type State struct {
	Used    int64  // bytes counted now
	Total   int64  // bytes
	Refused uint64 // requests for more that were refused
	GivenUp uint64 // holders that had to go for others
}

// State returns what the budget has granted and refused.
func (b *Budget) State() State {
	if b == nil {
		return State{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return State{b.used, b.Total, b.refused, b.givenUp}
}
