package main

import (
	"maps"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/roster"
	"github.com/bamboostep/bamboostep/wire"
)

// This file spreads crash suspects among the entries. An entry tells those that it is
// linked to, and one that hears of them from another region tells its own, once.

// ShareSuspects sends crash suspects to the entries that this one is connected to.
func (p *peers) ShareSuspects(suspects []bamboostep.Suspect) {
	p.addNewSuspects(suspects)
	for _, c := range p.conns() {
		_ = c.Send(kindSuspects, suspectsMessage{suspects})
	}
}

// tellRefused tells an entry which requests are refused, since it may have started only
// now.
func (p *peers) sendRefusedSuspects(c *wire.Conn) {
	if refused := p.RefusedSuspects(); len(refused) > 0 {
		_ = c.Send(kindSuspects, suspectsMessage{refused}) // fails only if the connection has ended
	}
}

// isNews reports whether any of the suspects were not heard of lately, and notes them.
func (p *peers) addNewSuspects(suspects []bamboostep.Suspect) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.recentSuspects.addNew(time.Now(), suspects)
}

// passOn tells the own region what an entry of another one said.
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

// suspectNews remembers for a while which suspects were heard of.
type suspectHistory struct {
	seenAt map[bamboostep.Suspect]time.Time
}

const suspectRetention = time.Minute

func (n *suspectHistory) addNew(now time.Time, suspects []bamboostep.Suspect) bool {
	maps.DeleteFunc(n.seenAt, func(_ bamboostep.Suspect, at time.Time) bool { return now.Sub(at) > suspectRetention })
	if n.seenAt == nil {
		n.seenAt = make(map[bamboostep.Suspect]time.Time)
	}
	news := false
	for _, s := range suspects {
		if _, known := n.seenAt[s]; !known {
			news = true
			n.seenAt[s] = now
		}
	}
	return news
}
