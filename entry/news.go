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
	p.isNews(suspects)
	for _, c := range p.conns() {
		_ = c.Send(kindSuspects, suspectsMessage{suspects})
	}
}

// tellRefused tells an entry which requests are refused, since it may have started only
// now.
func (p *peers) tellRefused(c *wire.Conn) {
	if refused := p.Refused(); len(refused) > 0 {
		_ = c.Send(kindSuspects, suspectsMessage{refused}) // fails only if the connection has ended
	}
}

// isNews reports whether any of the suspects were not heard of lately, and notes them.
func (p *peers) isNews(suspects []bamboostep.Suspect) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.news.note(time.Now(), suspects)
}

// passOn tells the own region what an entry of another one said.
func (p *peers) passOn(from string, suspects []bamboostep.Suspect) {
	if roster.SameRegion(p.Region, p.peer(from).Region) || !p.isNews(suspects) {
		return
	}
	for name, c := range p.conns() {
		if roster.SameRegion(p.Region, p.peer(name).Region) {
			_ = c.Send(kindSuspects, suspectsMessage{suspects})
		}
	}
}

// suspectNews remembers for a while which suspects were heard of.
type suspectNews struct {
	heard map[bamboostep.Suspect]time.Time
}

const newsKept = time.Minute

func (n *suspectNews) note(now time.Time, suspects []bamboostep.Suspect) bool {
	maps.DeleteFunc(n.heard, func(_ bamboostep.Suspect, at time.Time) bool { return now.Sub(at) > newsKept })
	if n.heard == nil {
		n.heard = make(map[bamboostep.Suspect]time.Time)
	}
	news := false
	for _, s := range suspects {
		if _, known := n.heard[s]; !known {
			news = true
			n.heard[s] = now
		}
	}
	return news
}
