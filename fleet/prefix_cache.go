package fleet

import "github.com/cespare/xxhash/v2"

// prefixCache estimates which prompt prefixes a backend server's own prefix cache holds:
// those of prompts that it has read for this entry and those that its holder reported. It holds
// maxPrefixes at most; the least recently used one makes room, in constant time. The zero value is
// empty.
type prefixCache struct {
	prefixes map[uint64]*cachedPrefix // by hash
	newest   *cachedPrefix
	oldest   *cachedPrefix
}

// cachedPrefix is one prefix that is assumed to be cached.
type cachedPrefix struct {
	PromptPrefix
	newer, older *cachedPrefix // in the order of their last use
}

// maxPrefixes is the number of prefixes per backend server.
const maxPrefixes = 1024

// cachedTokens returns the length of the longest prefix of p that is assumed to be cached.
func (c *prefixCache) cachedTokens(p Prompt) int {
	for i := len(p.prefixes) - 1; i >= 0; i-- {
		if cached := c.prefixes[p.prefixes[i].Hash]; cached != nil {
			return cached.Tokens
		}
	}
	return 0
}

// has reports whether a prefix is assumed to be cached.
func (c *prefixCache) has(hash uint64) bool { return c.prefixes[hash] != nil }

// addPrompt records the prefixes of a prompt as cached. The shortest, which most prompts share, is
// the last to make room.
func (c *prefixCache) addPrompt(p Prompt) {
	for i := len(p.prefixes) - 1; i >= 0; i-- {
		c.add(p.prefixes[i])
	}
}

// add adds a prefix or marks it as just used.
func (c *prefixCache) add(p PromptPrefix) {
	if c.prefixes == nil {
		c.prefixes = make(map[uint64]*cachedPrefix)
	}
	cached := c.prefixes[p.Hash]
	if cached == nil {
		cached = &cachedPrefix{PromptPrefix: p}
		c.prefixes[p.Hash] = cached
	} else {
		c.unlink(cached)
	}
	c.linkNewest(cached)
	if len(c.prefixes) > maxPrefixes {
		delete(c.prefixes, c.oldest.Hash)
		c.unlink(c.oldest)
	}
}

func (c *prefixCache) linkNewest(p *cachedPrefix) {
	p.newer, p.older = nil, c.newest
	if c.newest != nil {
		c.newest.newer = p
	}
	c.newest = p
	if c.oldest == nil {
		c.oldest = p
	}
}

func (c *prefixCache) unlink(p *cachedPrefix) {
	if p.newer != nil {
		p.newer.older = p.older
	} else {
		c.newest = p.older
	}
	if p.older != nil {
		p.older.newer = p.newer
	} else {
		c.oldest = p.newer
	}
}

// rendezvousWeight returns the weight of a backend server for a prefix in rendezvous
// hashing; the server with the highest weight is the prefix's affinity server.
func rendezvousWeight(prefix uint64, instance string) uint64 {
	d := xxhash.NewWithSeed(prefix)
	_, _ = d.WriteString(instance)
	return d.Sum64()
}
