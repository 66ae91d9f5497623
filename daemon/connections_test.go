package daemon

import (
	"net"
	"net/http"
	"testing"
)

// fakeConn is a connection that notes its end.
type fakeConn struct {
	net.Conn // nil
	closed   bool
}

func (c *fakeConn) Close() error {
	c.closed = true
	return nil
}

// Guards against connections without a bound, and against a crowd of idle or silent ones that keeps out callers or cuts off requests.
func TestWhichConnectionGoesBeyondTheLimit(t *testing.T) {
	const limit = 3
	for name, c := range map[string]struct {
		states []http.ConnState // of the connections there are, in the order of their last change
		want   int              // the one that is closed, -1 for none; the new one comes last
	}{
		"within the limit":         {[]http.ConnState{http.StateIdle, http.StateIdle}, -1},
		"the longest idle":         {[]http.ConnState{http.StateActive, http.StateIdle, http.StateIdle}, 1},
		"idle before silent":       {[]http.ConnState{http.StateNew, http.StateActive, http.StateIdle}, 2},
		"the longest silent":       {[]http.ConnState{http.StateActive, http.StateNew, http.StateNew}, 1},
		"all serve: the new one":   {[]http.ConnState{http.StateActive, http.StateActive, http.StateActive}, 3},
		"closed ones do not count": {[]http.ConnState{http.StateActive, http.StateClosed, http.StateActive}, -1},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := newConnTracker(limit)
			var conns []*fakeConn
			for _, state := range c.states {
				nc := &fakeConn{}
				conns = append(conns, nc)
				tracker.setState(nc, http.StateNew)
				tracker.setState(nc, state)
			}
			conns = append(conns, &fakeConn{})
			tracker.setState(conns[len(conns)-1], http.StateNew)
			for i, nc := range conns {
				if nc.closed != (i == c.want) {
					t.Errorf("connection %d: got closed %v, want only %d", i, nc.closed, c.want)
				}
			}
		})
	}
}
