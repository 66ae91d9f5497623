package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/bamboostep/bamboostep/dialer"
	"github.com/bamboostep/bamboostep/fleet"
	"github.com/bamboostep/bamboostep/internal/sse"
	"github.com/bamboostep/bamboostep/origin"
)

// Whether a response that has ended is complete. A length or chunks say so. Without them the
// response ends with its connection, which a backend server that crashes closes in the same way.
// Then the content must be complete as far as its type shows that, and the backend server must
// still listen.

var (
	errInsideEvent    = errors.New("it ends inside an event")
	errNoEvent        = errors.New("it ends with its connection, without an event")
	errInsideJSON     = errors.New("it ends with its connection, inside its JSON value")
	errStoppedForMove = errors.New("it ends with its connection, after its engine was told to stop it")
)

// serverDownError says that a backend server refuses connections after the connection that ended
// a response.
type serverDownError struct{ Address string }

func (e *serverDownError) Error() string {
	return fmt.Sprintf("it ends with its connection, and backend server %s refuses others", e.Address)
}

// streamEnd is where a stream of one backend server ended.
type streamEnd struct {
	cause    error  // of the read that ended it
	rest     []byte // what came after its last complete event
	anyEvent bool   // it had a complete event
}

// checkStreamEnd returns nil if a stream is complete, and else why it is not.
func (x *exchange) checkStreamEnd(ctx context.Context, run *fleet.Assignment, resp *origin.Response, end streamEnd) error {
	unframed := isUnframedEnd(end.cause)
	switch {
	case end.cause != io.EOF && !unframed:
		return end.cause
	case len(end.rest) > 0 && (unframed || sse.Is(resp.Header)):
		return errInsideEvent
	case unframed && !end.anyEvent:
		return errNoEvent
	}
	return x.checkEnd(ctx, run, end.cause)
}

// checkBodyEnd returns nil if a response that is not a stream is complete with body, which the
// error end has ended.
func (x *exchange) checkBodyEnd(ctx context.Context, run *fleet.Assignment, resp *origin.Response, body []byte, end error) error {
	isJSON := strings.HasPrefix(resp.Header.Get("Content-Type"), "application/json")
	if isUnframedEnd(end) && isJSON && !json.Valid(body) {
		return errInsideJSON
	}
	return x.checkEnd(ctx, run, end)
}

// checkEnd returns nil if the error end of a response says that it is complete, or if it does not
// and the backend server of run still listens.
func (x *exchange) checkEnd(ctx context.Context, run *fleet.Assignment, end error) error {
	switch {
	case end == io.EOF:
		return nil
	case !isUnframedEnd(end):
		return end
	case run.Leaving() && run.DepartsAt().IsZero():
		return nil // it ends after its last response, and then refuses connections too
	}
	refused, err := dialer.RefusedTwice(ctx, run.Address)
	if err != nil {
		x.recordEvent("crash_not_checked", run.Address, err.Error())
	}
	if refused {
		return &serverDownError{run.Address}
	}
	return nil
}

func isUnframedEnd(err error) bool {
	var unframed *origin.UnframedEndError
	return errors.As(err, &unframed)
}
