package holder

import (
	"time"

	"github.com/bamboostep/bamboostep/fleet"
	"github.com/bamboostep/bamboostep/wire"
)

// Prompts that entries announce: each entry states how many prompt tokens it has at the
// engine that wait for their first event, and each subscriber is told those of the others.
// A rise is told at once, but not more often than tellInterval; a fall with the next push.

const (
	tellInterval    = 25 * time.Millisecond
	announcedMaxAge = time.Second // an entry that has stated nothing for longer counts as having nothing there
)

// announcements holds what entries have announced. C identifies the connection of an entry.
type announcements[C comparable] struct {
	entries map[C]statement
	told    map[C]int // by subscriber, the tokens of the others that it was last told
}

// statement is the number of prompt tokens that an entry stated, and when.
type statement struct {
	tokens int
	at     time.Time
}

// state records that the entry behind c has tokens at the engine. It reports whether they have risen.
func (a *announcements[C]) state(c C, tokens int, now time.Time) (risen bool) {
	risen = tokens > a.entries[c].tokens
	if a.entries == nil {
		a.entries = make(map[C]statement)
	}
	a.entries[c] = statement{tokens, now}
	if tokens <= 0 {
		delete(a.entries, c)
	}
	return risen
}

// subscribe adds a subscriber, which has been told nothing yet.
func (a *announcements[C]) subscribe(c C) {
	if a.told == nil {
		a.told = make(map[C]int)
	}
	a.told[c] = -1
}

// drop forgets an entry whose connection has ended.
func (a *announcements[C]) drop(c C) {
	delete(a.entries, c)
	delete(a.told, c)
}

// restart forgets what was announced to an engine that has started anew, and what of it was told.
func (a *announcements[C]) restart() {
	clear(a.entries)
	a.retell()
}

// retell lets takeUpdates return the tokens for each subscriber, whether or not they have changed.
func (a *announcements[C]) retell() {
	for c := range a.told {
		a.told[c] = -1
	}
}

// total returns the tokens of all entries, and forgets those of entries that have stated nothing for too long.
func (a *announcements[C]) total(now time.Time) int {
	total := 0
	for c, s := range a.entries {
		if now.Sub(s.at) > announcedMaxAge {
			delete(a.entries, c)
			continue
		}
		total += s.tokens
	}
	return total
}

// takeUpdates returns the tokens of the others for each subscriber for which they have
// changed, and counts them as told.
func (a *announcements[C]) takeUpdates(now time.Time) map[C]int {
	total := a.total(now)
	updates := make(map[C]int)
	for c, told := range a.told {
		if others := total - a.entries[c].tokens; others != told {
			a.told[c], updates[c] = others, others
		}
	}
	return updates
}

// handleSent records what an entry announces, and tells the subscribers of a rise.
func (h *Holder) handleSent(m *wire.Message) {
	var u fleet.SentUpdate
	if m.Decode(&u) != nil {
		return // package wire counts the bad frame
	}
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.announced.state(m.Conn(), u.Tokens, now) || h.tellDue {
		return
	}
	h.tellDue = true
	time.AfterFunc(max(0, h.toldAt.Add(tellInterval).Sub(now)), func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.tell(time.Now())
	})
}

// announcedTokens returns the prompt tokens that entries have announced.
func (h *Holder) announcedTokens() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.announced.total(time.Now())
}

// tell sends the subscribers what has changed of the others' prompts. h.mu is held.
func (h *Holder) tell(now time.Time) {
	h.tellDue, h.toldAt = false, now
	for c := range h.announced.entries {
		if c.Err() != nil {
			h.announced.drop(c)
		}
	}
	for c, tokens := range h.announced.takeUpdates(now) {
		if c.Err() != nil || c.Send(fleet.KindSent, fleet.SentUpdate{Tokens: tokens}) != nil {
			h.announced.drop(c)
		}
	}
}
