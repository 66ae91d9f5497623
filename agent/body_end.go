package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/bamboostep/bamboostep/dialer"
	"github.com/bamboostep/bamboostep/internal/sse"
)

// Whether the body of an application's response is complete where it ends. A length or chunks say
// so. Without them it ends with its connection, which an application that crashes closes in the
// same way. Then its content must be complete as far as its type shows that, and the
// application must still listen.

// maxCheckedJSON is the size of the largest JSON value, in bytes, that is checked for its end.
const maxCheckedJSON = 1 << 20

var (
	errInsideEvent = errors.New("the response ends inside an event")
	errNoEvent     = errors.New("the response ends with its connection, without an event")
	errInsideJSON  = errors.New("the response ends with its connection, inside its JSON value")
)

// applicationDownError says that an application refuses connections after the connection that
// ended a response.
type applicationDownError struct{ Host string }

// Error implements error.
func (e *applicationDownError) Error() string {
	return fmt.Sprintf("the response ends with its connection, and the application at %s refuses others", e.Host)
}

// bodyEnd follows the body of a response, to check its end.
type bodyEnd struct {
	unframed bool // it has neither a length nor chunks
	isEvents bool
	isJSON   bool

	events sse.Tail
	json   []byte // the body, if it is unframed JSON; at most maxCheckedJSON + 1 bytes are kept
}

func newBodyEnd(resp *http.Response) *bodyEnd {
	return &bodyEnd{
		unframed: isUnframed(resp),
		isEvents: sse.Is(resp.Header),
		isJSON:   strings.HasPrefix(resp.Header.Get("Content-Type"), "application/json"),
	}
}

// isUnframed reports whether the body of a response ends with its connection.
func isUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

// add adds the next bytes of the body.
func (b *bodyEnd) add(p []byte) {
	_, _ = b.events.Write(p) // never fails
	if b.unframed && b.isJSON {
		b.json = append(b.json, p[:min(len(p), maxCheckedJSON+1-len(b.json))]...)
	}
}

// check returns nil if the body is complete as it is now, and else why it is not. host is the
// address of the application.
func (b *bodyEnd) check(ctx context.Context, host string) error {
	switch {
	case b.isEvents && !b.events.Complete():
		return errInsideEvent
	case !b.unframed:
		return nil
	case b.isEvents && b.events.Empty():
		return errNoEvent
	case b.isJSON && len(b.json) <= maxCheckedJSON && !json.Valid(b.json):
		return errInsideJSON
	}
	if refused, _ := dialer.RefusedTwice(ctx, host); refused { // another failure of the dial does not say that it has ended
		return &applicationDownError{host}
	}
	return nil
}
