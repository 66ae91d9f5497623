package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
)

// Parts of a body in JSON. Decoding a whole body to look at one field, or to count a list, takes many times the size of the body, so it is read by its tokens, and nothing is kept.

// topLevelField returns the text of a field's value in a JSON object, of the last one if there are several. It returns "" if data is no object or lacks the field.
func topLevelField(data []byte, name string) string {
	if !json.Valid(data) {
		return ""
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	if t, err := dec.Token(); err != nil || t != json.Delim('{') {
		return ""
	}
	var value json.RawMessage
	for dec.More() {
		key, err := dec.Token()
		if err != nil {
			return ""
		}
		if key == name {
			err = dec.Decode(&value)
		} else {
			err = skipValue(dec)
		}
		if err != nil {
			return ""
		}
	}
	return string(value)
}

// skipValue reads the next value.
func skipValue(dec *json.Decoder) error {
	t, err := dec.Token()
	if err != nil {
		return err
	}
	return skipRest(dec, t)
}

// skipRest reads the rest of the value that begins with a token.
func skipRest(dec *json.Decoder, first json.Token) error {
	depth := 0
	for t := first; ; {
		switch t {
		case json.Delim('['), json.Delim('{'):
			depth++
		case json.Delim(']'), json.Delim('}'):
			depth--
		}
		if depth == 0 {
			return nil
		}
		var err error
		if t, err = dec.Token(); err != nil {
			return err
		}
	}
}

// hasOnePrompt returns why value, the "prompt" of a request, is not a single prompt: a text, a list of tokens, or a list of one prompt.
func hasOnePrompt(value json.RawMessage) error {
	dec := json.NewDecoder(bytes.NewReader(value))
	dec.UseNumber()
	first, err := dec.Token()
	if err != nil {
		return fmt.Errorf("\"prompt\" cannot be read: %w", err)
	}
	if _, isText := first.(string); isText {
		return nil
	}
	if first != json.Delim('[') {
		return fmt.Errorf("\"prompt\" is neither a text nor a list")
	}
	elements, tokens := 0, true
	for dec.More() {
		t, err := dec.Token()
		if err == nil {
			err = skipRest(dec, t)
		}
		if err != nil {
			return fmt.Errorf("\"prompt\" cannot be read: %w", err)
		}
		elements++
		tokens = tokens && isPromptToken(t)
		if elements > 1 && !tokens {
			return fmt.Errorf("\"prompt\" holds several prompts, and a request gets one answer")
		}
	}
	if elements == 0 {
		return fmt.Errorf("\"prompt\" holds 0 prompts, and a request gets one answer")
	}
	return nil
}

// isPromptToken reports whether an element of a prompt is the number of a token. A null counts as one, as it always has.
func isPromptToken(t json.Token) bool {
	number, isNumber := t.(json.Number)
	if !isNumber {
		return t == nil
	}
	_, err := strconv.Atoi(number.String())
	return err == nil
}
