package wire

import (
	"net"
	"syscall"
)

// A frame is written by its sender, as far as the kernel takes it at once, and
// what is left goes to the write loop. That saves the wake-up of the write loop's
// goroutine on the path of every request, which costs most when the machine is
// idle. A sender never blocks: the socket is written to once and without waiting.

// rawConn returns the socket of nc, or nil if frames must go through nc itself, as
// under TLS.
func rawConn(nc net.Conn) syscall.RawConn {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// writeNow writes what the kernel takes of frame without waiting, and returns how
// many bytes that were. An error shows in the write loop's next write. mu is held,
// and the write loop does not write.
func (c *Conn) writeNow(frame []byte) int {
	if c.raw == nil {
		return 0
	}
	n := 0
	err := c.raw.Write(func(fd uintptr) bool {
		n, _ = syscall.Write(int(fd), frame)
		return true
	})
	if err != nil || n < 0 {
		return 0
	}
	c.node.Metrics.countSent(int64(n))
	return n
}
