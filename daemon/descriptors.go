package daemon

import (
	"syscall"
)

// The descriptors of a process are divided among its ports and its own connections and files, so that whoever takes all of one port leaves the others and
// what the process opens itself. Each request of a caller has at most one connection to a backend server at a time, so that CallersPart is needed twice.
//
//	entry    callers 0.3, their backend servers 0.3, idle connections to these 0.1; entry's own interface: operators 0.05, other processes 0.15; else readiness
//	         and metrics 0.02 each; the rest for connections to voters, holders and agents, and for files
//	voter    other processes 0.4, operators 0.1, metrics 0.02; the rest for connections to holders and voters, and for files
//	holder, agent    other processes 0.5, metrics 0.02; the rest for the backend server and the voters
const (
	CallersPart       = 0.3
	IdleServersPart   = 0.1
	EntryPeersPart    = 0.15
	EntryOperatorPart = 0.05
	VoterPeersPart    = 0.4
	VoterOperatorPart = 0.1
	HolderPeersPart   = 0.5
	AdminPart         = 0.02

	minConnections   = 4  // of a port
	ownDescriptors   = 16 // that the program opens besides connections and data files
	adminConnections = 64 // of a port of metrics and health checks
)

// Descriptors is how many connections and data files a process may have open, 0 for any number.
type Descriptors int

// ProcessDescriptors returns what the system lets this process have open, or settings if that is less and not 0.
func ProcessDescriptors(settings int) Descriptors {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil || limit.Cur > maxDescriptors {
		return Descriptors(settings)
	}
	own := max(minConnections, int(limit.Cur)-ownDescriptors)
	if settings > 0 {
		own = min(own, settings)
	}
	return Descriptors(own)
}

// maxDescriptors is more than a process needs; a limit beyond it is none.
const maxDescriptors = 1 << 24

// Part returns a part of the descriptors, 0 for any number.
func (d Descriptors) Part(part float64) int {
	if d == 0 {
		return 0
	}
	return max(minConnections, int(part*float64(d)))
}

// Resources is what a process may use.
type Resources struct {
	Memory      Memory
	Descriptors Descriptors
}

// Connections returns how many connections of a port may be open at once, 0 for any number: as many as the memory is enough for, and no more than a part of the
// descriptors.
func (r Resources) Connections(part float64) int {
	return lower(r.Memory.maxConnections(), r.Descriptors.Part(part))
}

// AdminConnections returns how many connections of a port of metrics and health checks may be open at once.
func (r Resources) AdminConnections() int {
	return lower(adminConnections, r.Descriptors.Part(AdminPart))
}

// lower returns the lower of two limits, of which 0 is none.
func lower(a, b int) int {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}
