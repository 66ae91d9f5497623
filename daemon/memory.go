package daemon

import (
	"fmt"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/bamboostep/bamboostep/memory"
	"github.com/bamboostep/bamboostep/timeline"
	"github.com/bamboostep/bamboostep/wire"
)

// The memory of a process is divided: heapShare is what the Go runtime may have in all, and heldShare, a part of that, is for what is held for
// callers and servers. The rest of the heap is for the process's own state, connections and garbage. What is left beyond the heap is for
// data that waits in sockets and for the program itself.

const (
	heapShare = 0.6  // of the memory; the runtime collects garbage more often as it comes near
	heldShare = 0.25 // of the memory
	wireShare = 0.12 // of the memory, for connections among the system's own processes, apart from callers so that these cannot cut them off
	minFrames = 3    // of the largest that such a connection carries: a frame is copied once, and a part is left to small ones

	connectionBytes = 96 << 10 // of the memory, for each connection that may be open
	minHeaderBytes  = 64 << 10 // of a caller's head that is read at least
	headerFactor    = 4        // on the published limit; what is between the two is refused by the handler

	// SmallHeaderBytes is the limit on the heads that operators and the platform send.
	SmallHeaderBytes = 8 << 10

	cgroupLimit = "/sys/fs/cgroup/memory.max"
)

// Memory is what a process may use and how it divides it. Zero fields take their defaults.
type Memory struct {
	Bytes       int64 // in all; with 0, no limit is set
	Held        int64 // of it, for what is held for callers and servers; heldShare of Bytes if 0
	Connections int   // of a port at once; 0 for as many as Bytes are enough for
}

// MachineMemory returns the bytes of memory that the machine has, or that the control group of the process may use, or 0 if it cannot find out.
func MachineMemory() int64 {
	var info syscall.Sysinfo_t
	if syscall.Sysinfo(&info) != nil {
		return 0
	}
	machine := int64(info.Totalram) * int64(info.Unit)
	text, err := os.ReadFile(cgroupLimit)
	if err != nil {
		return machine // not in a control group with a limit
	}
	if limit, err := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64); err == nil {
		return min(machine, limit)
	}
	return machine
}

// LimitHeap tells the Go runtime how much memory it may have.
func (m Memory) LimitHeap() {
	if m.Bytes > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(m.Bytes)))
	}
}

// maxConnections returns for how many connections at once the memory is enough, 0 for any number.
func (m Memory) maxConnections() int {
	if m.Connections > 0 {
		return m.Connections
	}
	return int(m.Bytes / connectionBytes)
}

// NewBudget returns the budget for what is held for callers, operators and servers, with its metrics, and an event for each holder that had to go. It
// returns nil, which means the default of who uses it, if there is neither Held nor Bytes.
func (m Memory) NewBudget(registry prometheus.Registerer, recorder *timeline.Recorder) *memory.Budget {
	held := m.Held
	if held == 0 {
		held = int64(heldShare * float64(m.Bytes))
	}
	return newBudget(held, "requests", registry, recorder)
}

// WireBytes returns how much may be held for connections among the system's own processes, 0 for any number of bytes.
func (m Memory) WireBytes() int64 {
	if m.Bytes == 0 {
		return 0
	}
	return max(minFrames*wire.MaxFrameBytes, int64(wireShare*float64(m.Bytes)))
}

// NewWireBudget returns the budget for connections among the system's own processes, like NewBudget.
func (m Memory) NewWireBudget(registry prometheus.Registerer, recorder *timeline.Recorder) *memory.Budget {
	return newBudget(m.WireBytes(), "processes", registry, recorder)
}

func newBudget(bytes int64, use string, registry prometheus.Registerer, recorder *timeline.Recorder) *memory.Budget {
	if bytes == 0 {
		return nil
	}
	b := memory.NewBudget(bytes)
	b.GaveUp = func(g memory.GivenUp) {
		recorder.Record(timeline.Event{Kind: "memory_given_up",
			Detail: fmt.Sprintf("for %s: %d bytes, still for %v, for one that asked for %d; %d of %d bytes were held", use, g.Bytes, g.Still, g.Asking, g.Used, g.Total)})
	}
	b.RegisterMetrics(registry, use)
	return b
}

// LimitHeader bounds the head of a request that s reads, given the published limit in bytes, 0 for none.
func LimitHeader(s *http.Server, published int) {
	s.MaxHeaderBytes = max(minHeaderBytes, headerFactor*published)
}
