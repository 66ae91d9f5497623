package gateway

import (
	"bytes"
	"errors"
	"io"
	"sync/atomic"

	"github.com/bamboostep/bamboostep/origin"
)

// Answers are held back until they are whole, and streams until an event is. A backend
// server in trouble may send bytes without end, to many requests at once, so what all
// requests hold together is bounded besides what each may hold.

const (
	maxHeldAnswer = 8 << 20   // bytes of one answer
	maxEventBytes = 256 << 10 // of one event of a stream
	maxHeldBytes  = 16 << 20  // of all answers and events, each beyond its free part
	freeHeldBytes = 16 << 10  // of each answer and event, which are held in any case
)

var (
	errLongAnswer = errors.New("answer is too long to be held")
	errHeldBytes  = errors.New("too much is held of all answers")
)

// holding counts what one request holds back.
type holding struct {
	total *atomic.Int64 // of all requests
	own   int64         // of these, counted in total
}

// grow notes that the request holds so many bytes.
func (h *holding) grow(bytes int) error {
	counted := max(0, int64(bytes)-freeHeldBytes)
	total := h.total.Add(counted - h.own)
	h.own = counted
	if counted > 0 && total > maxHeldBytes {
		return errHeldBytes
	}
	return nil
}

// release notes that the request holds nothing any more.
func (h *holding) release() {
	h.total.Add(-h.own)
	h.own = 0
}

// readWhole reads an answer to its end.
func (x *exchange) readWhole(a *origin.Answer) ([]byte, error) {
	h := holding{total: &x.g.held}
	defer h.release()
	var b bytes.Buffer
	for b.Len() < maxHeldAnswer {
		_, err := io.CopyN(&b, a, freeHeldBytes)
		if held := h.grow(b.Len()); held != nil && err == nil {
			err = held
		}
		switch {
		case err == io.EOF:
			return b.Bytes(), nil
		case err != nil:
			return nil, err
		}
	}
	return nil, errLongAnswer
}
