package dialer

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/bamboostep/bamboostep/internal/timer"
)

const (
	refusalTimeout      = 300 * time.Millisecond // of the dial of Refused
	refusalConfirmDelay = 40 * time.Millisecond  // between the dials of RefusedTwice
)

// Refused reports whether connections to an address are refused, which says that no process
// listens there. It dials once, within refusalTimeout. Any other failure of the dial is
// returned, since it does not tell whether the process has ended.
func Refused(ctx context.Context, address string) (bool, error) {
	d := net.Dialer{Timeout: refusalTimeout}
	nc, err := d.DialContext(ctx, "tcp", address)
	switch {
	case err == nil:
		nc.Close()
		return false, nil
	case errors.Is(err, syscall.ECONNREFUSED):
		return true, nil
	}
	return false, err
}

// RefusedTwice reports whether two dials to an address are refused, shortly after one another. A
// process that has no room for a connection may refuse a single one. A failed dial that is not
// refused is returned as in Refused.
func RefusedTwice(ctx context.Context, address string) (bool, error) {
	refused, err := Refused(ctx, address)
	if !refused {
		return false, err
	}
	timer.Sleep(ctx, refusalConfirmDelay)
	return Refused(ctx, address)
}
