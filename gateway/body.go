package gateway

import (
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/bamboostep/bamboostep/memory"
	"github.com/bamboostep/bamboostep/quarantine"
)

// Bodies are read whole before they are passed on, because they may have to be sent more than once. They count against the budget as they arrive,
// whatever their length is said to be. One that stops moving is given up after the time for which the published limits let a
// connection be idle. Nothing has run by then, so each refusal is the promise that nothing will.

const (
	defaultBodyStall = 15 * time.Second // if the published limits have no time for idle connections
	stallRenewal     = 4                // the time left is renewed after this part of it
)

// errBodyStalled says that a body has stopped moving.
var errBodyStalled = errors.New("the body has stopped")

// readBody reads the whole body. If that fails, readBody writes the response and returns false.
func (x *exchange) readBody() bool {
	if x.r.ContentLength == 0 {
		return x.setBody(nil)
	}
	limit := x.table.Limits.MaxBodyBytes
	if limit > 0 && x.r.ContentLength > limit {
		return x.failBody(&memory.TooLargeError{Limit: limit})
	}
	stop := x.watchBody()
	data, err := x.receiveBody(limit)
	stop()
	if err != nil {
		return x.failBody(err)
	}
	return x.setBody(data)
}

func (x *exchange) setBody(data []byte) bool {
	x.call = x.call.WithBody(data)
	x.held.Keep(time.Now(), true)
	x.content = quarantine.Content{Fingerprint: x.call.Fingerprint(), Parts: x.call.SharedParts()}
	return true
}

// receiveBody reads the body, and lets each pause in it last for bodyStall.
func (x *exchange) receiveBody(limit int64) ([]byte, error) {
	_ = x.Moved(x.arrived) // its errors come again with the first read
	data, err := memory.ReadAll(x.r.Body, &x.held, limit, time.Now, x)
	if !x.held.Keep(time.Now(), true) {
		return nil, &memory.FullError{Bytes: int64(len(data)), Total: x.g.budget().Total}
	}
	if err == nil {
		return data, nil // http.Server ends the deadline when it goes on to read
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && !x.g.pastBodyCutoff() {
		err = errBodyStalled
	}
	return nil, err
}

// Moved implements memory.Progress. It lets the next reads of the body last for bodyStall from now, and fails if the holder had to go or the bodies of
// requests are no longer read, since the deadline that ended their reads may just have been replaced.
func (x *exchange) Moved(now time.Time) error {
	if now.Before(x.renewBodyAt) {
		return nil
	}
	stall := x.bodyStall()
	x.renewBodyAt = now.Add(stall / stallRenewal)
	_ = http.NewResponseController(x.w).SetReadDeadline(now.Add(stall + stall/stallRenewal)) // fails only on a connection that is closed
	if x.g.pastBodyCutoff() {
		return os.ErrDeadlineExceeded
	}
	if !x.held.Keep(now, false) {
		return &memory.FullError{Total: x.g.budget().Total}
	}
	return nil
}

// Release implements memory.Owner: others need the memory. It ends the read of the body, or the write of the response.
func (x *exchange) Release() {
	c := http.NewResponseController(x.w)
	if x.responding.Load() {
		_ = c.SetWriteDeadline(time.Now()) // fails only on a connection that is closed
		return
	}
	_ = c.SetReadDeadline(time.Now()) // the same
}

// bodyStall returns how long a body may pause.
func (x *exchange) bodyStall() time.Duration {
	if idle := x.table.Limits.IdleTimeout; idle > 0 {
		return idle
	}
	return defaultBodyStall
}

// failBody answers a request whose body was not read to its end, without reading more of it, and closes its connection. It returns false.
func (x *exchange) failBody(err error) bool {
	x.w.Header().Set("Connection", "close")
	_ = http.NewResponseController(x.w).SetReadDeadline(time.Now()) // fails only on a connection that is closed
	var tooLarge *memory.TooLargeError
	var full *memory.FullError
	switch {
	case errors.As(err, &tooLarge):
		return x.fail(http.StatusRequestEntityTooLarge, "body_too_large", err.Error())
	case errors.As(err, &full):
		return x.refuseWithDetail("memory_full", err.Error(), retryAfterBusy)
	case x.g.pastBodyCutoff():
		return x.refuse(reasonStopping, 0)
	case errors.Is(err, errBodyStalled):
		return x.fail(http.StatusRequestTimeout, "body_stalled", "after "+formatMilliseconds(time.Since(x.arrived)))
	}
	return x.fail(http.StatusBadRequest, "body_unreadable", err.Error())
}
