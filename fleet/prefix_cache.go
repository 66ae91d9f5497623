package fleet

import (
	"github.com/cespare/xxhash/v2"

	"github.com/bamboostep/bamboostep"
)

// prefixCache estimates which prompt prefixes a backend server's own prefix cache holds:
// those of prompts that it has read for this entry and those that its holder reported. Each
// prefix is identified by one hash over the model, the adapter and all its parts, since a
// cached part is usable only if everything before it is the same.
type prefixCache struct {
	prefixes map[uint64]*cachedPrefix // by hash
	uses     uint64                   // logical clock, advanced by each recorded prompt or prefix
}

// cachedPrefix is one prefix that is assumed to be cached.
type cachedPrefix struct {
	lastUse uint64 // value of prefixCache.uses
	tokens  int    // length of the prefix
}

// maxPrefixes is the number of prefixes per backend server above which old ones are
// evicted.
const maxPrefixes = 1024

func (p *prefixCache) init() { p.prefixes = make(map[uint64]*cachedPrefix) }

// prefixHashes returns a hash for each prefix of a prompt: element i covers the model, the
// adapter and parts 0 to i.
func prefixHashes(n ModelName, prompt []bamboostep.PromptPart) []uint64 {
	hashes := make([]uint64, len(prompt))
	d := xxhash.New()
	_, _ = d.WriteString(n.Model) // xxhash never returns an error
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(n.Adapter)
	for i, part := range prompt {
		_, _ = d.WriteString(",")
		_, _ = d.WriteString(part.ID)
		hashes[i] = d.Sum64()
	}
	return hashes
}

// cachedTokens returns the length of the longest prefix that is assumed to be cached.
func (p *prefixCache) cachedTokens(hashes []uint64) int {
	for i := len(hashes) - 1; i >= 0; i-- {
		if c := p.prefixes[hashes[i]]; c != nil {
			return c.tokens
		}
	}
	return 0
}

// addPrompt records all prefixes of a prompt as cached.
func (p *prefixCache) addPrompt(hashes []uint64, prompt []bamboostep.PromptPart) {
	p.uses++
	tokens := 0
	for i, h := range hashes {
		tokens += prompt[i].Tokens
		p.touch(h, tokens)
	}
}

// addPrefix records a single prefix as cached.
func (p *prefixCache) addPrefix(hash uint64, tokens int) {
	p.uses++
	p.touch(hash, tokens)
}

// touch adds a prefix or marks it as just used.
func (p *prefixCache) touch(hash uint64, tokens int) {
	c := p.prefixes[hash]
	if c == nil {
		c = &cachedPrefix{tokens: tokens}
		p.prefixes[hash] = c
	}
	c.lastUse = p.uses
	if len(p.prefixes) > maxPrefixes {
		p.evictOld()
	}
}

// evictOld removes the prefixes that were not used in the last maxPrefixes/8 uses.
func (p *prefixCache) evictOld() {
	oldest := p.uses - min(p.uses, maxPrefixes/8)
	for h, c := range p.prefixes {
		if c.lastUse < oldest {
			delete(p.prefixes, h)
		}
	}
}

// rendezvousWeight returns the weight of a backend server for a prefix in rendezvous
// hashing; the server with the highest weight is the prefix's affinity server.
func rendezvousWeight(prefix uint64, instance string) uint64 {
	d := xxhash.NewWithSeed(prefix)
	_, _ = d.WriteString(instance)
	return d.Sum64()
}
