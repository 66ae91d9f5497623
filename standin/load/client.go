package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/bamboostep/bamboostep/standin/engine"
)

// Generator sends the requests of a schedule. Set the exported fields before Run.
type Generator struct {
	Entries []string      // base URLs, used in turn
	Timeout time.Duration // of one request
	Client  *http.Client  // one with many connections if nil
	Log     io.Writer     // one line for each request, unless nil
}

const connectionsKept = 512

type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatChunk struct {
	Choices []struct {
		Delta        chatMessage `json:"delta"`
		FinishReason *string     `json:"finish_reason"`
	} `json:"choices"`
	Error *chatError `json:"error"`
}

type chatError struct {
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
}

// Run sends the schedule and returns when every request has ended, or ctx has.
func (g *Generator) Run(ctx context.Context, schedule []Arrival) *Result {
	if g.Client == nil {
		g.Client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connectionsKept}}
	}
	result := newResult()
	result.log = g.Log
	begun := time.Now()
	var wg sync.WaitGroup
	for i, a := range schedule {
		if !sleepUntil(ctx, begun.Add(a.At)) {
			break
		}
		wg.Go(func() { result.add(a, g.send(ctx, g.Entries[i%len(g.Entries)], a)) })
	}
	wg.Wait()
	return result
}

func sleepUntil(ctx context.Context, t time.Time) bool {
	select {
	case <-time.After(time.Until(t)):
		return true
	case <-ctx.Done():
		return false
	}
}

// send sends one request and reads its answer.
func (g *Generator) send(ctx context.Context, entry string, a Arrival) answer {
	ctx, cancel := context.WithTimeout(ctx, g.Timeout)
	defer cancel()
	body, err := json.Marshal(chatRequest{a.Target.Name, []chatMessage{{"user", a.Prompt}}, a.Tokens, true})
	if err != nil {
		return answer{outcome: Failed}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return answer{outcome: Failed}
	}
	req.Header.Set("Content-Type", "application/json")
	sent := time.Now()
	resp, err := g.Client.Do(req)
	if err != nil {
		return answer{outcome: Failed}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return answer{outcome: refusalOf(resp)}
	}
	return read(resp, a, sent)
}

func refusalOf(resp *http.Response) Outcome {
	var c chatChunk
	if json.NewDecoder(resp.Body).Decode(&c) != nil || c.Error == nil {
		return notSorted
	}
	return refused + Outcome(c.Error.Code)
}

// read reads a stream of server-sent events to its end.
func read(resp *http.Response, a Arrival, sent time.Time) answer {
	var got answer
	var text strings.Builder
	last := sent
	whole := false
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		event, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if event == "[DONE]" {
			whole = true
			break
		}
		var c chatChunk
		if json.Unmarshal([]byte(event), &c) != nil {
			got.outcome = notSorted
			return got
		}
		if c.Error != nil {
			got.outcome = Broken
			return got
		}
		if len(c.Choices) == 0 || c.Choices[0].Delta.Content == "" {
			continue
		}
		text.WriteString(c.Choices[0].Delta.Content)
		now := time.Now()
		if got.first == 0 {
			got.first = now.Sub(sent)
		} else {
			got.gaps = append(got.gaps, now.Sub(last))
		}
		last = now
	}
	got.outcome = judge(a, got, whole, text.String())
	return got
}

// judge compares an answer with the reference and the targets. The time between
// tokens counts by its mean over the answer.
func judge(a Arrival, got answer, whole bool, text string) Outcome {
	if !whole || text != engine.Reference(a.Target.Model, a.Target.Adapter(), a.Prompt, a.Tokens) {
		return Wrong
	}
	if a.Target.FirstToken > 0 && got.first > a.Target.FirstToken || a.Target.BetweenTokens > 0 && got.meanGap() > a.Target.BetweenTokens {
		return Late
	}
	return InTime
}

// meanGap returns the mean time between two tokens.
func (a answer) meanGap() time.Duration {
	var sum time.Duration
	for _, g := range a.gaps {
		sum += g
	}
	return sum / time.Duration(max(1, len(a.gaps)))
}

// writeLine writes one line of a request and its answer.
func writeLine(w io.Writer, a Arrival, got answer) {
	fmt.Fprintf(w, "at_ms=%d target=%s model=%s tokens=%d outcome=%s first_token_ms=%d between_tokens_ms=%d\n",
		a.At.Milliseconds(), a.Target.Name, a.Target.Model, a.Tokens, got.outcome, got.first.Milliseconds(), got.meanGap().Milliseconds())
}
