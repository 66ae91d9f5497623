package dispatch

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// This file holds the entry's guess at what the prefix caches of the engines
// hold. Engines publish cache events late and with gaps, so the guess is made of
// what this entry sent there; an event can only take blocks out of it. A wrong
// guess costs a choice that is a little worse and nothing else.

const (
	prefixBlockBytes = 256  // prompt bytes in one block
	maxPrefixBlocks  = 64   // blocks hashed of one prompt
	maxCacheBlocks   = 4096 // blocks remembered for one backend server
)

// PrefixHashes returns the hashes of the leading blocks of a prompt, each covering
// all before it. The seed keeps the prompts of different models apart.
func PrefixHashes(seed string, prompt []byte) []uint64 {
	n := min(len(prompt)/prefixBlockBytes, maxPrefixBlocks)
	if n == 0 {
		return nil
	}
	d := xxhash.New()
	d.WriteString(seed)
	hashes := make([]uint64, n)
	for i := range hashes {
		d.Write(prompt[i*prefixBlockBytes : (i+1)*prefixBlockBytes])
		hashes[i] = d.Sum64()
	}
	return hashes
}

// PrefixCache guesses which prompt blocks one engine has cached. It forgets the
// least recently used. The zero value is empty.
type PrefixCache struct {
	Limit  int // blocks remembered at most; 4096 if 0
	blocks map[uint64]*list.Element
	recent list.List // of uint64, the most recent in front
}

// Match returns how many leading blocks of a prompt are expected in the cache.
func (p *PrefixCache) Match(prefix []uint64) int {
	for i, h := range prefix {
		if _, ok := p.blocks[h]; !ok {
			return i
		}
	}
	return len(prefix)
}

// Add notes that a prompt was sent.
func (p *PrefixCache) Add(prefix []uint64) {
	if p.blocks == nil {
		p.blocks = make(map[uint64]*list.Element)
	}
	for _, h := range prefix {
		if e, ok := p.blocks[h]; ok {
			p.recent.MoveToFront(e)
			continue
		}
		p.blocks[h] = p.recent.PushFront(h)
	}
	limit := p.Limit
	if limit == 0 {
		limit = maxCacheBlocks
	}
	for p.recent.Len() > limit {
		p.remove(p.recent.Back())
	}
}

// Drop notes that the engine no longer holds some blocks.
func (p *PrefixCache) Drop(hashes []uint64) {
	for _, h := range hashes {
		if e, ok := p.blocks[h]; ok {
			p.remove(e)
		}
	}
}

// Clear notes that the engine holds nothing.
func (p *PrefixCache) Clear() {
	clear(p.blocks)
	p.recent.Init()
}

func (p *PrefixCache) remove(e *list.Element) {
	delete(p.blocks, e.Value.(uint64))
	p.recent.Remove(e)
}
