package daemon

import (
	"context"
	"net"
	"net/http"
)

// A caller that speaks HTTP/1.0 gets a response of unknown length without chunks, and takes an
// orderly end of its connection for the end of the response. Until such a response is complete,
// its connection is therefore set to be reset when it is closed, whoever closes it: a handler that
// gives up, a server that shuts down, or the kernel when the process ends.

// orderlyClose and resetOnClose are arguments of net.TCPConn.SetLinger.
const (
	orderlyClose = -1
	resetOnClose = 0
)

// connKey is the context key of a request's connection.
type connKey struct{}

// ResetIncomplete makes s reset the connections of callers without chunked responses unless
// their response is complete. It wraps s.Handler and sets s.ConnContext, and must be called before
// s serves.
func ResetIncomplete(s *http.Server) {
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	handler := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*net.TCPConn)
		if !ok || r.ProtoAtLeast(1, 1) {
			handler.ServeHTTP(w, r)
			return
		}
		_ = c.SetLinger(resetOnClose) // fails only on a closed connection
		handler.ServeHTTP(w, r)
		_ = c.SetLinger(orderlyClose) // not reached if the handler panics to end its response early
	})
}
