package main

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/bamboostep/bamboostep"
)

// This file parses and validates requests to models. Fields that the entry does
// not know are left to the engine. Requests for something the answer format here
// cannot return, such as several choices, are refused, since ignoring the field
// would silently return less than was asked for.

type chatRequest struct {
	Model               string          `json:"model"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	Stream              bool            `json:"stream"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Choices             int             `json:"n"`
	BestOf              int             `json:"best_of"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// tokenLimit returns the caller's limit on generated tokens, or 0 if there is
// none.
func (q *chatRequest) tokenLimit() int { return max(q.MaxTokens, q.MaxCompletionTokens) }

// parseChatRequest returns the parsed body, or the reason why it is refused.
func parseChatRequest(format apiFormat, body []byte) (*chatRequest, *bamboostep.RequestError) {
	var q chatRequest
	if err := json.Unmarshal(body, &q); err != nil {
		return nil, clientError(http.StatusBadRequest, "bad_json", "the body is not the JSON of a request: "+err.Error())
	}
	prompt := format.prompt(&q)
	if len(prompt) == 0 || string(prompt) == "null" {
		return nil, clientError(http.StatusBadRequest, "no_prompt", "the request holds no messages or prompt")
	}
	if err := format.checkPrompt(prompt); err != nil {
		return nil, clientError(http.StatusBadRequest, "bad_prompt", err.Error())
	}
	if q.Choices > 1 || q.BestOf > 1 {
		return nil, clientError(http.StatusBadRequest, "many_choices", "a request gets one choice: \"n\" and \"best_of\" must be 1 or left out")
	}
	if q.MaxTokens < 0 || q.MaxCompletionTokens < 0 {
		return nil, clientError(http.StatusBadRequest, "bad_token_limit", "a limit of tokens must not be negative")
	}
	return &q, nil
}

// checkPrompt verifies that messages is a non-empty list of objects.
func (chatFormat) checkPrompt(prompt json.RawMessage) error {
	var messages []struct{}
	if err := json.Unmarshal(prompt, &messages); err != nil {
		return fmt.Errorf("\"messages\" is not a list of messages: %w", err)
	}
	if len(messages) == 0 {
		return fmt.Errorf("\"messages\" is empty")
	}
	return nil
}

// checkPrompt rejects prompts that ask for several answers: every string in a
// list, and every list of tokens in a list, is a separate prompt.
func (completionFormat) checkPrompt(prompt json.RawMessage) error {
	return hasOnePrompt(prompt)
}
