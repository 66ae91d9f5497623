package origin

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/bamboostep/bamboostep"
)

const (
	largeBody      = 16 << 10 // bytes; a larger body is written while the answer is awaited
	strayBodyLimit = 1 << 20  // bytes read of an answer that belongs to another request
	maxStrays      = 4        // answers to other requests that are passed over
	maxInterim     = 8        // heads that announce an answer
	bodyGrace      = 50 * time.Millisecond
)

var (
	errStrays    = errors.New("too many answers that belong to other requests")
	errNoID      = errors.New("answer names no request")
	errUnframed  = errors.New("answer to another request has no end")
	errLongHead  = errors.New("head of the answer is too long")
	errInterim   = errors.New("too many heads that only announce an answer")
	errMalformed = errors.New("bytes that are no answer")
)

// Answer is the head of an answer, and its body as it comes in. Close must be called.
type Answer struct {
	Status int
	Header http.Header
	Mark   bamboostep.AnswerMark
	Length int64 // of the body; -1 if not known

	body    io.ReadCloser
	conn    *conn
	pool    *Pool
	stop    func() bool
	written <-chan error // nil if the request is written whole
	whole   bool
	framed  bool
	close   bool
}

// Do sends a call to a backend server and waits for the head of the answer. When
// ctx ends the connection is closed, also while the body is read. The error is a
// *SendError.
func (p *Pool) Do(ctx context.Context, address string, c bamboostep.Call, pass bamboostep.Passing) (*Answer, error) {
	cn, err := p.get(ctx, address)
	if err != nil {
		return nil, &SendError{Address: address, Cause: err}
	}
	stop := context.AfterFunc(ctx, cn.abort)
	a, sent, err := p.exchange(cn, c, pass)
	if err != nil {
		stop()
		cn.abort()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &SendError{Address: address, Sent: sent, Cause: err}
	}
	a.stop = stop
	return a, nil
}

// exchange writes the request and reads the head of its answer.
func (p *Pool) exchange(cn *conn, c bamboostep.Call, pass bamboostep.Passing) (a *Answer, sent bool, err error) {
	head := requestHead(c, p.Dialect.PassedHeader(c, pass))
	a = &Answer{conn: cn, pool: p}
	n, err := cn.nc.Write(head)
	if err != nil {
		return nil, n > 0, err
	}
	if len(c.Body) > largeBody {
		a.written = writeBeside(cn.nc, c.Body)
	}
	return a, true, a.readHead(c)
}

// writeBeside writes a body while the answer is awaited, because a backend server
// may answer before it has read all of it.
func writeBeside(w io.Writer, body []byte) <-chan error {
	written := make(chan error, 1)
	go func() {
		_, err := w.Write(body)
		written <- err
	}()
	return written
}

// requestHead returns the head of a request, with its body if that is short.
func requestHead(c bamboostep.Call, h http.Header) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", c.Method, c.Target, c.Host)
	if len(c.Body) > 0 || (c.Method != http.MethodGet && c.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(c.Body)) + "\r\n")
	}
	_ = h.Write(&b) // a bytes.Buffer takes all
	b.WriteString("\r\n")
	if len(c.Body) <= largeBody {
		b.Write(c.Body)
	}
	return b.Bytes()
}

// readHead reads heads of answers until one belongs to c.
func (a *Answer) readHead(c bamboostep.Call) error {
	for range maxStrays {
		resp, err := a.readOne(c)
		if err != nil {
			return err
		}
		mark := a.pool.Dialect.ReadMark(resp.StatusCode, resp.Header)
		if mark.CallID == c.ID || (mark.CallID == "" && resp.StatusCode >= http.StatusBadRequest) {
			a.take(resp, mark)
			return nil
		}
		if mark.CallID == "" {
			return errNoID
		}
		a.pool.Metrics.stray()
		if err := a.dropBody(resp); err != nil {
			return err
		}
	}
	return errStrays
}

func (a *Answer) readOne(c bamboostep.Call) (*http.Response, error) {
	for range maxInterim {
		a.conn.bound.left = maxHeadBytes
		if err := checkStart(a.conn.r); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(a.conn.r, &http.Request{Method: c.Method})
		if err != nil {
			return nil, err
		}
		a.conn.bound.left = -1
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
	return nil, errInterim
}

// checkStart refuses what is no answer before it is parsed.
func checkStart(r *bufio.Reader) error {
	const want = "HTTP/1."
	start, err := r.Peek(len(want))
	if err != nil {
		return err
	}
	if string(start) != want {
		return errMalformed
	}
	return nil
}

func (a *Answer) take(resp *http.Response, mark bamboostep.AnswerMark) {
	a.Status = resp.StatusCode
	a.Header = resp.Header
	a.Mark = mark
	a.Length = resp.ContentLength
	a.body = resp.Body
	a.framed = resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	a.close = resp.Close
}

func (a *Answer) dropBody(resp *http.Response) error {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return errUnframed
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, strayBodyLimit))
	if err == nil && n == strayBodyLimit {
		return errUnframed
	}
	return err
}

// Read reads the body. It returns io.EOF only when the body is whole.
func (a *Answer) Read(b []byte) (int, error) {
	n, err := a.body.Read(b)
	if err == io.EOF {
		a.whole = true
	}
	return n, err
}

// Close ends the exchange. The connection is kept if all was read and written.
func (a *Answer) Close() {
	ended := !a.stop()
	switch {
	case ended || !a.whole:
		a.conn.abort()
		return
	case !a.framed || a.close || !a.bodyWritten():
		a.conn.nc.Close()
		return
	}
	a.pool.put(a.conn, a.Mark.KeepIdle)
}

// bodyWritten reports whether the request went out whole. What is left of a body is
// owed to the backend server before anything else.
func (a *Answer) bodyWritten() bool {
	if a.written == nil {
		return true
	}
	t := time.NewTimer(bodyGrace)
	defer t.Stop()
	select {
	case err := <-a.written:
		return err == nil
	case <-t.C:
		return false
	}
}
