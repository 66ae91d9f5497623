package main

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/bamboostep/bamboostep/internal/bodyend"
)

// http.Transport writes a request in one goroutine and reads its response in another. A connection that breaks tells
// its error once, to whichever of the two meets it first; the reader may then see an orderly end. So each connection
// counts what was written of its one request, and the end of a response without a length is asked against that.

// uploadKey is the context key of a request's *upload.
type uploadKey struct{}

// upload is what was written of a request.
type upload struct {
	body int // bytes of the body

	mu      sync.Mutex
	headEnd int   // bytes of the empty line behind the head that were written
	written int   // bytes behind the head
	err     error // of the first write that failed
}

// headEndMark is the end of a request's head.
const headEndMark = "\r\n\r\n"

// wrote notes the result of a write.
func (u *upload) wrote(p []byte, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for len(p) > 0 && u.headEnd < len(headEndMark) {
		switch {
		case p[0] == headEndMark[u.headEnd]:
			u.headEnd++
		case p[0] == headEndMark[0]:
			u.headEnd = 1
		default:
			u.headEnd = 0
		}
		p = p[1:]
	}
	u.written += len(p)
	if u.err == nil {
		u.err = err
	}
}

// result returns nil if the request was written whole, and else why it is not.
func (u *upload) result() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.err == nil && u.written < u.body {
		return bodyend.ErrUploadUnfinished
	}
	return u.err
}

// wait is result after at most bodyend.UploadGrace.
func (u *upload) wait() error {
	err := u.result()
	for until := time.Now().Add(bodyend.UploadGrace); errors.Is(err, bodyend.ErrUploadUnfinished) && time.Now().Before(until); err = u.result() {
		time.Sleep(bodyend.UploadGrace / 50)
	}
	return err
}

// uploadConn is a connection that carries one request.
type uploadConn struct {
	net.Conn
	upload *upload
}

// Write implements net.Conn.
func (c *uploadConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.upload.wrote(p[:n], err)
	return n, err
}

// dialForUpload dials for the request whose upload ctx has.
func dialForUpload(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	nc, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if u, ok := ctx.Value(uploadKey{}).(*upload); ok {
		nc = &uploadConn{nc, u}
	}
	return nc, nil
}
