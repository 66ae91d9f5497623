package operator

import (
	"errors"
	"net/http"
	"time"

	"github.com/bamboostep/bamboostep/memory"
)

// readBody reads the body of a request of at most limit bytes, a JSON document, which count against held, and so does what its decoded values take. If that fails, the connection is closed after the response.
// The error is a *memory.TooLargeError, a *memory.FullError or that of the connection. While the body is taken up, held is kept.
func readBody(w http.ResponseWriter, r *http.Request, held *memory.Holder, limit int64) ([]byte, error) {
	c := http.NewResponseController(w)
	held.Owner = memory.OwnerFunc(func() { _ = c.SetReadDeadline(time.Now()) }) // fails only on a connection that is closed
	data, err := readWithin(r, held, limit)
	if !held.Keep(time.Now(), true) {
		err = &memory.FullError{Bytes: int64(len(data))}
	}
	if err == nil {
		err = reserveDecoded(held, data)
	}
	if err != nil {
		w.Header().Set("Connection", "close")
		_ = c.SetReadDeadline(time.Now()) // fails only on a connection that is closed
	}
	return data, err
}

// reserveDecoded counts against held what a document takes with its decoded values. One that will never fit is too large, whatever its length.
func reserveDecoded(held *memory.Holder, document []byte) error {
	err := held.Resize(time.Now(), memory.DecodedBytes(document))
	var full *memory.FullError
	if errors.As(err, &full) && full.Never() {
		return &memory.TooLargeError{Limit: full.Total, Decoded: true}
	}
	return err
}

func readWithin(r *http.Request, held *memory.Holder, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, &memory.TooLargeError{Limit: limit}
	}
	return memory.ReadAll(r.Body, held, limit, time.Now, nil)
}
