package ledger

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/vmihailenco/msgpack/v5"
)

// The disk keeps a voter's log and snapshot in one folder, in generations:
// log-N holds all records since generation N began, snapshot-N the snapshot that
// they follow. A checkpoint begins the next generation: it writes snapshot-N+1,
// then log-N+1 with the entries that are still needed, each under a temporary
// name that it gives up only when the file is synced, and syncs the folder after
// each rename. A log that has its name is therefore whole up to its base mark,
// and its snapshot is there; older generations are then removed.
//
// The hard point is the tail. The last write before a crash may be torn, and
// must be cut off; but what was once synced may have been acknowledged, and must
// never be. Only a tail that a crash can have left is cut (see readFrame). All
// other damage stops the voter with a *CorruptError.

const (
	logPrefix      = "log-"
	snapshotPrefix = "snapshot-"
	temporaryName  = "temporary"

	checkpointBytes = 8 << 20 // size of a log file that calls for a checkpoint
)

type disk struct {
	fs           fileSystem
	id           diskID
	generation   uint64
	log          file
	size         int // of the log file, bytes
	lastSnapshot int // bytes
	ballot       ballot
	cut          int // bytes of torn tail that opening cut off
}

// openDisk reads the folder, or starts it with the identity that newID returns if
// it is empty.
func openDisk(fs fileSystem, newID func() diskID) (*disk, stored, error) {
	names, err := fs.List()
	if err != nil {
		return nil, stored{}, err
	}
	d := &disk{fs: fs}
	logs := generations(names, logPrefix)
	if len(logs) == 0 {
		return d.openEmpty(names, newID)
	}
	d.generation = slices.Max(logs)
	st, err := d.load()
	if err != nil {
		return nil, stored{}, err
	}
	if d.log, err = fs.Append(d.logName()); err != nil {
		return nil, stored{}, err
	}
	if err := d.syncLoaded(); err != nil {
		return nil, stored{}, err
	}
	if err := d.removeOthers(names); err != nil {
		return nil, stored{}, err
	}
	return d, st, nil
}

// syncLoaded makes durable what was loaded: a process that was killed between a write and its sync leaves what the
// next one reads, and counts as saved, though a loss of power would still take it.
func (d *disk) syncLoaded() error {
	if err := d.log.Sync(); err != nil {
		return err
	}
	return d.fs.SyncFolder()
}

func (d *disk) openEmpty(names []string, newID func() diskID) (*disk, stored, error) {
	if left := generations(names, snapshotPrefix); len(left) > 0 {
		return nil, stored{}, &CorruptError{File: snapshotPrefix, Issue: "a snapshot is there but no log"}
	}
	d.id = newID()
	if err := d.checkpoint(snapshot{}, nil); err != nil {
		return nil, stored{}, err
	}
	return d, stored{Disk: d.id}, nil
}

func generations(names []string, prefix string) []uint64 {
	var found []uint64
	for _, name := range names {
		digits, ok := strings.CutPrefix(name, prefix)
		if !ok {
			continue
		}
		if n, err := strconv.ParseUint(digits, 10, 64); err == nil {
			found = append(found, n)
		}
	}
	return found
}

func (d *disk) logName() string      { return logPrefix + strconv.FormatUint(d.generation, 10) }
func (d *disk) snapshotName() string { return snapshotPrefix + strconv.FormatUint(d.generation, 10) }

// removeOthers removes what other generations left.
func (d *disk) removeOthers(names []string) error {
	for _, name := range names {
		if name == d.logName() || name == d.snapshotName() {
			continue
		}
		if err := d.fs.Remove(name); err != nil {
			return err
		}
	}
	return nil
}

func (d *disk) load() (stored, error) {
	data, err := d.fs.Read(d.logName())
	if err != nil {
		return stored{}, err
	}
	l := loader{file: d.logName()}
	if err := l.read(data); err != nil {
		return stored{}, err
	}
	if l.good < len(data) {
		d.cut = len(data) - l.good
		if err := d.fs.Truncate(d.logName(), l.good); err != nil {
			return stored{}, err
		}
	}
	st := stored{Disk: l.header.Disk, Ballot: l.ballot, Entries: l.entries}
	if l.header.Snapshot > 0 {
		if st.Snapshot, err = d.loadSnapshot(l.header.Snapshot); err != nil {
			return stored{}, err
		}
	}
	d.id, d.ballot = st.Disk, st.Ballot
	d.size, d.lastSnapshot = l.good, len(st.Snapshot.Data)
	return st, nil
}

func (d *disk) loadSnapshot(index uint64) (snapshot, error) {
	data, err := d.fs.Read(d.snapshotName())
	if err != nil {
		return snapshot{}, &CorruptError{File: d.snapshotName(), Issue: err.Error()}
	}
	f := readFrame(data, 0)
	if f.torn || f.issue != "" {
		return snapshot{}, &CorruptError{File: d.snapshotName(), Issue: "checksum of the snapshot"}
	}
	var s snapshot
	if err := msgpack.Unmarshal(f.payload, &s); err != nil {
		return snapshot{}, &CorruptError{File: d.snapshotName(), Issue: err.Error()}
	}
	if s.Index != index {
		return snapshot{}, &CorruptError{File: d.snapshotName(), Issue: fmt.Sprintf("index is %d, want %d", s.Index, index)}
	}
	return s, nil
}

// loader replays the records of a log file.
type loader struct {
	file    string
	good    int // end of the last whole record
	header  *fileHeader
	ballot  ballot
	entries []entry
	base    bool // the base mark was read
}

