package gateway

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/bamboostep/bamboostep/fleet"
	"github.com/bamboostep/bamboostep/memory"
	"github.com/bamboostep/bamboostep/origin"
)

// Responses are buffered until they are complete, and streams until an event is. A faulty
// backend server may send endless data to many requests at once, so in addition to the limit on each they
// draw on the budget for all that is held, together with the bodies of requests.

const (
	maxBufferedResponse = 8 << 20   // bytes of one response
	maxEventBytes       = 256 << 10 // bytes of one event of a stream
	defaultBudget       = 16 << 20  // bytes of all that is held, if Gateway.Memory is not set
)

var errResponseTooLarge = errors.New("response or event exceeds its buffer limit")

// budget returns the budget of the gateway.
func (g *Gateway) budget() *memory.Budget {
	g.memoryOnce.Do(func() {
		if g.Memory == nil {
			g.Memory = memory.NewBudget(defaultBudget)
		}
	})
	return g.Memory
}

// readBuffered reads a complete response, within the buffer limits. What it returns counts until the end of the request.
func (x *exchange) readBuffered(ctx context.Context, run *fleet.Assignment, resp *origin.Response) ([]byte, error) {
	call := x.held.Bytes()
	body, err := x.readResponse(ctx, run, resp)
	if resizeErr := x.held.Resize(time.Now(), call+int64(len(body))); resizeErr != nil && err == nil {
		err = resizeErr
	}
	return body, err
}

func (x *exchange) readResponse(ctx context.Context, run *fleet.Assignment, resp *origin.Response) ([]byte, error) {
	call := x.held.Bytes()
	var b memory.Buffer
	defer b.Free()
	for b.Size() < maxBufferedResponse {
		err := b.ReadOnce(resp)
		if limitErr := x.held.Resize(time.Now(), call+int64(b.Size())); limitErr != nil && err == nil {
			err = limitErr
		}
		switch {
		case err == nil:
			continue
		case err != io.EOF && !isUnframedEnd(err):
			return nil, err
		}
		if err := x.held.Resize(time.Now(), call+2*int64(b.Size())); err != nil { // the copy too
			return nil, err
		}
		body := b.Bytes()
		if err := x.checkBodyEnd(ctx, run, resp, body, err); err != nil {
			return nil, err // without the body, so that it is not held while the failure is handled
		}
		return body, nil
	}
	return nil, errResponseTooLarge
}
