package catalog

// A process that restarts must not go back to an older revision than it had in
// force before: its ledger may know less at first, and its peers may be out of
// reach. A feed with a file therefore keeps its newest set there, and starts from
// it. This also lets an entry serve from its first moment while no quorum stands.
//
// The file is replaced whole before the set is in force (package sumfile). A damaged
// one is passed over, since the ledger and the peers have the set too.

import (
	"errors"
	"fmt"
	"io/fs"

	"github.com/bamboostep/bamboostep/internal/sumfile"
)

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
	body, err := sumfile.Read(file)
	var damaged *sumfile.DamagedError
	switch {
	case errors.As(err, &damaged):
		return nil, &FileError{file, damaged.Issue}
	case err != nil:
		return nil, fmt.Errorf("feed: %w", err)
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
	return sumfile.Write(file, body)
}
