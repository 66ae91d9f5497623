package ledger

import "fmt"

// Checkpoints of a running voter. To encode, write and sync a large snapshot can
// take longer than an election timeout, so the loop only freezes the machine,
// which copies no claim, and goes on; a goroutine writes the snapshot. Once that
// is durable the loop begins the next log file with the entries that the snapshot
// does not cover.

type savedSnapshot struct {
	snapshot snapshot
	err      error
}

// beginCheckpoint starts to write a snapshot when the log file has grown.
func (v *Voter) beginCheckpoint() {
	if v.saving != nil || !v.disk.wantsCheckpoint() {
		return
	}
	index := v.core.handedOut
	term, _ := v.core.log.term(index)
	s := snapshot{Index: index, Term: term, Members: v.core.committedMembers()}
	frozen := v.machine.freeze()
	name := v.disk.nextSnapshotName()
	fs := v.disk.fs
	done := make(chan savedSnapshot, 1)
	v.saving = done
	go func() {
		var err error
		if s.Data, err = frozen.encode(); err == nil {
			err = writeSnapshot(fs, name, s)
		}
		done <- savedSnapshot{s, err}
	}()
}

// finishCheckpoint begins the log file that follows a written snapshot.
func (v *Voter) finishCheckpoint(saved savedSnapshot) error {
	v.saving = nil
	if saved.err != nil {
		return fmt.Errorf("ledger disk: %w", saved.err)
	}
	s := saved.snapshot
	if err := v.disk.rotate(s, v.core.compact(s)); err != nil {
		return fmt.Errorf("ledger disk: %w", err)
	}
	v.record("ledger_checkpoint", fmt.Sprintf("snapshot of %d bytes up to entry %d", len(s.Data), s.Index))
	return nil
}

// awaitSnapshot waits for a snapshot that is being written and leaves it unused;
// the next checkpoint replaces it.
func (v *Voter) awaitSnapshot() {
	if v.saving != nil {
		<-v.saving
		v.saving = nil
	}
}
