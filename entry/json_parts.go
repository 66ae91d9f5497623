package main

import (
	"bytes"
	"encoding/json"
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
