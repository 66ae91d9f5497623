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

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/internal/bodyend"
)

const (
	inlineBodyLimit  = 16 << 10 // bytes; a larger body is written concurrently with reading the response
	maxDiscardedBody = 1 << 20  // bytes read from the body of a response to another request
	maxResponsesRead = 4        // responses read per request until one carries its attempt ID
	maxInformational = 8        // heads read per response, including informational (1xx) ones
)

var (
	errTooManyStrays        = errors.New("too many responses that belong to other requests")
	errMissingAttemptID     = errors.New("response has no attempt ID")
	errStrayUnframed        = errors.New("response to another request is unframed or too large")
	errHeadTooLarge         = errors.New("response head is too large")
	errTooManyInformational = errors.New("too many informational (1xx) responses")
	errNotHTTP              = errors.New("not an HTTP/1.x response")
)

// Framing is how a response shows where its body ends.
type Framing int

const (
	FramedByLength Framing = iota // Content-Length, or a method or status without a body
	FramedByChunks                // the last chunk
	Unframed                      // not at all: the connection ends
)

// String implements fmt.Stringer.
func (f Framing) String() string {
	switch f {
	case FramedByLength:
		return "length"
	case FramedByChunks:
		return "chunks"
	}
	return "neither length nor chunks"
}

// Response is the response to a call. Its head has been read; Read streams the body. Close
// must be called.
type Response struct {
	Status  int
	Header  http.Header
	Mark    bamboostep.AnswerInfo
	Length  int64 // of the body in bytes; -1 if unknown
	Framing Framing

	body           io.ReadCloser
	conn           *conn
	pool           *Pool
	stopAbort      func() bool // cancels the abort on the end of ctx; false if it has begun
	upload         *upload     // of the request's body; nil if it was sent together with the head
	ended          bool        // the body was read to its end
	closeRequested bool        // the backend server closes the connection after this response
}

// Do sends a call to a backend server and waits for the head of the response. If ctx ends
// before the response is closed, the connection is reset, even while the body is being
// read. The error is a *SendError.
func (p *Pool) Do(ctx context.Context, address string, c bamboostep.Call, pass bamboostep.ForwardOptions) (*Response, error) {
	cn, err := p.get(ctx, address, c.ID)
	if err != nil {
		return nil, &SendError{Address: address, Cause: err}
	}
	stop := context.AfterFunc(ctx, cn.abort)
	r, sent, err := p.exchange(cn, c, pass)
	if err != nil {
		stop()
		cn.abort()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &SendError{Address: address, Sent: sent, Cause: err}
	}
	r.stopAbort = stop
	return r, nil
}

// exchange writes the request and reads the head of its response. sent is false if no byte
// of the request was written.
func (p *Pool) exchange(cn *conn, c bamboostep.Call, pass bamboostep.ForwardOptions) (r *Response, sent bool, err error) {
	head := requestHead(c, p.Dialect.ForwardHeader(c, pass))
	r = &Response{conn: cn, pool: p}
	n, err := cn.netConn.Write(head)
	if err != nil {
		return nil, n > 0, err
	}
	if len(c.Body) > inlineBodyLimit {
		r.upload = startUpload(cn.netConn, c.Body)
	}
	return r, true, r.readResponse(c)
}

// requestHead returns the head of a request, followed by its body if that is not larger
// than inlineBodyLimit.
func requestHead(c bamboostep.Call, h http.Header) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", c.Method, c.Target, c.Host)
	if len(c.Body) > 0 || (c.Method != http.MethodGet && c.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(c.Body)) + "\r\n")
	}
	_ = h.Write(&b) // a bytes.Buffer never fails
	b.WriteString("\r\n")
	if len(c.Body) <= inlineBodyLimit {
		b.Write(c.Body)
	}
	return b.Bytes()
}

// readResponse reads response heads until one belongs to c.
func (r *Response) readResponse(c bamboostep.Call) error {
	for range maxResponsesRead {
		resp, err := r.readFinalHead(c)
		if err != nil {
			return err
		}
		mark := r.pool.Dialect.ReadAnswerInfo(resp.StatusCode, resp.Header)
		isError := resp.StatusCode >= http.StatusBadRequest
		switch {
		case mark.CallID == c.ID, mark.CallID == "" && isError && !r.conn.reused:
			r.setHead(c, resp, mark)
			return nil
		case mark.CallID == "" && !isError:
			return errMissingAttemptID
		}
		r.pool.Metrics.countStray()
		if err := r.discardStrayBody(resp); err != nil {
			return err
		}
	}
	return errTooManyStrays
}

