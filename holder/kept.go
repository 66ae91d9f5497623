package holder

import (
	"slices"

	"github.com/bamboostep/bamboostep/fleet"
	"github.com/bamboostep/bamboostep/wire"
)

// maxKept bounds the beginnings of prompts that a new follower is told, and what is
// news at one time.
const maxKept = 128

// keptParts are the beginnings of prompts that entries have had read at the engine of
// late, the newest last.
type keptParts struct {
	known []fleet.KeptPart
	news  int // of known, at its end, that followers have not been told
}

func (k *keptParts) note(parts []fleet.KeptPart) {
	for _, part := range parts {
		if slices.ContainsFunc(k.known, func(o fleet.KeptPart) bool { return o.Hash == part.Hash }) {
			continue
		}
		k.known = append(k.known, part)
		k.news++
	}
	if more := len(k.known) - maxKept; more > 0 {
		k.known = slices.Delete(k.known, 0, more)
		k.news = min(k.news, maxKept)
	}
}

// takeNews returns what followers have not been told.
func (k *keptParts) takeNews() []fleet.KeptPart {
	news := slices.Clone(k.known[len(k.known)-k.news:])
	k.news = 0
	return news
}

func (k *keptParts) all() []fleet.KeptPart { return slices.Clone(k.known) }

func (h *Holder) handleKept(m *wire.Message) {
	var note fleet.KeptNote
	if m.Decode(&note) != nil {
		return // the frame is counted by wire
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.kept.note(note.Parts)
}
