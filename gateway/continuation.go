package gateway

import (
	"errors"
	"mime"
	"net/http"
	"strconv"
	"strings"

	"github.com/bamboostep/bamboostep/origin"
)

// What may go on with a stream that the caller has a part of, after its backend server broke off or its run was moved: a response with the
// status and the media type that the stream began with, whose events follow on the last one that the caller has (sse.Order). Anything
// else is another answer, whatever its status; its text would land in the middle of the stream, or its end would make the
// stream look complete.

var errEventsOutOfOrder = errors.New("its events do not follow on")

// checkContinuation returns nil if a response may go on with the stream that the caller has a part of, as far as its head tells.
func (x *exchange) checkContinuation(resp *origin.Response) error {
	if !x.stream.hasStarted() {
		return nil
	}
	if resp.Status != x.stream.status {
		return errors.New("status " + strconv.Itoa(resp.Status) + " when resuming a stream of status " + strconv.Itoa(x.stream.status))
	}
	if t := mediaType(resp.Header); x.stream.mediaType != "" && t != x.stream.mediaType {
		return errors.New("content type " + strconv.Quote(t) + " when resuming a stream of " + strconv.Quote(x.stream.mediaType))
	}
	return nil
}

// mediaType returns the media type of a response without its parameters, in lower case, or "" if it names none.
func mediaType(h http.Header) string {
	value := h.Get("Content-Type")
	if t, _, err := mime.ParseMediaType(value); err == nil {
		return t
	}
	t, _, _ := strings.Cut(value, ";")
	return strings.ToLower(strings.TrimSpace(t))
}