// readFinalHead reads the next response head and skips informational (1xx) ones.
func (r *Response) readFinalHead(c bamboostep.Call) (*http.Response, error) {
	for range maxInformational {
		r.conn.headLimit.remaining = maxHeadBytes
		if err := checkStatusLine(r.conn.r); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(r.conn.r, &http.Request{Method: c.Method})
		if err != nil {
			return nil, err
		}
		r.conn.headLimit.remaining = -1
		if err := bodyend.CheckStatus(resp.StatusCode); err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
	return nil, errTooManyInformational
}

// checkStatusLine rejects data that is not an HTTP/1.x response before it is parsed.
func checkStatusLine(r *bufio.Reader) error {
	const want = "HTTP/1."
	start, err := r.Peek(len(want))
	if err != nil {
		return err
	}
	if string(start) != want {
		return errNotHTTP
	}
	return nil
}

// setHead initializes r from the head of its response to c.
func (r *Response) setHead(c bamboostep.Call, resp *http.Response, mark bamboostep.AnswerInfo) {
	if mark.NotRun || resp.StatusCode >= http.StatusInternalServerError {
		r.conn.failedIDs = append(r.conn.failedIDs, c.ID)
	}
	r.Status = resp.StatusCode
	r.Header = resp.Header
	r.Mark = mark
	r.Length = resp.ContentLength
	r.body = resp.Body
	r.Framing = framingOf(resp)
	r.closeRequested = resp.Close
}

func framingOf(resp *http.Response) Framing {
	switch {
	case resp.ContentLength >= 0 || resp.Body == http.NoBody:
		return FramedByLength
	case len(resp.TransferEncoding) > 0:
		return FramedByChunks
	}
	return Unframed
}

// discardStrayBody reads the body of a response to another request, so that the next
// response on the connection can be read.
func (r *Response) discardStrayBody(resp *http.Response) error {
	if framingOf(resp) == Unframed {
		return errStrayUnframed
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscardedBody))
	if err == nil && n == maxDiscardedBody {
		return errStrayUnframed
	}
	return err
}

// UnframedEndError is the end of a body that has neither a length nor chunks: its connection was
// closed in order, as far as the reader can see. The body may be complete, or the backend server may have crashed or given up.
type UnframedEndError struct {
	Address string
	Upload  error // why the request's body was not written whole; nil if it was
}

// Error implements error.
func (e *UnframedEndError) Error() string {
	text := fmt.Sprintf("backend server %s closed the connection of a response with neither length nor chunks", e.Address)
	if e.Upload != nil {
		text += ", while the request was sent: " + e.Upload.Error()
	}
	return text
}

// Unwrap returns e.Upload.
func (e *UnframedEndError) Unwrap() error { return e.Upload }

// Read reads the body. It returns io.EOF only at the end of a body that is known to be complete,
// and an *UnframedEndError at the end of one that may be. There it waits for the upload for at most bodyend.UploadGrace.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if err != io.EOF {
		return n, err
	}
	r.ended = true
	if r.Framing == Unframed {
		return n, &UnframedEndError{r.conn.address, r.upload.wait()}
	}
	return n, err
}

// Abort resets the connection, which ends a Read that is waiting. It may be called concurrently with Read.
func (r *Response) Abort() { r.conn.abort() }

// Close ends the exchange. The connection is kept for reuse if the request was written and
// the response was read completely, and reset if the response was not.
func (r *Response) Close() {
	aborted := !r.stopAbort()
	switch {
	case aborted || !r.ended:
		r.conn.abort()
		return
	case r.Framing == Unframed || r.closeRequested || r.upload.wait() != nil:
		r.conn.netConn.Close()
		return
	}
	if r.Mark.CallID == "" {
		r.conn.netConn.Close() // what follows on it could not be told from this response
		return
	}
	r.pool.put(r.conn, r.Mark.IdleTimeout)
}