func (l *loader) read(data []byte) error {
	for l.good < len(data) {
		f := readFrame(data, l.good)
		if f.torn && l.base {
			return nil
		}
		if f.torn {
			return l.corrupt("the file ends before its base mark")
		}
		if f.issue != "" {
			return l.corrupt(f.issue)
		}
		if err := l.replay(f.payload); err != nil {
			return err
		}
		l.good = f.next
	}
	if !l.base {
		return l.corrupt("the file ends before its base mark")
	}
	return nil
}

func (l *loader) corrupt(issue string) error {
	return &CorruptError{File: l.file, Offset: l.good, Issue: issue}
}

func (l *loader) replay(payload []byte) error {
	var r record
	if err := msgpack.Unmarshal(payload, &r); err != nil {
		return l.corrupt(err.Error())
	}
	switch {
	case r.Header != nil:
		if r.Header.Format != fileFormat {
			return l.corrupt(fmt.Sprintf("format %d, want %d", r.Header.Format, fileFormat))
		}
		l.header = r.Header
	case l.header == nil:
		return l.corrupt("the first record is no header")
	case r.Ballot != nil:
		l.ballot = *r.Ballot
	case r.Entry != nil:
		return l.replayEntry(*r.Entry)
	case r.Base:
		l.base = true
	}
	return nil
}

func (l *loader) replayEntry(e entry) error {
	if len(l.entries) == 0 {
		if e.Index > l.header.Snapshot+1 {
			return l.corrupt(fmt.Sprintf("entry %d does not follow snapshot %d", e.Index, l.header.Snapshot))
		}
		l.entries = append(l.entries, e)
		return nil
	}
	first := l.entries[0].Index
	next := first + uint64(len(l.entries))
	if e.Index > next || e.Index < first {
		return l.corrupt(fmt.Sprintf("entry %d follows entry %d", e.Index, next-1))
	}
	l.entries = append(l.entries[:e.Index-first], e)
	return nil
}

// save puts what a wants saved on disk; when it returns, it is synced.
func (d *disk) save(a *actions) error {
	if a.Ballot != nil {
		d.ballot = *a.Ballot
	}
	if a.Snapshot != nil {
		return d.checkpoint(*a.Snapshot, a.Entries)
	}
	var buf []byte
	var err error
	if a.Ballot != nil {
		if buf, err = appendRecord(buf, record{Ballot: a.Ballot}); err != nil {
			return err
		}
	}
	for i := range a.Entries {
		if buf, err = appendRecord(buf, record{Entry: &a.Entries[i]}); err != nil {
			return err
		}
	}
	if len(buf) == 0 {
		return nil
	}
	if _, err := d.log.Write(buf); err != nil {
		return err
	}
	d.size += len(buf)
	return d.log.Sync()
}

// wantsCheckpoint reports whether the log file has grown enough to pay for a
// snapshot.
func (d *disk) wantsCheckpoint() bool { return d.size > max(checkpointBytes, d.lastSnapshot) }

// checkpoint begins a generation with a snapshot and the entries behind and
// after it.
func (d *disk) checkpoint(s snapshot, entries []entry) error {
	if s.Index > 0 {
		if err := writeSnapshot(d.fs, d.nextSnapshotName(), s); err != nil {
			return err
		}
	}
	return d.rotate(s, entries)
}

func (d *disk) nextSnapshotName() string {
	return snapshotPrefix + strconv.FormatUint(d.generation+1, 10)
}

func writeSnapshot(fs fileSystem, name string, s snapshot) error {
	payload, err := msgpack.Marshal(&s)
	if err != nil {
		return fmt.Errorf("snapshot %d: %w", s.Index, err)
	}
	return writeFile(fs, name, appendFrame(nil, payload))
}

// rotate begins the generation whose snapshot has been written.
func (d *disk) rotate(s snapshot, entries []entry) error {
	old := *d
	d.generation++
	base, err := d.base(s, entries)
	if err != nil {
		return err
	}
	if err := writeFile(d.fs, d.logName(), base); err != nil {
		return err
	}
	d.size, d.lastSnapshot = len(base), len(s.Data)
	if d.log, err = d.fs.Append(d.logName()); err != nil {
		return err
	}
	return d.removeGeneration(old)
}

// base returns the records that a log file begins with.
func (d *disk) base(s snapshot, entries []entry) ([]byte, error) {
	records := []record{
		{Header: &fileHeader{Format: fileFormat, Disk: d.id, Snapshot: s.Index}},
		{Ballot: &d.ballot},
	}
	for i := range entries {
		records = append(records, record{Entry: &entries[i]})
	}
	records = append(records, record{Base: true})
	var buf []byte
	var err error
	for _, r := range records {
		if buf, err = appendRecord(buf, r); err != nil {
			return nil, err
		}
	}
	return buf, nil
}

// writeFile makes a file durable under its name, all of it or none.
func writeFile(fs fileSystem, name string, data []byte) error {
	f, err := fs.Create(temporaryName)
	if err != nil {
		return err
	}
	defer f.Close()
	if _, err := f.Write(data); err != nil {
		return err
	}
	if err := f.Sync(); err != nil {
		return err
	}
	if err := fs.Rename(temporaryName, name); err != nil {
		return err
	}
	return fs.SyncFolder()
}

func (d *disk) removeGeneration(old disk) error {
	if old.generation == 0 {
		return nil
	}
	if err := old.log.Close(); err != nil {
		return err
	}
	if err := d.fs.Remove(old.logName()); err != nil {
		return err
	}
	names, err := d.fs.List()
	if err != nil {
		return err
	}
	if slices.Contains(names, old.snapshotName()) {
		return d.fs.Remove(old.snapshotName())
	}
	return nil
}

// close closes the log file.
func (d *disk) close() error { return d.log.Close() }
