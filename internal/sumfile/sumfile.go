// Package sumfile keeps a file that is replaced whole, with a checksum at its end, so
// that after a loss of power it holds either the old or the new content, and damage
// is noticed.
package sumfile

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
)

const sumBytes = 8

// DamagedError says that a file is not what was written.
type DamagedError struct {
	File  string
	Issue string
}

// Error implements error.
func (e *DamagedError) Error() string {
	return fmt.Sprintf("file %q is damaged: %s", e.File, e.Issue)
}

// Read returns what was last written to a file. The error is a *DamagedError, or that
// of the file system.
func Read(file string) ([]byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	if len(data) < sumBytes {
		return nil, &DamagedError{file, fmt.Sprintf("it has only %d bytes", len(data))}
	}
	body, sum := data[:len(data)-sumBytes], data[len(data)-sumBytes:]
	if xxhash.Sum64(body) != binary.BigEndian.Uint64(sum) {
		return nil, &DamagedError{file, "its checksum is wrong"}
	}
	return body, nil
}

// Write replaces a file. It returns once the new content is on the disk.
func Write(file string, body []byte) error {
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
	return SyncFolder(filepath.Dir(file))
}

func writeSynced(file string, data []byte) error {
	w, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = w.Write(data)
	return errors.Join(err, w.Sync(), w.Close())
}

// SyncFolder returns once what was created, renamed and removed in a folder is on the
// disk.
func SyncFolder(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}
