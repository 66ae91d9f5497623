package fleet

import (
	"github.com/cespare/xxhash/v2"

	"github.com/bamboostep/bamboostep"
)

// Prompt is what the choice of a backend server needs of a prompt: a bounded selection of its
// prefixes. A prompt may have thousands of parts, and the choice looks its prefixes up for each
// candidate, so their number must not follow that of the parts. The selection holds the first
// prefixes, some at growing distances, so that two prompts that begin alike have a long one in
// common, and the last two. It is made once for each request, without a lock. A Prompt is
// immutable; the zero value has no prefixes.
type Prompt struct {
	prefixes []PromptPrefix // shortest first
	shared   PromptPrefix   // all parts but the last; zero if there are fewer than two
}

const (
	prefixSpacing       = 1.25 // ratio of the parts of one selected prefix to those of the one before; at least one part more
	maxSelectedPrefixes = 64   // enough for over 100,000 parts
)

// NewPrompt returns the prompt with the given parts for a model. The hash of each prefix covers the
// model, the adapter and all its parts, since a cached part is usable only if everything before it
// is the same.
func NewPrompt(n ModelName, parts []bamboostep.PromptPart) Prompt {
	p := Prompt{prefixes: make([]PromptPrefix, 0, min(len(parts), maxSelectedPrefixes))}
	d := xxhash.New()
	_, _ = d.WriteString(n.Model) // xxhash never returns an error
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(n.Adapter)
	tokens, next := 0, 1
	for i, part := range parts {
		_, _ = d.WriteString(",")
		_, _ = d.WriteString(part.ID)
		tokens += part.Tokens
		count := i + 1
		full := len(p.prefixes) >= maxSelectedPrefixes-2
		if (count < next || full) && count < len(parts)-1 {
			continue
		}
		next = max(count+1, int(float64(count)*prefixSpacing))
		prefix := PromptPrefix{Hash: d.Sum64(), Tokens: tokens}
		p.prefixes = append(p.prefixes, prefix)
		if count == len(parts)-1 {
			p.shared = prefix
		}
	}
	return p
}
