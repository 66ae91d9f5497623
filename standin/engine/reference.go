package engine

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"strings"
)

// The stand-in's answers are words drawn by a hash of model, adapter, prompt and
// position. Every engine gives the same answer to the same request whatever
// version it holds, so a test can tell a whole answer from a crossed or a cut
// one, also when the answer was resumed on another engine.

const (
	defaultMaxTokens = 16
	limitMaxTokens   = 4096
)

var (
	consonants = []string{"b", "d", "f", "g", "k", "l", "m", "n", "p", "r", "s", "t", "v", "z", "ch", "st"}
	vowels     = []string{"a", "e", "i", "o", "u", "ai", "ei", "ou"}
)

// Reference returns the whole answer of n tokens to the prompt.
func Reference(model, adapter, prompt string, n int) string {
	var b strings.Builder
	seed := answerSeed(model, adapter, prompt)
	for i := range n {
		b.WriteString(token(seed, i))
	}
	return b.String()
}

// callerBody is the part of a caller's body that the engine reads.
type callerBody struct {
	Messages []struct {
		Content string `json:"content"`
	} `json:"messages"`
	Prompt    string `json:"prompt"`
	MaxTokens *int   `json:"max_tokens"`
}

// Prompt returns the prompt of a caller's JSON body, which is its messages'
// contents joined by newlines or else its prompt, and the number of tokens asked
// for.
func Prompt(body []byte) (prompt string, n int, err error) {
	var c callerBody
	if err := json.Unmarshal(body, &c); err != nil {
		return "", 0, fmt.Errorf("request body: %w", err)
	}
	contents := make([]string, 0, len(c.Messages))
	for _, m := range c.Messages {
		contents = append(contents, m.Content)
	}
	prompt = strings.Join(contents, "\n")
	if len(contents) == 0 {
		prompt = c.Prompt
	}
	if c.MaxTokens == nil {
		return prompt, defaultMaxTokens, nil
	}
	return prompt, min(max(*c.MaxTokens, 1), limitMaxTokens), nil
}

func answerSeed(model, adapter, prompt string) uint64 {
	h := fnv.New64a()
	for _, part := range []string{model, adapter, prompt} {
		fmt.Fprintf(h, "%d:%s", len(part), part)
	}
	return h.Sum64()
}

// token returns the text of token i, which starts with a space but for the first.
func token(seed uint64, i int) string {
	x := mix(seed + uint64(i)*0x9e3779b97f4a7c15)
	var b strings.Builder
	if i > 0 {
		b.WriteByte(' ')
	}
	for range 2 + x%2 {
		x = mix(x)
		b.WriteString(consonants[x%16])
		b.WriteString(vowels[x>>8%8])
	}
	return b.String()
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// skip returns how many tokens of the answer prior covers, and the rest of the
// token that prior ends in. The error says that prior is not the start of the
// answer.
func skip(seed uint64, prior string) (tokens int, rest string, err error) {
	for prior != "" {
		t := token(seed, tokens)
		tokens++
		if strings.HasPrefix(t, prior) {
			return tokens, t[len(prior):], nil
		}
		after, ok := strings.CutPrefix(prior, t)
		if !ok {
			return 0, "", fmt.Errorf("prior text differs from the answer at token %d", tokens-1)
		}
		prior = after
	}
	return tokens, "", nil
}
