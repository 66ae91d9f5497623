package main

import (
	"context"
	"net/http"

	"github.com/bamboostep/bamboostep/internal/bodyend"
	"github.com/bamboostep/bamboostep/internal/sse"
)

// Whether the body of an application's response is complete where it ends. A length or chunks say
// so, except for events, which must also end with a complete one. Without them see package bodyend.

// maxCheckedJSON is the size of the largest JSON value, in bytes, that is checked for its end.
const maxCheckedJSON = 1 << 20

// bodyEnd follows the body of a response, to check its end.
type bodyEnd struct {
	unframed bool // it has neither a length nor chunks
	isEvents bool
	header   http.Header
	upload   *upload // of the request

	events sse.Tail
	json   []byte // the body, if it is unframed JSON; at most maxCheckedJSON + 1 bytes are kept
}

func newBodyEnd(resp *http.Response, up *upload) *bodyEnd {
	return &bodyEnd{
		unframed: isUnframed(resp),
		isEvents: sse.Is(resp.Header),
		header:   resp.Header,
		upload:   up,
	}
}

// isUnframed reports whether the body of a response ends with its connection.
func isUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

// add adds the next bytes of the body.
func (b *bodyEnd) add(p []byte) {
	_, _ = b.events.Write(p) // never fails
	if b.unframed && bodyend.IsJSON(b.header) {
		b.json = append(b.json, p[:min(len(p), maxCheckedJSON+1-len(b.json))]...)
	}
}

// check returns nil if the body is complete as it is now, and else why it is not. host is the
// address of the application.
func (b *bodyEnd) check(ctx context.Context, host string) error {
	switch {
	case b.isEvents && !b.events.Complete():
		return bodyend.ErrInsideEvent
	case !b.unframed:
		return nil
	case b.isEvents && b.events.Empty():
		return bodyend.ErrNoEvent
	}
	if err := bodyend.CheckUpload(b.upload.wait(), b.header, b.json); err != nil {
		return err
	}
	if len(b.json) <= maxCheckedJSON {
		if err := bodyend.CheckContent(b.header, b.json); err != nil {
			return err
		}
	}
	err, _ := bodyend.CheckServer(ctx, host) // another failure of the dial does not say that the application has ended
	return err
}
