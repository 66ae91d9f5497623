package release

import (
	"context"
	"encoding/binary"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/bamboostep/bamboostep/internal/sumfile"
	"github.com/bamboostep/bamboostep/internal/timer"
	"github.com/bamboostep/bamboostep/timeline"
)

// The file of a voter holds notes in the order in which they came. They are appended and synced in batches. When it
// has grown to twice its size after the last replacement, it is replaced by a file with what is still kept.
//
// Each note is preceded by its length (4 bytes) and checksum (8 bytes). What follows a damaged note is lost: it is the
// end of a batch that was not synced.

const (
	syncInterval  = 20 * time.Millisecond // pause after each sync
	minRewrite    = 128 << 10             // bytes; a smaller file is not replaced
	maxPending    = 1 << 20               // bytes that wait for the disk; if more do, the file is replaced instead
	recordHeader  = 4 + 8                 // bytes
	rewriteGrowth = 2                     // of the file since it was last replaced
)

// File saves a voter's streams. Set the exported fields, register its Registry, then call Run.
type File struct {
	Path     string
	Recorder *timeline.Recorder

	table   *table
	pending chan struct{} // capacity 1; there is something to write

	mu       sync.Mutex
	batch    []byte // records to be appended
	replace  bool   // the file is replaced with the next write
	size     int    // bytes of the file
	replaced int    // bytes of the file when it was last replaced
	failing  bool   // the last write failed
}

// restore puts the streams of the file into t, and has the file hold those that are put into t from then on.
func (f *File) restore(t *table) {
	f.table, f.pending, f.replace = t, make(chan struct{}, 1), true
	data, err := os.ReadFile(f.Path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		f.Recorder.Record(timeline.Event{Kind: "stream_origins_not_restored", Detail: err.Error()})
	}
	now := time.Now()
	for n, rest := nextRecord(data); rest != nil; n, rest = nextRecord(rest) {
		n.putInto(t, now)
	}
}

// nextRecord returns the first note of data and what follows it, or nil at the end and at a damaged note.
func nextRecord(data []byte) (n note, rest []byte) {
	if len(data) < recordHeader {
		return note{}, nil
	}
	length := uint64(binary.BigEndian.Uint32(data))
	body := data[recordHeader:]
	if length > uint64(len(body)) || xxhash.Sum64(body[:length]) != binary.BigEndian.Uint64(data[4:]) {
		return note{}, nil
	}
	if msgpack.Unmarshal(body[:length], &n) != nil {
		return note{}, nil
	}
	return n, body[length:]
}

// appendRecord appends a note to data.
func appendRecord(data []byte, n note) ([]byte, error) {
	body, err := msgpack.Marshal(n)
	if err != nil {
		return data, err
	}
	data = binary.BigEndian.AppendUint32(data, uint32(len(body)))
	data = binary.BigEndian.AppendUint64(data, xxhash.Sum64(body))
	return append(data, body...), nil
}

// append schedules a note to be written. It does not block.
func (f *File) append(n note) {
	f.mu.Lock()
	defer f.mu.Unlock()
	batch, err := appendRecord(f.batch, n)
	if err != nil || len(batch) > maxPending { // the replacement is made from the table, which has the note
		batch, f.replace = nil, true
	}
	f.batch = batch
	select {
	case f.pending <- struct{}{}:
	default: // a write is already scheduled
	}
}

// Run writes what is appended until ctx ends, and then what is left.
func (f *File) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			f.write()
			return ctx.Err()
		case <-f.pending:
		}
		f.write()
		timer.Sleep(ctx, syncInterval)
	}
}

// write brings the file up to date and records transitions between success and failure. After a failure, the
// next write replaces the file.
func (f *File) write() {
	f.mu.Lock()
	batch, replace := f.batch, f.replace || f.size > max(minRewrite, rewriteGrowth*f.replaced)
	f.batch, f.replace = nil, false
	f.mu.Unlock()
	if len(batch) == 0 && !replace {
		return
	}
	size, err := f.writeBatch(batch, replace)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replace = f.replace || err != nil
	switch {
	case err == nil && replace:
		f.size, f.replaced = size, size
	case err == nil:
		f.size += size
	}
	if failing := err != nil; failing != f.failing {
		f.failing = failing
		detail := "written again"
		if failing {
			detail = err.Error()
		}
		f.Recorder.Record(timeline.Event{Kind: "stream_origins_not_saved", Detail: detail})
	}
}

// writeBatch appends a batch to the file, or replaces the file by what is kept, which includes the batch. It
// returns once that is on the disk, with the number of bytes written.
func (f *File) writeBatch(batch []byte, replace bool) (int, error) {
	if !replace {
		return len(batch), appendSynced(f.Path, batch)
	}
	kept := make(noteBuilder)
	f.table.forEach(time.Now(), kept.add)
	data, err := appendRecord(nil, kept.note())
	if err != nil {
		return 0, err
	}
	next := f.Path + ".new"
	if err := os.Remove(next); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return 0, err
	}
	if err := appendSynced(next, data); err != nil {
		return 0, err
	}
	if err := os.Rename(next, f.Path); err != nil {
		return 0, err
	}
	return len(data), sumfile.SyncFolder(filepath.Dir(f.Path))
}

// appendSynced appends data to a file and returns once it is on the disk.
func appendSynced(path string, data []byte) error {
	w, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	_, err = w.Write(data)
	return errors.Join(err, w.Sync(), w.Close())
}
