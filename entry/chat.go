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

// This file serves requests to models and adapters in the format of the OpenAI
// chat completion and completion APIs.
//
// The body is forwarded to the engine unchanged; the entry only parses what it
// needs for routing. If a backend server fails in the middle of an answer, another
// one continues after the text received so far, so no answer starts twice. Once a
// stream has begun its status cannot change, so an error is sent as an event and
// the stream ends without [DONE].

// apiFormat is one of the two formats of requests and answers.
type apiFormat interface {
	// prompt returns the part of the request that engines cache by prefix.
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

type chatFormat struct{}

func (chatFormat) prompt(q *chatRequest) []byte { return q.Messages }
func (chatFormat) idPrefix() string             { return "chatcmpl-" }

func (chatFormat) object(stream bool) string {
	if stream {
		return "chat.completion.chunk"
	}
	return "chat.completion"
}

func (chatFormat) choice(text string, finish *string, stream, first bool) choice {
	m := &message{Content: text}
	if first || !stream {
		m.Role = "assistant"
	}
	if stream {
		return choice{Delta: m, FinishReason: finish}
	}
	return choice{Message: m, FinishReason: finish}
}

type completionFormat struct{}

func (completionFormat) prompt(q *chatRequest) []byte { return q.Prompt }
func (completionFormat) idPrefix() string             { return "cmpl-" }
func (completionFormat) object(bool) string           { return "text_completion" }

func (completionFormat) choice(text string, finish *string, _, _ bool) choice {
	return choice{Text: &text, FinishReason: finish}
}

var (
	_ apiFormat = chatFormat{}
	_ apiFormat = completionFormat{}
)

// bytesPerToken estimates the number of tokens in a prompt. Only engines can count
// them.
const bytesPerToken = 4

const defaultAnswerTokens = 128 // assumed until a model has answered

func (x *exchange) serveChat(format apiFormat) {
	if x.r.Method != http.MethodPost {
		x.w.Header().Set("Allow", http.MethodPost)
		x.refuse(clientError(http.StatusMethodNotAllowed, "method_not_allowed", "this path takes POST"))
		return
	}
	q, refused := parseChatRequest(format, x.body)
	if refused != nil {
		x.refuse(refused)
		return
	}
	j, refused := x.newModelJob(format, q)
	if refused != nil {
		x.refuse(refused)
		return
	}
	a := &chatAnswer{exchange: x, format: format, params: q, model: x.target, created: x.started.Unix(),
		usage: usage{PromptTokens: len(format.prompt(q)) / bytesPerToken}}
	x.recordReceived(j)
	a.finishAnswer(x.runAttempts(x.r.Context(), j, a.handlePiece))
}

// newModelJob returns the job for a request to a model or adapter.
func (x *exchange) newModelJob(format apiFormat, q *chatRequest) (*job, *bamboostep.RequestError) {
	j := &job{resumable: true}
	base := q.Model
	if a, ok := x.set.Adapter(q.Model); ok {
		base = a.Model
		j.request.Adapter = a.Name
		j.adapterLoad = bamboostep.Order{Kind: bamboostep.LoadAdapter, Name: a.Name, Model: a.Model, Version: a.Version, MiB: a.WeightsMiB}
	}
	m, ok := x.set.Model(base)
	if !ok {
		return nil, clientError(http.StatusNotFound, "model_not_found", fmt.Sprintf("model %q does not exist", q.Model))
	}
	x.target = q.Model
	x.class = m.Class
	j.place = m.Place
	j.model = m.Name
	j.startTarget = time.Duration(m.FirstTokenMS) * time.Millisecond
	j.request.Model = m.Name
	j.request.Prefix = dispatch.PrefixHashes(q.Model, format.prompt(q))
	j.work = x.expectedWork(q, len(format.prompt(q)))
	x.fillRequest(&j.request)
	j.answerTime = x.Limits.AnswerTimeout
	j.stallTime = x.Limits.StallTimeout
	j.retry = dispatch.RequestState{Repeatable: true, Budget: x.retryBudget, Deadline: x.started.Add(x.startTimeout(j.startTarget))}
	return j, nil
}

func (x *exchange) expectedWork(q *chatRequest, promptBytes int) float64 {
	n := float64(x.demand.answerTokens(x.target))
	if limit := q.tokenLimit(); limit > 0 {
		n = min(n, float64(limit))
	}
	return n + float64(promptBytes)/bytesPerToken*promptTokenCost
}

// promptTokenCost is the work of processing one prompt token, in units of one
// generated token.
const promptTokenCost = 0.1

// fillRequest sets the fields that models and services have in common.
func (x *exchange) fillRequest(q *bamboostep.Request) {
	q.ID = x.id
	q.Caller = x.callerAddress()
	q.Class = x.class
	q.Method = x.r.Method
	q.Path = x.r.URL.RequestURI()
	q.Header = forwardedHeader(x.r)
	q.Body = x.body
	q.Revision = x.set.Revision()
	q.Fingerprint = bamboostep.Fingerprint(x.body, x.target, x.r.Method, x.r.URL.RequestURI())
}

// chatAnswer encodes the pieces of an answer for the caller.
type chatAnswer struct {
	*exchange
	format  apiFormat
	params  *chatRequest
	model   string
	created int64
	usage   usage

	text          strings.Builder // of an answer that is not streamed
	partialRune   []byte          // incomplete UTF-8 sequence at the end of the last piece
	finish        string
	streamStarted bool // the response headers were sent
	lastPieceAt   time.Time
}

// handlePiece processes one piece of the answer.
func (a *chatAnswer) handlePiece(p bamboostep.Answer) error {
	a.observeTokenGap(p)
	a.usage.CompletionTokens += p.Tokens
	if p.Last {
		a.finish = p.FinishReason
	}
	text := a.completeRunes(p.Data, p.Last)
	if !a.params.Stream {
		a.text.WriteString(text)
		return nil
	}
	if text == "" {
		return nil
	}
	return a.sendChunk(a.format.choice(text, nil, true, !a.streamStarted), nil)
}

func (a *chatAnswer) observeTokenGap(p bamboostep.Answer) {
	now := a.Clock.Now()
	if !a.lastPieceAt.IsZero() && p.Tokens > 0 {
		gap := now.Sub(a.lastPieceAt) / time.Duration(p.Tokens)
		a.metrics.between.WithLabelValues(string(a.class)).Observe(gap.Seconds())
	}
	a.lastPieceAt = now
}

// completeRunes returns the complete characters in data and keeps the bytes of an
// incomplete one for the next piece, since JSON cannot represent them.
func (a *chatAnswer) completeRunes(data []byte, last bool) string {
	data = append(a.partialRune, data...)
	end := len(data)
	if !last {
		end -= incompleteRuneLen(data)
	}
	a.partialRune = append([]byte(nil), data[end:]...)
	return string(data[:end])
}

// finishAnswer completes the response, or sends the error.
func (a *chatAnswer) finishAnswer(refused *bamboostep.RequestError) {
	if refused != nil {
		a.finishWithError(refused)
		return
	}
	a.demand.recordAnswer(a.target, a.usage.CompletionTokens)
	a.usage.TotalTokens = a.usage.PromptTokens + a.usage.CompletionTokens
	if a.finish == "" {
		a.finish = "stop"
	}
	if !a.params.Stream {
		a.writeJSON(http.StatusOK, a.completion(a.format.choice(a.text.String(), &a.finish, false, true), &a.usage))
		return
	}
	a.finishStream()
}

func (a *chatAnswer) finishStream() {
	var u *usage
	if a.params.StreamOptions.IncludeUsage {
		u = &a.usage
	}
	if a.sendChunk(a.format.choice("", &a.finish, true, !a.streamStarted), u) == nil {
		a.sendEvent([]byte("[DONE]"))
	}
}

func (a *chatAnswer) finishWithError(refused *bamboostep.RequestError) {
	if !a.streamStarted {
		a.refuse(refused)
		return
	}
	a.recordRefusal(refused)
	if body, err := json.Marshal(a.newErrorResponse(refused)); err == nil {
		a.sendEvent(body)
	}
}

func (a *chatAnswer) completion(c choice, u *usage) completion {
	return completion{ID: a.format.idPrefix() + string(a.id), Object: a.format.object(a.params.Stream),
		Created: a.created, Model: a.model, Choices: []choice{c}, Usage: u}
}

func (a *chatAnswer) sendChunk(c choice, u *usage) error {
	body, err := json.Marshal(a.completion(c, u))
	if err != nil {
		return err
	}
	return a.sendEvent(body)
}

// sendEvent sends one server-sent event and flushes it.
func (a *chatAnswer) sendEvent(body []byte) error {
	rc := http.NewResponseController(a.w)
	rc.SetWriteDeadline(a.Clock.Now().Add(a.Limits.WriteTimeout))
	if !a.streamStarted {
		a.streamStarted = true
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

// callerGoneError reports that a write to the caller's connection failed.
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
		x.refuse(clientError(http.StatusMethodNotAllowed, "method_not_allowed", "this path takes GET"))
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
