package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"

	"github.com/google/uuid"
	"github.com/pelletier/go-toml/v2"

	"github.com/bamboostep/bamboostep/catalog"
	"github.com/bamboostep/bamboostep/settings"
)

// stateFile notes beside the objects which revision they were made from, so that
// of two operators who start from one revision the second is told. It also notes
// the ID of a publish before it is sent: whatever happens to the answer, or to
// this process, publishing the same objects again repeats that publish.
const stateFile = ".bamboostep.toml"

const objectFile = "objects.toml"

type folderState struct {
	Revision     uint64 `toml:"revision"`
	PendingID    string `toml:"pending_id,omitempty"`    // publish whose outcome is not known
	PendingBased uint64 `toml:"pending_based,omitempty"` // revision it is based on
	PendingSum   string `toml:"pending_sum,omitempty"`   // checksum of its objects
}

// withPending returns s with a publish noted. Its ID is the given one, that of
// the same publish if one is pending, or a new one.
func (s folderState) withPending(id string, based, sum uint64) folderState {
	text := strconv.FormatUint(sum, 16)
	same := s.PendingID != "" && s.PendingBased == based && s.PendingSum == text
	switch {
	case id != "":
		s.PendingID = id
	case !same:
		s.PendingID = uuid.NewString()
	}
	s.PendingBased, s.PendingSum = based, text
	return s
}

// readState returns the noted state of a folder; that of a new one is zero.
func readState(dir string) (folderState, error) {
	var state folderState
	file := filepath.Join(dir, stateFile)
	text, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return state, nil
	}
	if err != nil {
		return state, fmt.Errorf("state of folder %q: %w", dir, err)
	}
	return state, settings.Parse(file, text, &state)
}

func writeState(dir string, state folderState) error {
	text, err := toml.Marshal(state)
	if err != nil {
		return err
	}
	return replaceFile(filepath.Join(dir, stateFile), text)
}

// replaceFile writes a file whole or not at all.
func replaceFile(file string, text []byte) error {
	next := file + ".new"
	if err := os.WriteFile(next, text, 0o644); err != nil {
		return err
	}
	return os.Rename(next, file)
}

// folderDiffersError says that a folder holds other objects than the newest
// revision.
type folderDiffersError struct {
	dir      string
	revision uint64
	changes  int
}

func (e *folderDiffersError) Error() string {
	return fmt.Sprintf("folder %q differs from revision %d in %d objects; get into an empty folder, merge, and publish with --based %d",
		e.dir, e.revision, e.changes, e.revision)
}

// writeFolder writes a set to a folder and notes its revision. A folder that
// holds objects already is left as it is, and only noted if they are the same.
func writeFolder(dir string, set *catalog.Set) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	old, err := catalog.Load(dir)
	var empty *catalog.EmptyError
	switch {
	case errors.As(err, &empty):
		if err := writeObjects(filepath.Join(dir, objectFile), set); err != nil {
			return err
		}
	case err != nil:
		return err
	default:
		if changes := catalog.Diff(set, old); len(changes) > 0 {
			return &folderDiffersError{dir, set.Revision(), len(changes)}
		}
	}
	return writeState(dir, folderState{Revision: set.Revision()})
}

func writeObjects(file string, set *catalog.Set) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	if err := catalog.Write(f, set.Objects()); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}
