package daemon

import (
	"io"
	"net/http"
	"time"

	"github.com/bamboostep/bamboostep/memory"
)

// The heads of requests. A head of legal size may hold thousands of short fields, each of which takes some 40 times its text. A request keeps its head until its handler has returned and
// the rest of its body is read, so that clients who send such heads and stop short of their bodies would fill the memory without any body.

const (
	discardTimeout = 2 * time.Second // for the rest of a body whose request has been answered
	maxDiscarded   = 256 << 10       // bytes of it, as many as http.Server reads
)

// HeadGuard counts the heads of requests against Memory, for as long as the requests last, and refuses those that do not fit. It also bounds for how long the rest of a body is awaited that
// Handler has not read. Set the fields before the first request.
type HeadGuard struct {
	Memory  *memory.Budget // nil for any number of bytes
	Handler http.Handler
	Refuse  func(w http.ResponseWriter, r *http.Request, err error) // responds to a request that does not fit, with 503; plain text if nil
}

// ServeHTTP implements http.Handler.
func (g *HeadGuard) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	held := g.Memory.Open()
	defer held.Close()
	c := http.NewResponseController(w)
	held.Owner = memory.OwnerFunc(func() { _ = c.SetReadDeadline(time.Now()) }) // fails only on a connection that is closed
	if err := held.Resize(time.Now(), memory.HeadBytes(r.Header)); err != nil {
		g.refuse(w, r, err)
		return
	}
	if held.MayGo() {
		held.Keep(time.Now(), r.Body == http.NoBody)
		r.Body = &countedBody{r.Body, &held}
	}
	g.Handler.ServeHTTP(w, r)
	discardBody(w, r)
	dropHead(r)
}

func (g *HeadGuard) refuse(w http.ResponseWriter, r *http.Request, err error) {
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(time.Now()) // fails only on a connection that is closed
	defer dropHead(r)
	if g.Refuse != nil {
		g.Refuse(w, r, err)
		return
	}
	w.Header().Set("Retry-After", "1")
	http.Error(w, "memory_full", http.StatusServiceUnavailable)
}

// dropHead lets go of the head of a request that has been answered, since http.Server keeps the request while it waits for the client to close.
func dropHead(r *http.Request) { r.Header = make(http.Header) }

// countedBody is the body of a request whose head is counted. The head goes for others while its client lets the body wait, and stays once the body has ended.
type countedBody struct {
	io.ReadCloser
	held *memory.Holder
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.held.Keep(time.Now(), err != nil)
	return n, err
}

// discardBody reads what the handler of a request has left of its body, so that the connection can be used again, but does not wait for it for long. A body whose connection is going
// to be closed, or that its client has not been asked for, is left alone.
func discardBody(w http.ResponseWriter, r *http.Request) {
	if r.Body == http.NoBody || w.Header().Get("Connection") == "close" || r.Header.Get("Expect") != "" {
		return
	}
	if http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardTimeout)) != nil {
		return // the connection is closed
	}
	_, _ = io.CopyN(io.Discard, r.Body, maxDiscarded) // on an error, http.Server closes the connection
}
