package gateway

import (
	"context"
	"errors"
	"io"
	"sync"
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
	var b chunkedBuffer
	defer b.free()
	for b.size < maxBufferedResponse {
		err := b.readFrom(resp)
		if limitErr := usage.resize(b.size); limitErr != nil && err == nil {
			err = limitErr
		}
		switch {
		case err == nil:
			continue
		case err != io.EOF && !isUnframedEnd(err):
			return nil, err
		}
		body := b.bytes()
		if err := x.checkBodyEnd(ctx, run, resp, body, err); err != nil {
			return nil, err // without the body, so that it is not held while the failure is handled
		}
		return body, nil
	}
	return nil, errResponseTooLarge
}

// chunkedBuffer grows without copying what it holds, so that many large buffers leave no garbage as they grow.
type chunkedBuffer struct {
	chunks []*[chunkBytes]byte
	size   int // bytes that it holds
}

const chunkBytes = 16 << 10

var chunkPool = sync.Pool{New: func() any { return new([chunkBytes]byte) }}

// readFrom appends the result of one read.
func (b *chunkedBuffer) readFrom(r io.Reader) error {
	used := b.size % chunkBytes
	if used == 0 && b.size == len(b.chunks)*chunkBytes {
		b.chunks = append(b.chunks, chunkPool.Get().(*[chunkBytes]byte))
	}
	n, err := r.Read(b.chunks[len(b.chunks)-1][used:])
	b.size += n
	return err
}

// bytes returns a copy of what the buffer holds.
func (b *chunkedBuffer) bytes() []byte {
	all := make([]byte, 0, b.size)
	for _, c := range b.chunks {
		all = append(all, c[:min(chunkBytes, b.size-len(all))]...)
	}
	return all
}

// free releases the chunks. The buffer must not be used after it.
func (b *chunkedBuffer) free() {
	for _, c := range b.chunks {
		chunkPool.Put(c)
	}
	b.chunks = nil
}
