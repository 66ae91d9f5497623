// Package caller is a caller as old devices are: HTTP/1.1, no retry of its own,
// chat completions plain or streamed, and plain requests to services.
package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Caller sends requests to one entry.
type Caller struct {
	BaseURL string
	Client  *http.Client // a new connection for each request if nil
	Begun   func()       // called at the first token of a stream; may be nil
}

// Answer is what a caller got.
type Answer struct {
	Status     int
	RequestID  string
	Text       string // generated text, for models
	Body       string // whole body
	Code       string // stable code of an error
	Outcome    string // not_run, ran or unknown, of an error
	RetryAfter string
	First      time.Duration // until the first byte or token
	Whole      time.Duration // until the end
	Broken     error         // the answer ended before it was whole
}

// String shows the answer in one line.
func (a Answer) String() string {
	what := fmt.Sprintf("%q", a.Text)
	if a.Code != "" {
		what = fmt.Sprintf("%s (%s)", a.Code, a.Outcome)
	} else if a.Text == "" {
		what = strings.TrimSpace(a.Body)
	}
	if a.Broken != nil {
		what += fmt.Sprintf(" broken: %v", a.Broken)
	}
	return fmt.Sprintf("status %d, first %v, whole %v, %s", a.Status, a.First.Round(time.Microsecond), a.Whole.Round(time.Microsecond), what)
}

type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream,omitempty"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatAnswer struct {
	Choices []struct {
		Message chatMessage `json:"message"`
		Delta   chatMessage `json:"delta"`
	} `json:"choices"`
	Error *errorAnswer `json:"error"`
}

type errorAnswer struct {
	Code      string `json:"code"`
	Outcome   string `json:"outcome"`
	RequestID string `json:"request_id"`
}

// Chat asks for a whole chat completion.
func (c *Caller) Chat(ctx context.Context, model, prompt string, maxTokens int) (Answer, error) {
	return c.chat(ctx, model, prompt, maxTokens, false)
}

// Stream asks for a chat completion by server-sent events.
func (c *Caller) Stream(ctx context.Context, model, prompt string, maxTokens int) (Answer, error) {
	return c.chat(ctx, model, prompt, maxTokens, true)
}

// Post sends a body to a plain service.
func (c *Caller) Post(ctx context.Context, path string, body []byte) (Answer, error) {
	return c.send(ctx, path, body, readPlain)
}

func (c *Caller) chat(ctx context.Context, model, prompt string, maxTokens int, stream bool) (Answer, error) {
	body, err := json.Marshal(chatRequest{
		Model:     model,
		Messages:  []chatMessage{{Role: "user", Content: prompt}},
		MaxTokens: maxTokens,
		Stream:    stream,
	})
	if err != nil {
		return Answer{}, err
	}
	read := readChat
	if stream {
		read = c.readStream
	}
	return c.send(ctx, "/v1/chat/completions", body, read)
}

// send returns an error if there was no answer at all; one that broke off is an
// Answer with Broken set.
func (c *Caller) send(ctx context.Context, path string, body []byte, read func(*Answer, io.Reader, time.Time)) (Answer, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.BaseURL+path, bytes.NewReader(body))
	if err != nil {
		return Answer{}, err
	}
	req.Header.Set("Content-Type", "application/json")
	began := time.Now()
	resp, err := c.client().Do(req)
	if err != nil {
		return Answer{}, err
	}
	defer resp.Body.Close()
	a := Answer{
		Status:     resp.StatusCode,
		RequestID:  resp.Header.Get("X-Request-Id"),
		RetryAfter: resp.Header.Get("Retry-After"),
		First:      time.Since(began),
	}
	if resp.StatusCode >= http.StatusBadRequest {
		read = readChat
	}
	read(&a, resp.Body, began)
	a.Whole = time.Since(began)
	return a, nil
}

// oneShot opens a connection for each request, as simple devices do.
var oneShot = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func (c *Caller) client() *http.Client {
	if c.Client != nil {
		return c.Client
	}
	return oneShot
}

func readPlain(a *Answer, r io.Reader, began time.Time) {
	body, err := io.ReadAll(r)
	a.Body = string(body)
	a.Broken = err
}

func readChat(a *Answer, r io.Reader, began time.Time) {
	readPlain(a, r, began)
	var parsed chatAnswer
	if json.Unmarshal([]byte(a.Body), &parsed) != nil {
		return
	}
	a.add(parsed)
}

func (a *Answer) add(parsed chatAnswer) {
	if parsed.Error != nil {
		a.Code = parsed.Error.Code
		a.Outcome = parsed.Error.Outcome
	}
	for _, choice := range parsed.Choices {
		a.Text += choice.Message.Content + choice.Delta.Content
	}
}

func (c *Caller) readStream(a *Answer, r io.Reader, began time.Time) {
	lines := bufio.NewScanner(r)
	a.Broken = io.ErrUnexpectedEOF
	told := false
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			a.Broken = nil
			return
		}
		var parsed chatAnswer
		if json.Unmarshal([]byte(data), &parsed) != nil {
			return
		}
		if a.Text == "" {
			a.First = time.Since(began)
		}
		a.add(parsed)
		if a.Text != "" && !told && c.Begun != nil {
			told = true
			c.Begun()
		}
	}
}
