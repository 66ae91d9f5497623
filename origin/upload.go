package origin

import (
	"io"
	"time"

	"github.com/bamboostep/bamboostep/internal/bodyend"
)

// A large body is written by a goroutine of its own while the response is read, because a backend server may respond
// before it has read all of it. A connection that breaks tells its error once, to whichever of the two meets it first;
// the other one then sees an orderly end. So the reader asks the writer before it takes an end for orderly, and a
// body that is not written whole by then counts as broken too: a server that closes leaves it unread.

// upload is the writing of a request's body.
type upload struct {
	written chan struct{} // closed when the write has ended
	err     error         // of the write; set before written is closed
}

// startUpload writes body in the background.
func startUpload(w io.Writer, body []byte) *upload {
	u := &upload{written: make(chan struct{})}
	go func() {
		defer close(u.written)
		_, u.err = w.Write(body)
	}()
	return u
}

// wait waits for the end of the write for at most bodyend.UploadGrace, and returns nil if the body was written whole, else
// why it was not. u may be nil, for a body that was sent together with the head.
func (u *upload) wait() error {
	if u == nil {
		return nil
	}
	select {
	case <-u.written:
		return u.err
	default:
	}
	t := time.NewTimer(bodyend.UploadGrace)
	defer t.Stop()
	select {
	case <-u.written:
		return u.err
	case <-t.C:
		return bodyend.ErrUploadUnfinished
	}
}
