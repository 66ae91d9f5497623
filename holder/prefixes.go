package holder

import (
	"slices"

	"github.com/bamboostep/bamboostep/fleet"
	"github.com/bamboostep/bamboostep/wire"
)

// maxPrefixes bounds the prefixes that are retained, and so those sent to a subscriber at
// a time.
const maxPrefixes = 128

// prefixLog holds the prompt prefixes that entries recently had read by the engine, oldest
// first.
type prefixLog struct {
	prefixes []fleet.PromptPrefix
	unsent   int // the last unsent of prefixes have not been sent to subscribers
}

// add appends the prefixes that are not known yet and drops the oldest ones beyond
// maxPrefixes.
func (l *prefixLog) add(prefixes []fleet.PromptPrefix) {
	for _, p := range prefixes {
		if slices.ContainsFunc(l.prefixes, func(known fleet.PromptPrefix) bool { return known.Hash == p.Hash }) {
			continue
		}
		l.prefixes = append(l.prefixes, p)
		l.unsent++
	}
	if more := len(l.prefixes) - maxPrefixes; more > 0 {
		l.prefixes = slices.Delete(l.prefixes, 0, more)
		l.unsent = min(l.unsent, maxPrefixes)
	}
}

// takeUnsent returns the prefixes that subscribers have not been sent, and marks them as
// sent.
func (l *prefixLog) takeUnsent() []fleet.PromptPrefix {
	unsent := slices.Clone(l.prefixes[len(l.prefixes)-l.unsent:])
	l.unsent = 0
	return unsent
}

// all returns a copy of all retained prefixes.
func (l *prefixLog) all() []fleet.PromptPrefix { return slices.Clone(l.prefixes) }

// handlePrefixes records the prefixes that an entry had read by the engine.
func (h *Holder) handlePrefixes(m *wire.Message) {
	var note fleet.PrefixUpdate
	if m.Decode(&note) != nil {
		return // package wire counts the bad frame
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.prefixes.add(note.Prefixes)
}
