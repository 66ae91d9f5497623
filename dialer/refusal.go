package dialer

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// refusalTimeout bounds the dial of Refused.
const refusalTimeout = 300 * time.Millisecond

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
