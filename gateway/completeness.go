package gateway

import (
	"context"
	"errors"
	"io"

	"github.com/bamboostep/bamboostep/fleet"
	"github.com/bamboostep/bamboostep/internal/bodyend"
	"github.com/bamboostep/bamboostep/internal/sse"
	"github.com/bamboostep/bamboostep/origin"
)

// Whether a response that has ended is complete. A length or chunks say so, except for a stream,
// which must also end with a complete event. Without them see package bodyend.

var errStoppedForMove = errors.New("it ends with its connection, after its engine was told to stop it")

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
		return bodyend.ErrInsideEvent
	case unframed && !end.anyEvent:
		return bodyend.ErrNoEvent
	}
	if err := bodyend.CheckUpload(uploadError(end.cause), resp.Header, nil); err != nil {
		return err
	}
	return x.checkEnd(ctx, run, end.cause)
}

// checkBodyEnd returns nil if a response that is not a stream is complete with body, which the
// error end has ended.
func (x *exchange) checkBodyEnd(ctx context.Context, run *fleet.Assignment, resp *origin.Response, body []byte, end error) error {
	if isUnframedEnd(end) {
		if err := bodyend.CheckContent(resp.Header, body); err != nil {
			return err
		}
		if err := bodyend.CheckUpload(uploadError(end), resp.Header, body); err != nil {
			return err
		}
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
	err, dialErr := bodyend.CheckServer(ctx, run.Address)
	if dialErr != nil {
		x.recordEvent("crash_not_checked", run.Address, dialErr.Error())
	}
	return err
}

func isUnframedEnd(err error) bool {
	var unframed *origin.UnframedEndError
	return errors.As(err, &unframed)
}

// uploadError returns why the request was not sent whole before the error that ended its response, or nil if it was or that
// does not matter.
func uploadError(end error) error {
	var unframed *origin.UnframedEndError
	if errors.As(end, &unframed) {
		return unframed.Upload
	}
	return nil
}
