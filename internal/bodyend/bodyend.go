// Package bodyend tells whether the body of a response is complete where its connection ends.
//
// A response may have neither a length nor chunks. A server that crashes, or gives up, closes the
// connection in the same way as one that has finished. Then the content must be complete as far as
// its type shows that, and the server must still listen.
package bodyend

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/bamboostep/bamboostep/dialer"
)

// Reasons why a body is not complete.
var (
	ErrInsideEvent = errors.New("it ends inside an event")
	ErrNoEvent     = errors.New("it ends with its connection, without an event")
	ErrInsideJSON  = errors.New("it ends with its connection, inside its JSON value")
)

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
