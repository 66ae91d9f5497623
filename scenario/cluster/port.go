package cluster

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// Ports for the processes come from below the range that the kernel gives to
// outgoing connections, so that none is taken between its choice and its use.
const (
	firstPort = 10000
	ports     = 20000
)

var nextPort atomic.Uint32

func init() { nextPort.Store(uint32(os.Getpid()) * 127) }

// freeAddress returns a free port of a loopback address.
func freeAddress(host string) (string, error) {
	var err error
	for range ports {
		port := firstPort + nextPort.Add(1)%ports
		var nl net.Listener
		nl, err = net.Listen("tcp", fmt.Sprintf("%s:%d", host, port))
		if err == nil {
			nl.Close()
			return nl.Addr().String(), nil
		}
	}
	return "", err
}

func freeAddresses(hosts ...string) ([]string, error) {
	var out []string
	for _, host := range hosts {
		address, err := freeAddress(host)
		if err != nil {
			return nil, err
		}
		out = append(out, address)
	}
	return out, nil
}
