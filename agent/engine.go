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
	"github.com/bamboostep/bamboostep/internal/bodyend"
)

// engine is the HTTP client of a model engine on the same VM. Control requests and
// generated text are JSON; a KV cache is transferred as raw bytes. It keeps no connection: responses
// name no request, so an earlier refusal that an engine writes once more would be taken for that of the next
// request, which runs.
type engine struct {
	baseURL string
	vmName  string
	client  *http.Client
	api     *sling.Sling
}

var (
	_ bamboostep.Engine     = (*engine)(nil)
	_ bamboostep.KVExporter = (*engine)(nil)
)

const maxKVBytes = 4 << 20 // largest KV cache of one attempt that ExportKV returns

func newEngine(baseURL, vmName string) *engine {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}
	return &engine{
		baseURL: baseURL,
		vmName:  vmName,
		client:  client,
		api:     sling.New().Client(client).Base(baseURL),
	}
}

// generateRequest is the body of POST /generate.
type generateRequest struct {
	Attempt  bamboostep.AttemptID `json:"attempt"`
	Model    string               `json:"model"`
	Adapter  string               `json:"adapter"`
	Request  json.RawMessage      `json:"request"`
	Prior    string               `json:"prior"`
	Priority int                  `json:"priority"`
	Prefix   []uint64             `json:"prefix"`
}

func newGenerateRequest(offer bamboostep.Offer) *generateRequest {
	r := &offer.Request
	return &generateRequest{
		Attempt:  offer.Attempt,
		Model:    r.Model,
		Adapter:  r.Adapter,
		Request:  r.Body,
		Prior:    string(offer.PriorText),
		Priority: r.Class.Rank(),
		Prefix:   r.Prefix,
	}
}

// tokenLine is one JSON line of the response to POST /generate. The last line has
// Done set, or a Code if generation failed.
type tokenLine struct {
	Text    string `json:"text"`
	Tokens  int    `json:"tokens"`
	Done    bool   `json:"done"`
	Finish  string `json:"finish"`
	Code    string `json:"code"`
	Message string `json:"message"`
}

// errorBody is the body of an HTTP error response.
type errorBody struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// Generate implements bamboostep.Engine. It rejects a request body that is not JSON
// without calling the engine.
func (e *engine) Generate(ctx context.Context, offer bamboostep.Offer, yield func(bamboostep.Answer) error) error {
	body, err := json.Marshal(newGenerateRequest(offer))
	if err != nil || len(offer.Request.Body) == 0 {
		return failedError(bamboostep.NotRun, "bad_request", "the body is not JSON")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.baseURL+"/generate", bytes.NewReader(body))
	if err != nil {
		return failedError(bamboostep.NotRun, "bad_request", err.Error())
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := e.client.Do(req)
	if err != nil {
		return transportError(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return responseError(resp)
	}
	return readTokens(json.NewDecoder(resp.Body), yield)
}

// newRequest builds the request that s describes and binds it to ctx.
func (e *engine) newRequest(ctx context.Context, s *sling.Sling) (*http.Request, error) {
	req, err := s.Request()
	if err != nil {
		return nil, err
	}
	return req.WithContext(ctx), nil
}

// readTokens decodes the lines of a generated response and passes each to yield,
// until the last line, a line that reports a failure, or an error from yield.
func readTokens(dec *json.Decoder, yield func(bamboostep.Answer) error) error {
	for {
		var line tokenLine
		if err := dec.Decode(&line); err != nil {
			return fmt.Errorf("reading the response: %w", err)
		}
		if line.Code != "" {
			return failedError(bamboostep.Ran, line.Code, line.Message)
		}
		a := bamboostep.Answer{Data: []byte(line.Text), Tokens: line.Tokens, Last: line.Done, FinishReason: line.Finish}
		if err := yield(a); err != nil || line.Done {
			return err
		}
	}
}

// failedError returns an attempt failure whose outcome and code are known. After an
// error of any other type, backend.Server checks whether the engine has crashed.
func failedError(outcome bamboostep.Outcome, code, message string) error {
	return &bamboostep.AttemptError{Failure: bamboostep.Failure{Outcome: outcome, Code: code, Message: message}}
}

// transportError maps the error of a request that got no response. If the connection
// could not be established the request did not run; otherwise err is returned
// unchanged, as the request may have run.
func transportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return failedError(bamboostep.NotRun, "backend_down", err.Error())
	}
	return err
}

