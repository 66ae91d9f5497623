// Package operator carries the operators' commands over HTTP: reading and
// publishing sets of objects, the state of the system, drains and the time line.
// The field would call it the admin API; both its ends are here.
//
// Every answer is JSON. An error has a stable code, and the client turns it back
// into the error type that the server had. The hard point is a publish whose
// answer is lost: the client may not know whether it took effect. A publish
// therefore has an ID of the operator's choosing, and sending it again under the
// same ID, through whichever entry, gets the first answer.
package operator

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/catalog"
)

// Status is the state of the whole system as one entry sees it.
type Status struct {
	Entry    string        `json:"entry"`     // who answers
	Revision uint64        `json:"revision"`  // in force at that entry
	ProvenAt time.Time     `json:"proven_at"` // when that revision was last proven to be the newest
	Leader   string        `json:"leader"`    // of the ledger; empty when none is known
	Term     uint64        `json:"term"`
	Voters   []VoterStatus `json:"voters"`
	Entries  []EntryStatus `json:"entries"`
	Models   []ModelStatus `json:"models"` // models and adapters
	VMs      []VMStatus    `json:"vms"`
}

// Problems returns s with only the models that lack copies and the VMs that are
// not ready.
func (s Status) Problems() Status {
	s.Models = slices.DeleteFunc(slices.Clone(s.Models), func(m ModelStatus) bool { return m.Resident() >= m.Wanted })
	s.VMs = slices.DeleteFunc(slices.Clone(s.VMs), func(v VMStatus) bool { return v.State == VMReady })
	return s
}

// VoterStatus is the state of one voter of the ledger.
type VoterStatus struct {
	Name      string `json:"name"`
	Reachable bool   `json:"reachable"`
}

// EntryStatus is the state of one entry.
type EntryStatus struct {
	Name      string `json:"name"`
	Reachable bool   `json:"reachable"`
	Revision  uint64 `json:"revision"`
}

// ModelStatus is the state of one model or adapter.
type ModelStatus struct {
	Kind   catalog.Kind `json:"kind"`
	Name   string       `json:"name"`
	Place  string       `json:"place"`
	Wanted int          `json:"wanted"` // copies kept at all times
	Copies []CopyStatus `json:"copies"`
}

// Resident returns the number of copies that answer requests.
func (m ModelStatus) Resident() int {
	n := 0
	for _, c := range m.Copies {
		if c.Ready && c.State == bamboostep.ReplicaResident {
			n++
		}
	}
	return n
}

// CopyStatus is one copy of a model or adapter.
type CopyStatus struct {
	VM            string                  `json:"vm"`
	FailureDomain string                  `json:"failure_domain"`
	Version       string                  `json:"version"`
	State         bamboostep.ReplicaState `json:"state"`
	Ready         bool                    `json:"ready"` // the VM answers and takes new work
}

// VMState is how an entry sees a VM.
type VMState string

// The states of a VM.
const (
	VMReady       VMState = "ready"
	VMNotReady    VMState = "not_ready"
	VMLeaving     VMState = "leaving"
	VMDrained     VMState = "drained"
	VMUnreachable VMState = "unreachable"
	VMElsewhere   VMState = "elsewhere" // in another region, and not connected to for the time being
)

// VMStatus is the state of one VM.
type VMStatus struct {
	Name          string  `json:"name"`
	Place         string  `json:"place"`
	FailureDomain string  `json:"failure_domain"`
	Region        string  `json:"region,omitempty"`
	State         VMState `json:"state"`
	MemoryMiB     int64   `json:"memory_mib"`
	ReservedMiB   int64   `json:"reserved_mib"`
	HeldMiB       int64   `json:"held_mib"`
	Running       int     `json:"running"`
	Waiting       int     `json:"waiting"`
	Revision      uint64  `json:"revision"`
}

// ConflictError says that somebody else published first. Differs is what the
// refused set would change in the newest one.
type ConflictError struct {
	Based   uint64              `json:"based"`
	Newest  bamboostep.Revision `json:"newest"`
	Differs []catalog.Change    `json:"differs"`
}

// Error implements error.
func (e *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "set is based on revision %d, but %q has published revision %d at %s",
		e.Based, e.Newest.Author, e.Newest.Number, e.Newest.At.UTC().Format(time.RFC3339))
	for _, c := range e.Differs {
		fmt.Fprintf(&b, "\n  %s", c)
	}
	return b.String()
}

// UnreachableError says that no entry gave a final answer. Known is true if the
// command certainly took no effect; otherwise it may have, or may still.
type UnreachableError struct {
	Known  bool
	Causes []error // one for each entry tried
}

// Error implements error.
func (e *UnreachableError) Error() string {
	outcome := "outcome unknown"
	if e.Known {
		outcome = "not done"
	}
	lines := []string{"no entry could carry out the command: " + outcome}
	for _, cause := range e.Causes {
		lines = append(lines, "  "+cause.Error())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the causes.
func (e *UnreachableError) Unwrap() []error { return e.Causes }

// RemoteError is any other refusal by an entry.
type RemoteError struct {
	Status  int    // HTTP status
	Code    string // stable, snake case
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string { return e.Code + ": " + e.Message }
