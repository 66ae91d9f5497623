package catalog

// A process that restarts must not go back to an older revision than it had in
// force before: its ledger may know less at first, and its peers may be out of
// reach. A feed with a file therefore keeps its newest set there, and starts from
// it. This also lets an entry serve from its first moment while no quorum stands.
//
// The file is replaced whole: written beside, synced, renamed, and its folder
// synced, all before the set is in force. A checksum at its end tells a damaged
// file, which is passed over, since the ledger and the peers have the set too.

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
)

const sumBytes = 8

// FileError says that the file of a feed is damaged.
type FileError struct {
	File  string
	Issue string
}

// Error implements error.
func (e *FileError) Error() string {
	return fmt.Sprintf("file %q of the feed is damaged: %s", e.File, e.Issue)
}

// Restore takes the set that the feed's file holds, if any. Call it once, after
// Register and before the first connection. A damaged file is reported and
// passed over.
func (f *Feed) Restore() error {
	if f.File == "" {
		return nil
	}
	s, err := readSetFile(f.File)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	f.Offer(s)
	return nil
}

func readSetFile(file string) (*Set, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("feed: %w", err)
	}
	if len(data) < sumBytes {
		return nil, &FileError{file, fmt.Sprintf("it has only %d bytes", len(data))}
	}
	body, sum := data[:len(data)-sumBytes], data[len(data)-sumBytes:]
	if xxhash.Sum64(body) != binary.BigEndian.Uint64(sum) {
		return nil, &FileError{file, "its checksum is wrong"}
	}
	s, err := Decode(body)
	if err != nil {
		return nil, &FileError{file, err.Error()}
	}
	return s, nil
}

// writeSetFile returns once s is on the disk.
func writeSetFile(file string, s *Set) error {
	body, err := s.Encode()
	if err != nil {
		return err
	}
	data := make([]byte, 0, len(body)+sumBytes)
	data = append(data, body...)
	data = binary.BigEndian.AppendUint64(data, xxhash.Sum64(body))
	next := file + ".new"
	if err := writeSynced(next, data); err != nil {
		return err
	}
	if err := os.Rename(next, file); err != nil {
		return err
	}
	return syncFolder(filepath.Dir(file))
}

func writeSynced(file string, data []byte) error {
	w, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = w.Write(data)
	return errors.Join(err, w.Sync(), w.Close())
}

func syncFolder(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}
