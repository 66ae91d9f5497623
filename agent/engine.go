package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"

	"github.com/dghubble/sling"

	"github.com/bamboostep/bamboostep"
)

// engine is a model engine that speaks HTTP with JSON.
type engine struct {
	base   string
	vm     string
	client *http.Client
	api    *sling.Sling
}

var (
	_ bamboostep.Engine   = (*engine)(nil)
	_ bamboostep.Exporter = (*engine)(nil)
)

const (
	maxKVBytes = 4 << 20 // one attempt's exported KV cache
	maxTail    = 4 << 10 // bytes read after the end of an answer
)

func newEngine(base, vm string, concurrency int) *engine {
	client := &http.Client{Transport: &http.Transport{
		DisableCompression:  true,
		MaxIdleConnsPerHost: concurrency,
	}}
	return &engine{
		base:   base,
		vm:     vm,
		client: client,
		api:    sling.New().Client(client).Base(base),
	}
}

type generateBody struct {
	Attempt  bamboostep.AttemptID `json:"attempt"`
	Model    string               `json:"model"`
	Adapter  string               `json:"adapter"`
	Request  json.RawMessage      `json:"request"`
	Prior    string               `json:"prior"`
	Priority int                  `json:"priority"`
	Prefix   []uint64             `json:"prefix"`
}

func newGenerateBody(offer bamboostep.Offer) *generateBody {
	r := &offer.Request
	return &generateBody{
		Attempt:  offer.Attempt,
		Model:    r.Model,
		Adapter:  r.Adapter,
		Request:  r.Body,
		Prior:    string(offer.Prior),
		Priority: r.Class.Rank(),
		Prefix:   r.Prefix,
	}
}

// tokenLine is one line of a generated answer.
type tokenLine struct {
	Text    string `json:"text"`
	Tokens  int    `json:"tokens"`
	Done    bool   `json:"done"`
	Finish  string `json:"finish"`
	Code    string `json:"code"`
	Message string `json:"message"`
}

type errorBody struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// Generate implements bamboostep.Engine.
func (e *engine) Generate(ctx context.Context, offer bamboostep.Offer, yield func(bamboostep.Answer) error) error {
	body, err := json.Marshal(newGenerateBody(offer))
	if err != nil || len(offer.Request.Body) == 0 {
		return told(bamboostep.NotRun, "bad_request", "the body is not JSON")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.base+"/generate", bytes.NewReader(body))
	if err != nil {
		return told(bamboostep.NotRun, "bad_request", err.Error())
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := e.client.Do(req)
	if err != nil {
		return sendError(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refusal(resp)
	}
	if err := readTokens(json.NewDecoder(resp.Body), yield); err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxTail)) // lets the connection be used again
	return nil
}

func (e *engine) request(ctx context.Context, s *sling.Sling) (*http.Request, error) {
	req, err := s.Request()
	if err != nil {
		return nil, err
	}
	return req.WithContext(ctx), nil
}

func readTokens(dec *json.Decoder, yield func(bamboostep.Answer) error) error {
	for {
		var line tokenLine
		if err := dec.Decode(&line); err != nil {
			return fmt.Errorf("answer broke off: %w", err)
		}
		if line.Code != "" {
			return told(bamboostep.Ran, line.Code, line.Message)
		}
		a := bamboostep.Answer{Data: []byte(line.Text), Tokens: line.Tokens, Last: line.Done, Finish: line.Finish}
		if err := yield(a); err != nil || line.Done {
			return err
		}
	}
}

// told is a failure that the backend server itself has explained.
func told(outcome bamboostep.Outcome, code, message string) error {
	return &bamboostep.FailedError{Failure: bamboostep.Failure{Outcome: outcome, Code: code, Message: message}}
}

// sendError returns the error of a request that got no answer. It did not run if
// no connection was made.
func sendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return told(bamboostep.NotRun, "backend_down", err.Error())
	}
	return err
}

// refusal returns the error of a request that was answered with an HTTP error.
func refusal(resp *http.Response) error {
	var body errorBody
	_ = json.NewDecoder(io.LimitReader(resp.Body, 64<<10)).Decode(&body)
	if body.Code == "" {
		body = errorBody{"backend_error", resp.Status}
	}
	outcome := bamboostep.Unknown
	if resp.StatusCode < http.StatusInternalServerError {
		outcome = bamboostep.NotRun
	}
	return told(outcome, body.Code, body.Message)
}

// Do implements bamboostep.Engine.
func (e *engine) Do(ctx context.Context, order bamboostep.Order) error {
	req, err := e.request(ctx, e.api.New().Post("orders").BodyJSON(order))
	if err != nil {
		return err
	}
	var body errorBody
	resp, err := e.api.Do(req, nil, &body)
	if resp == nil {
		return sendError(err)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return &bamboostep.FencedError{Order: order.Fence}
	case http.StatusInsufficientStorage:
		return &bamboostep.NoMemoryError{VM: e.vm, Name: order.Name, NeedMiB: order.MiB}
	case http.StatusNotFound:
		return told(bamboostep.NotRun, "not_resident", body.Message)
	}
	if body.Code != "" {
		return told(bamboostep.NotRun, body.Code, body.Message)
	}
	return fmt.Errorf("order for %q answered with %s", order.Name, resp.Status)
}

// State implements bamboostep.Engine.
func (e *engine) State(ctx context.Context) (bamboostep.EngineState, error) {
	var state bamboostep.EngineState
	req, err := e.request(ctx, e.api.New().Get("state"))
	if err != nil {
		return state, err
	}
	resp, err := e.api.Do(req, &state, nil)
	if err != nil {
		return state, err
	}
	if resp.StatusCode != http.StatusOK {
		return state, fmt.Errorf("state answered with %s", resp.Status)
	}
	return state, nil
}

// ExportKV implements bamboostep.Exporter.
func (e *engine) ExportKV(ctx context.Context, attempt bamboostep.AttemptID) ([]byte, error) {
	type exportBody struct {
		Attempt bamboostep.AttemptID `json:"attempt"`
	}
	req, err := e.request(ctx, e.api.New().Post("kv/export").BodyJSON(exportBody{attempt}))
	if err != nil {
		return nil, err
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, refusal(resp)
	}
	kv, err := io.ReadAll(io.LimitReader(resp.Body, maxKVBytes+1))
	if err == nil && len(kv) > maxKVBytes {
		err = &kvSizeError{attempt}
	}
	return kv, err
}

// kvSizeError says that an exported KV cache is too large to be moved.
type kvSizeError struct{ Attempt bamboostep.AttemptID }

// Error implements error.
func (e *kvSizeError) Error() string {
	return fmt.Sprintf("KV cache of attempt %q has over %d bytes", e.Attempt, maxKVBytes)
}

// ImportKV implements bamboostep.Exporter.
func (e *engine) ImportKV(ctx context.Context, attempt bamboostep.AttemptID, kv []byte) error {
	target := e.base + "/kv/import?" + url.Values{"attempt": {string(attempt)}}.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(kv))
	if err != nil {
		return err
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refusal(resp)
	}
	return nil
}