// responseError returns the failure that an HTTP error response reports. A status
// below 500 means that the request did not run; from 500 up it may have run.
func responseError(resp *http.Response) error {
	if err := bodyend.CheckStatus(resp.StatusCode); err != nil {
		return err
	}
	var body errorBody
	_ = json.NewDecoder(io.LimitReader(resp.Body, 64<<10)).Decode(&body)
	if body.Code == "" {
		body = errorBody{"backend_error", resp.Status}
	}
	outcome := bamboostep.Unknown
	if resp.StatusCode < http.StatusInternalServerError {
		outcome = bamboostep.NotRun
	}
	return failedError(outcome, body.Code, body.Message)
}

// Do implements bamboostep.Engine. It returns a *bamboostep.FencedError if the engine
// has seen a newer order, and a *bamboostep.InsufficientMemoryError if the load does not fit.
func (e *engine) Do(ctx context.Context, order bamboostep.Order) error {
	req, err := e.newRequest(ctx, e.api.New().Post("orders").BodyJSON(order))
	if err != nil {
		return err
	}
	var body errorBody
	resp, err := e.api.Do(req, nil, &body)
	if resp == nil {
		return transportError(err)
	}
	if err := bodyend.CheckStatus(resp.StatusCode); err != nil {
		return err
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return &bamboostep.FencedError{Order: order.Fence}
	case http.StatusInsufficientStorage:
		return &bamboostep.InsufficientMemoryError{VM: e.vmName, Name: order.Name, NeedMiB: order.MiB}
	case http.StatusNotFound:
		return failedError(bamboostep.NotRun, "not_resident", body.Message)
	}
	if body.Code != "" {
		return failedError(bamboostep.NotRun, body.Code, body.Message)
	}
	return fmt.Errorf("engine responded to the order for %q with status %s", order.Name, resp.Status)
}

// State implements bamboostep.Engine.
func (e *engine) State(ctx context.Context) (bamboostep.EngineState, error) {
	var state bamboostep.EngineState
	req, err := e.newRequest(ctx, e.api.New().Get("state"))
	if err != nil {
		return state, err
	}
	resp, err := e.api.Do(req, &state, nil)
	if err != nil {
		return state, err
	}
	if resp.StatusCode != http.StatusOK {
		return state, fmt.Errorf("engine responded to the state request with status %s", resp.Status)
	}
	return state, nil
}

// ExportKV implements bamboostep.KVExporter. It fails with a *kvTooLargeError if the KV
// cache exceeds maxKVBytes, and with errUnframedKV if its end cannot be told from an early one.
func (e *engine) ExportKV(ctx context.Context, attempt bamboostep.AttemptID) ([]byte, error) {
	type exportRequest struct {
		Attempt bamboostep.AttemptID `json:"attempt"`
	}
	req, err := e.newRequest(ctx, e.api.New().Post("kv/export").BodyJSON(exportRequest{attempt}))
	if err != nil {
		return nil, err
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, responseError(resp)
	}
	if isUnframed(resp) {
		return nil, errUnframedKV
	}
	kv, err := io.ReadAll(io.LimitReader(resp.Body, maxKVBytes+1))
	if err == nil && len(kv) > maxKVBytes {
		err = &kvTooLargeError{attempt}
	}
	return kv, err
}

// errUnframedKV reports a KV cache that comes with neither a length nor chunks. Its bytes do not
// show whether it is complete.
var errUnframedKV = errors.New("the KV cache has neither a length nor chunks")

// kvTooLargeError reports that the KV cache of an attempt exceeds maxKVBytes, so that
// it cannot be transferred to another engine.
type kvTooLargeError struct{ Attempt bamboostep.AttemptID }

// Error implements error.
func (e *kvTooLargeError) Error() string {
	return fmt.Sprintf("KV cache of attempt %q exceeds %d bytes", e.Attempt, maxKVBytes)
}

// ImportKV implements bamboostep.KVExporter.
func (e *engine) ImportKV(ctx context.Context, attempt bamboostep.AttemptID, kv []byte) error {
	importURL := e.baseURL + "/kv/import?" + url.Values{"attempt": {string(attempt)}}.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, importURL, bytes.NewReader(kv))
	if err != nil {
		return err
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return responseError(resp)
	}
	return nil
}
