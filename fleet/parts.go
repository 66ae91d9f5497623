package fleet

import (
	"github.com/cespare/xxhash/v2"

	"github.com/bamboostep/bamboostep"
)

// partMemory is what an entry believes a backend server's prefix cache to hold: the
// beginnings of the prompts that it sent there, the least recently sent forgotten
// first. A beginning is a chain of parts under one model and adapter, since a part
// is of use only behind all parts before it.
type partMemory struct {
	chains map[uint64]*chain
	clock  uint64 // counts uses
}

type chain struct {
	used   uint64
	tokens int // up to the end of its last part
}

// maxChains bounds the beginnings remembered for one backend server.
const maxChains = 1024

func (p *partMemory) init() { p.chains = make(map[uint64]*chain) }

// chainHashes returns a hash for each beginning of a prompt.
func chainHashes(n ModelName, prompt []bamboostep.PromptPart) []uint64 {
	hashes := make([]uint64, len(prompt))
	d := xxhash.New()
	_, _ = d.WriteString(n.Model) // a hash takes all
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(n.Adapter)
	for i, part := range prompt {
		_, _ = d.WriteString(",")
		_, _ = d.WriteString(part.ID)
		hashes[i] = d.Sum64()
	}
	return hashes
}

// cached returns how many leading tokens of a prompt are believed to be kept.
func (p *partMemory) cached(hashes []uint64) int {
	for i := len(hashes) - 1; i >= 0; i-- {
		if c := p.chains[hashes[i]]; c != nil {
			return c.tokens
		}
	}
	return 0
}

// note remembers that a prompt was sent.
func (p *partMemory) note(hashes []uint64, prompt []bamboostep.PromptPart) {
	p.clock++
	tokens := 0
	for i, h := range hashes {
		tokens += prompt[i].Tokens
		p.use(h, tokens)
	}
}

// noteOne remembers that a beginning was read.
func (p *partMemory) noteOne(hash uint64, tokens int) {
	p.clock++
	p.use(hash, tokens)
}

func (p *partMemory) use(hash uint64, tokens int) {
	c := p.chains[hash]
	if c == nil {
		c = &chain{tokens: tokens}
		p.chains[hash] = c
	}
	c.used = p.clock
	if len(p.chains) > maxChains {
		p.forgetOld()
	}
}

// forgetOld drops the older half.
func (p *partMemory) forgetOld() {
	oldest := p.clock - min(p.clock, maxChains/8)
	for h, c := range p.chains {
		if c.used < oldest {
			delete(p.chains, h)
		}
	}
}

// homeRank orders backend servers for a prompt's beginning by rendezvous hashing; the
// highest is its home.
func homeRank(beginning uint64, instance string) uint64 {
	d := xxhash.NewWithSeed(beginning)
	_, _ = d.WriteString(instance)
	return d.Sum64()
}
