package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"sync/atomic"

	"github.com/bamboostep/bamboostep/fleet"
	"github.com/bamboostep/bamboostep/origin"
)

// Responses are buffered until they are complete, and streams until an event is. A faulty
// backend server may send endless data to many requests at once, so there is a limit on
// the total of all buffers in addition to the limit on each.

const (
	maxBufferedResponse  = 8 << 20   // bytes of one response
	maxEventBytes        = 256 << 10 // bytes of one event of a stream
	maxBufferedTotal     = 16 << 20  // bytes of all responses and events, each without its uncounted part
	uncountedBufferBytes = 16 << 10  // bytes of each response and event that do not count towards the total
)

var (
	errResponseTooLarge = errors.New("response or event exceeds its buffer limit")
	errBufferLimit      = errors.New("total of buffered responses exceeds its limit")
)

// bufferUsage is the share of one request in the bytes buffered by all requests.
type bufferUsage struct {
	total   *atomic.Int64 // bytes counted for all requests
	counted int64         // bytes counted for this request, included in total
}

// resize sets the number of bytes that the request buffers. It fails if that exceeds the
// total limit; the bytes are counted even then.
func (u *bufferUsage) resize(bytes int) error {
	counted := max(0, int64(bytes)-uncountedBufferBytes)
	total := u.total.Add(counted - u.counted)
	u.counted = counted
	if counted > 0 && total > maxBufferedTotal {
		return errBufferLimit
	}
	return nil
}

// release sets the number of buffered bytes to 0.
func (u *bufferUsage) release() {
	u.total.Add(-u.counted)
	u.counted = 0
}

// readBuffered reads a complete response, within the buffer limits.
func (x *exchange) readBuffered(ctx context.Context, run *fleet.Assignment, resp *origin.Response) ([]byte, error) {
	usage := bufferUsage{total: &x.g.bufferedBytes}
	defer usage.release()
	var b bytes.Buffer
	for b.Len() < maxBufferedResponse {
		_, err := io.CopyN(&b, resp, uncountedBufferBytes)
		if limitErr := usage.resize(b.Len()); limitErr != nil && err == nil {
			err = limitErr
		}
		if err == nil {
			continue
		}
		if err := x.checkBodyEnd(ctx, run, resp, b.Bytes(), err); err != nil {
			return nil, err // without the body, so that it is not held while the failure is handled
		}
		return b.Bytes(), nil
	}
	return nil, errResponseTooLarge
}
