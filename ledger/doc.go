// Package ledger is the system's replicated, durable state: a Raft consensus log
// over a few voters with disks, and the state machine that it drives.
//
// The state is what must survive: the published revisions of declared objects,
// the claims on names of non-idempotent requests, and the drained VMs. Every
// change of it is a command in the log. A command is answered only after a
// quorum of voters has it on disk.
//
// The parts, from the inside out:
//
//   - core is the consensus algorithm, a pure state machine: messages and the
//     time go in, messages and records to save come out.
//   - machine applies committed commands, and State is its immutable public view.
//   - disk keeps the log and the snapshot in files.
//   - Voter is the shell that runs the three over package wire.
//   - Client finds the leader from any entry, voter or not, and watches the state.
//
// A voter is identified by its name and by a random number kept on its disk, so
// one that comes back under its old name with an empty disk is a stranger: it
// has forgotten its votes, and is refused until it is removed and added anew.
package ledger
