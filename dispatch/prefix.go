package dispatch

import (
	"container/list"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// This file holds the entry's guess at what the prefix caches of the engines
// hold. Engines publish cache events late and with gaps, so the guess is made of
// what this entry sent there; an event can only take blocks out of it. A wrong
// guess costs a choice that is a little worse and nothing else.
//
// A choice compares one prompt with the caches of all candidates. The index turns
// the caches round, so that it looks each block of the prompt up once, however
// many backend servers there are.

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
	Limit int          // blocks remembered at most; 4096 if 0
	Index *PrefixIndex // that the cache belongs to; may be nil

	matchNumber   uint64 // of the index, in which the cache matched
	matchedBlocks int    // leading blocks of that round's prompt

	blocks map[uint64]*list.Element
	lru    list.List // of uint64, the most recent in front
}

// PrefixIndex knows which caches hold a block. It and its caches are for one
// goroutine at a time. The zero value is empty.
type PrefixIndex struct {
	matchNumber   uint64
	cachesByBlock map[uint64][]*PrefixCache
}

// Match compares a prompt with all caches of the index. Matched returns the
// result for each, until the next call.
func (x *PrefixIndex) Match(prefix []uint64) {
	x.matchNumber++
	for i, h := range prefix {
		more := false
		for _, p := range x.cachesByBlock[h] {
			if p.Matched() == i {
				p.matchNumber = x.matchNumber
				p.matchedBlocks = i + 1
				more = true
			}
		}
		if !more {
			return
		}
	}
}

func (x *PrefixIndex) add(h uint64, p *PrefixCache) {
	if x == nil {
		return
	}
	if x.cachesByBlock == nil {
		x.cachesByBlock = make(map[uint64][]*PrefixCache)
	}
	x.cachesByBlock[h] = append(x.cachesByBlock[h], p)
}

func (x *PrefixIndex) remove(h uint64, p *PrefixCache) {
	if x == nil {
		return
	}
	list := x.cachesByBlock[h]
	if len(list) == 1 {
		delete(x.cachesByBlock, h)
		return
	}
	i := slices.Index(list, p)
	last := len(list) - 1
	list[i] = list[last]
	list[last] = nil
	x.cachesByBlock[h] = list[:last]
}

// Matched returns how many leading blocks of the prompt that the index last
// compared are expected in the cache.
func (p *PrefixCache) Matched() int {
	if p.matchNumber != p.Index.matchNumber {
		return 0
	}
	return p.matchedBlocks
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
			p.lru.MoveToFront(e)
			continue
		}
		p.blocks[h] = p.lru.PushFront(h)
		p.Index.add(h, p)
	}
	limit := p.Limit
	if limit == 0 {
		limit = maxCacheBlocks
	}
	for p.lru.Len() > limit {
		p.remove(p.lru.Back())
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
	for h := range p.blocks {
		p.Index.remove(h, p)
	}
	clear(p.blocks)
	p.lru.Init()
}

func (p *PrefixCache) remove(e *list.Element) {
	h := e.Value.(uint64)
	delete(p.blocks, h)
	p.lru.Remove(e)
	p.Index.remove(h, p)
}
