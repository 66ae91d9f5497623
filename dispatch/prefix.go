package dispatch

import (
	"container/list"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// This file estimates the contents of the engines' prefix caches. Engines publish
// cache events late and with gaps, so the estimate starts from the prompts that this
// entry sent; an event can only remove blocks from it. A wrong estimate only makes
// the routing decision slightly worse.
//
// A routing decision compares one prompt with the caches of all candidates. An
// inverted index from block to caches looks up each block of the prompt once,
// however many backend servers there are.

const (
	prefixBlockBytes = 256  // prompt bytes in one block
	maxPrefixBlocks  = 64   // most blocks hashed of one prompt
	maxCacheBlocks   = 4096 // default limit of blocks remembered for one backend server
)

// PrefixHashes returns the hashes of the leading blocks of a prompt. Each hash also
// covers the blocks before it. The seed separates the prompts of different models. A
// last block that is not full is ignored.
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

// PrefixCache estimates which prompt blocks one engine has cached. It evicts the
// least recently used ones. The zero value is empty.
type PrefixCache struct {
	Limit int          // most blocks remembered, 4096 if 0
	Index *PrefixIndex // index of the cache; may be nil if Matched is not called

	matchNumber   uint64 // last PrefixIndex.Match that found a block here
	matchedBlocks int    // leading blocks that it found

	blocks map[uint64]*list.Element
	lru    list.List // block hashes (uint64), the most recently used first
}

// PrefixIndex maps each block to the caches that hold it. Neither the index nor its
// caches are safe for concurrent use. The zero value is empty.
type PrefixIndex struct {
	matchNumber   uint64
	cachesByBlock map[uint64][]*PrefixCache
}

// Match compares a prompt with all caches of the index. Until the next call,
// PrefixCache.Matched returns the result for each cache.
func (x *PrefixIndex) Match(prefix []uint64) {
	x.matchNumber++
	for i, h := range prefix {
		matched := false
		for _, p := range x.cachesByBlock[h] {
			if p.Matched() == i {
				p.matchNumber = x.matchNumber
				p.matchedBlocks = i + 1
				matched = true
			}
		}
		if !matched {
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

// Matched returns how many leading blocks of the prompt passed to the last
// PrefixIndex.Match are expected in the cache.
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

// Add records that a prompt was sent to the engine.
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

// Drop records that the engine no longer holds some blocks.
func (p *PrefixCache) Drop(hashes []uint64) {
	for _, h := range hashes {
		if e, ok := p.blocks[h]; ok {
			p.remove(e)
		}
	}
}

// Clear records that the engine's cache is empty.
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
