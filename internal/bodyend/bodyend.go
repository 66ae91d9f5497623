// Package bodyend tells whether the body of a response is complete where its connection ends.
//
// A response may have neither a length nor chunks. A server that crashes, or gives up, closes the
// connection in the same way as one that has finished. Then the content must be complete as far as
// its type shows that, and the server must still listen. If it closes while the request is still sent, nothing tells its end from a
// break but the content.
package bodyend

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/bamboostep/bamboostep/dialer"
)

// Reasons why a body is not complete.
var (
	ErrInsideEvent = errors.New("it ends inside an event")
	ErrNoEvent     = errors.New("it ends with its connection, without an event")
	ErrInsideJSON  = errors.New("it ends with its connection, inside its JSON value")
	ErrUpload      = errors.New("it ends with its connection, before the request was sent whole")

	// ErrUploadUnfinished is why an upload does not show the end of a response: it was still being written UploadGrace later.
	ErrUploadUnfinished = errors.New("the request's body was not written whole")
)

// UploadGrace is how long the end of a response waits for the rest of its request to be written.
const UploadGrace = 50 * time.Millisecond

// StatusError is a status that no response has. What comes with it is not a response.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d is not between 100 and 599", e.Status)
}

// CheckStatus returns a *StatusError if status is not between 100 and 599.
func CheckStatus(status int) error {
	if status < 100 || status > 599 {
		return &StatusError{status}
	}
	return nil
}

// ServerDownError says that a server refuses connections after the connection that ended a
// response.
type ServerDownError struct{ Address string }

// Error implements error.
func (e *ServerDownError) Error() string {
	return fmt.Sprintf("it ends with its connection, and %s refuses others", e.Address)
}

// IsJSON reports whether a response with the header h holds a JSON value.
func IsJSON(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "application/json")
}

// CheckContent returns ErrInsideJSON if the header h says that the body is JSON and it is not a
// whole value. Other bodies are not checked.
func CheckContent(h http.Header, body []byte) error {
	if IsJSON(h) && !json.Valid(body) {
		return ErrInsideJSON
	}
	return nil
}

// CheckUpload returns nil if the body of a response is complete although its connection ended while the request was sent,
// for the reason upload, and else ErrUpload, which wraps it. Only a JSON value whose last byte can be no other shows
// that. upload is nil if the request was sent whole.
func CheckUpload(upload error, h http.Header, body []byte) error {
	if upload == nil || IsJSON(h) && endsItself(body) {
		return nil
	}
	return fmt.Errorf("%w: %w", ErrUpload, upload)
}

// endsItself reports whether body is one JSON value and no number, which could go on.
func endsItself(body []byte) bool {
	value := bytes.TrimSpace(body)
	if !json.Valid(value) {
		return false
	}
	first := value[0]
	return first != '-' && (first < '0' || first > '9')
}

// CheckServer returns a *ServerDownError if a server refuses connections, so that it may have
// crashed as the connection ended. dialErr is set if the dial failed otherwise, which does not say
// that.
func CheckServer(ctx context.Context, address string) (err, dialErr error) {
	refused, dialErr := dialer.RefusedTwice(ctx, address)
	if refused {
		return &ServerDownError{address}, nil
	}
	return nil, dialErr
}
