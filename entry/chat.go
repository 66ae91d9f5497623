package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/dispatch"
)

// This file holds requests to models and adapters, in the shape that clients of
// the usual chat and completion interfaces send.
//
// The body goes to the engine as it came; the entry reads only what it routes by.
// An answer whose backend server fails is resumed on another one after the text
// that came so far, so neither a streamed nor a plain answer is begun twice. Once
// a stream has begun its status cannot change, so an error becomes an event of
// the stream, which then ends without the closing [DONE].

// style is one of the two shapes of requests and answers.
type style interface {
	// prompt returns the text of the request that engines cache by prefix.
	prompt(q *chatRequest) []byte
	checkPrompt(prompt json.RawMessage) error
	object(stream bool) string
	choice(text string, finish *string, stream, first bool) choice
	idPrefix() string
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type chatStyle struct{}

func (chatStyle) prompt(q *chatRequest) []byte { return q.Messages }
func (chatStyle) idPrefix() string             { return "chatcmpl-" }

func (chatStyle) object(stream bool) string {
	if stream {
		return "chat.completion.chunk"
	}
	return "chat.completion"
}

func (chatStyle) choice(text string, finish *string, stream, first bool) choice {
	m := &message{Content: text}
	if first || !stream {
		m.Role = "assistant"
	}
	if stream {
		return choice{Delta: m, FinishReason: finish}
	}
	return choice{Message: m, FinishReason: finish}
}

type completionStyle struct{}

func (completionStyle) prompt(q *chatRequest) []byte { return q.Prompt }
func (completionStyle) idPrefix() string             { return "cmpl-" }
func (completionStyle) object(bool) string           { return "text_completion" }

func (completionStyle) choice(text string, finish *string, _, _ bool) choice {
	return choice{Text: &text, FinishReason: finish}
}

var (
	_ style = chatStyle{}
	_ style = completionStyle{}
)

// bytesPerToken turns the length of a prompt into tokens, which only engines
// could count.
const bytesPerToken = 4

const defaultAnswerTokens = 128 // answer of a model that has not answered yet

func (x *exchange) serveChat(s style) {
	if x.r.Method != http.MethodPost {
		x.w.Header().Set("Allow", http.MethodPost)
		x.refuse(badRequest(http.StatusMethodNotAllowed, "method_not_allowed", "this path takes POST"))
		return
	}
	q, refused := parseChatRequest(s, x.body)
	if refused != nil {
		x.refuse(refused)
		return
	}
	j, refused := x.modelJob(s, q)
	if refused != nil {
		x.refuse(refused)
		return
	}
	a := &chatAnswer{exchange: x, style: s, query: q, model: x.target, created: x.started.Unix(),
		usage: usage{PromptTokens: len(s.prompt(q)) / bytesPerToken}}
	x.received(j)
	a.end(x.run(x.r.Context(), j, a.piece))
}

// modelJob makes the job of a request to a model or adapter.
func (x *exchange) modelJob(s style, q *chatRequest) (*job, *bamboostep.RefusedError) {
	j := &job{resumable: true}
	base := q.Model
	if a, ok := x.set.Adapter(q.Model); ok {
		base = a.Model
		j.request.Adapter = a.Name
		j.load = bamboostep.Order{Kind: bamboostep.LoadAdapter, Name: a.Name, Model: a.Model, Version: a.Version, MiB: a.WeightsMiB}
	}
	m, ok := x.set.Model(base)
	if !ok {
		return nil, badRequest(http.StatusNotFound, "model_not_found", fmt.Sprintf("model %q does not exist", q.Model))
	}
	x.target = q.Model
	x.class = m.Class
	j.place = m.Place
	j.model = m.Name
	j.startTarget = time.Duration(m.FirstTokenMS) * time.Millisecond
	j.request.Model = m.Name
	j.request.Prefix = dispatch.PrefixHashes(q.Model, s.prompt(q))
	j.work = x.expectedWork(q, len(s.prompt(q)))
	x.fillRequest(&j.request)
	j.answerTime = x.Limits.AnswerTime
	j.stallTime = x.Limits.StallTime
	j.course = dispatch.Course{Repeatable: true, Budget: x.budget, Deadline: x.started.Add(x.startLimit(j.startTarget))}
	return j, nil
}

func (x *exchange) expectedWork(q *chatRequest, promptBytes int) float64 {
	n := float64(x.demand.answerTokens(x.target))
	if limit := q.tokenLimit(); limit > 0 {
		n = min(n, float64(limit))
	}
	return n + float64(promptBytes)/bytesPerToken*promptTokenWork
}

// promptTokenWork is the work of reading one prompt token, in generated tokens.
const promptTokenWork = 0.1

// fillRequest sets what all requests have in common.
func (x *exchange) fillRequest(q *bamboostep.Request) {
	q.ID = x.id
	q.Caller = x.caller()
	q.Class = x.class
	q.Method = x.r.Method
	q.Path = x.r.URL.RequestURI()
	q.Header = forwardedHeader(x.r)
	q.Body = x.body
	q.Revision = x.set.Revision()
	q.Fingerprint = bamboostep.Fingerprint(x.body, x.target, x.r.Method, x.r.URL.RequestURI())
}

// chatAnswer turns the pieces of an answer into what the caller reads.
type chatAnswer struct {
	*exchange
	style   style
	query   *chatRequest
	model   string
	created int64
	usage   usage

	text   strings.Builder // plain answers
	held   []byte          // bytes that do not end a character yet
	finish string
	begun  bool // the stream has begun
	last   time.Time
}

// piece takes one piece of the answer.
func (a *chatAnswer) piece(p bamboostep.Answer) error {
	a.observeGap(p)
	a.usage.CompletionTokens += p.Tokens
	if p.Last {
		a.finish = p.Finish
	}
	text := a.wholeCharacters(p.Data, p.Last)
	if !a.query.Stream {
		a.text.WriteString(text)
		return nil
	}
	if text == "" {
		return nil
	}
	return a.sendChunk(a.style.choice(text, nil, true, !a.begun), nil)
}

func (a *chatAnswer) observeGap(p bamboostep.Answer) {
	now := a.Clock.Now()
	if !a.last.IsZero() && p.Tokens > 0 {
		gap := now.Sub(a.last) / time.Duration(p.Tokens)
		a.metrics.between.WithLabelValues(string(a.class)).Observe(gap.Seconds())
	}
	a.last = now
}

// wholeCharacters returns the text of data, holding back the bytes of a character
// that is not complete; JSON could not carry them.
func (a *chatAnswer) wholeCharacters(data []byte, last bool) string {
	data = append(a.held, data...)
	end := len(data)
	if !last {
		end -= incompleteTail(data)
	}
	a.held = append([]byte(nil), data[end:]...)
	return string(data[:end])
}

// end sends what follows the last piece, or the error.
func (a *chatAnswer) end(refused *bamboostep.RefusedError) {
	if refused != nil {
		a.endWithError(refused)
		return
	}
	a.demand.answered(a.target, a.usage.CompletionTokens)
	a.usage.TotalTokens = a.usage.PromptTokens + a.usage.CompletionTokens
	if a.finish == "" {
		a.finish = "stop"
	}
	if !a.query.Stream {
		a.writeJSON(http.StatusOK, a.completion(a.style.choice(a.text.String(), &a.finish, false, true), &a.usage))
		return
	}
	a.endStream()
}

func (a *chatAnswer) endStream() {
	var u *usage
	if a.query.StreamOptions.IncludeUsage {
		u = &a.usage
	}
	if a.sendChunk(a.style.choice("", &a.finish, true, !a.begun), u) == nil {
		a.sendEvent([]byte("[DONE]"))
	}
}

func (a *chatAnswer) endWithError(refused *bamboostep.RefusedError) {
	if !a.begun {
		a.refuse(refused)
		return
	}
	a.noteRefusal(refused)
	if body, err := json.Marshal(a.errorAnswer(refused)); err == nil {
		a.sendEvent(body)
	}
}

func (a *chatAnswer) completion(c choice, u *usage) completion {
	return completion{ID: a.style.idPrefix() + string(a.id), Object: a.style.object(a.query.Stream),
		Created: a.created, Model: a.model, Choices: []choice{c}, Usage: u}
}

func (a *chatAnswer) sendChunk(c choice, u *usage) error {
	body, err := json.Marshal(a.completion(c, u))
	if err != nil {
		return err
	}
	return a.sendEvent(body)
}

// sendEvent sends one server-sent event at once.
func (a *chatAnswer) sendEvent(body []byte) error {
	rc := http.NewResponseController(a.w)
	rc.SetWriteDeadline(a.Clock.Now().Add(a.Limits.IdleTime))
	if !a.begun {
		a.begun = true
		a.status = http.StatusOK
		a.w.Header().Set("Content-Type", "text/event-stream")
		a.w.Header().Set("Cache-Control", "no-cache")
		a.w.WriteHeader(http.StatusOK)
	}
	event := make([]byte, 0, len("data: ")+len(body)+2)
	event = append(event, "data: "...)
	event = append(event, body...)
	event = append(event, "\n\n"...)
	if _, err := a.w.Write(event); err != nil {
		return &callerGoneError{err}
	}
	return rc.Flush()
}

// callerGoneError says that the caller no longer takes its answer.
type callerGoneError struct{ cause error }

func (e *callerGoneError) Error() string { return "caller is gone: " + e.cause.Error() }

func (e *callerGoneError) Unwrap() error { return e.cause }

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (x *exchange) serveModels() {
	if x.r.Method != http.MethodGet {
		x.w.Header().Set("Allow", http.MethodGet)
		x.refuse(badRequest(http.StatusMethodNotAllowed, "method_not_allowed", "this path takes GET"))
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, m := range x.set.Objects().Models {
		list.Data = append(list.Data, modelItem{m.Name, "model", "bamboostep"})
	}
	for _, a := range x.set.Objects().Adapters {
		list.Data = append(list.Data, modelItem{a.Name, "model", "bamboostep"})
	}
	x.writeJSON(http.StatusOK, list)
}
