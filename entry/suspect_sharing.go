package main

import (
	"maps"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/roster"
	"github.com/bamboostep/bamboostep/wire"
)

// This file distributes crash suspects among the entries. An entry sends them to
// all entries it is connected to. An entry that receives new ones from another
// region forwards them once to the entries of its own region.

// ShareSuspects sends crash suspects to all connected entries.
func (p *peers) ShareSuspects(suspects []bamboostep.Suspect) {
	p.addNewSuspects(suspects)
	for _, c := range p.conns() {
		_ = c.Send(kindSuspects, suspectsMessage{suspects})
	}
}

// sendRefusedSuspects sends the currently refused requests to a newly connected
// entry, which may just have started and know of none.
func (p *peers) sendRefusedSuspects(c *wire.Conn) {
	if refused := p.RefusedSuspects(); len(refused) > 0 {
		_ = c.Send(kindSuspects, suspectsMessage{refused}) // an error means that the connection has ended
	}
}

// addNewSuspects records the suspects and reports whether any of them was not seen
// within the last suspectRetention.
func (p *peers) addNewSuspects(suspects []bamboostep.Suspect) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.recentSuspects.addNew(time.Now(), suspects)
}

// forwardSuspects forwards suspects from an entry of another region to the own
// region, unless all of them are known already.
func (p *peers) forwardSuspects(from string, suspects []bamboostep.Suspect) {
	if roster.SameRegion(p.Region, p.peerSettings(from).Region) || !p.addNewSuspects(suspects) {
		return
	}
	for name, c := range p.conns() {
		if roster.SameRegion(p.Region, p.peerSettings(name).Region) {
			_ = c.Send(kindSuspects, suspectsMessage{suspects})
		}
	}
}

// suspectHistory remembers for suspectRetention which suspects were seen, so that
// they are forwarded only once.
type suspectHistory struct {
	seenAt map[bamboostep.Suspect]time.Time
}

const suspectRetention = time.Minute

func (h *suspectHistory) addNew(now time.Time, suspects []bamboostep.Suspect) bool {
	maps.DeleteFunc(h.seenAt, func(_ bamboostep.Suspect, at time.Time) bool { return now.Sub(at) > suspectRetention })
	if h.seenAt == nil {
		h.seenAt = make(map[bamboostep.Suspect]time.Time)
	}
	added := false
	for _, s := range suspects {
		if _, known := h.seenAt[s]; !known {
			added = true
			h.seenAt[s] = now
		}
	}
	return added
}
