// Package backend is the protocol between an entry and an agent, the two ends of
// it, and the agent's table of attempts; the field's term is a remote procedure
// call with streamed results.
//
// An entry's Client dials the agent; an agent dials nobody but its own engine or
// application. An Offer asks the agent to run one attempt. The agent's table is
// the only judge of whether an attempt starts, and it starts each attempt ID at
// most once: an offer that is late, repeated or cancelled before finds the
// tombstone of its ID. "Not run" is said only when nothing was sent or the table
// has promised that the attempt never started and never will.
//
// A started attempt's output is kept until the entry has acknowledged it, so that
// a stream survives a connection that fell silent: the entry opens another, names
// the offset that it has, and the agent sends what follows.
//
// The table and the stream are pure state machines. Client and Server are the
// shells around them that hold the sockets, clocks and goroutines.
package backend
