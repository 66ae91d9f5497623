package ledger

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/bamboostep/bamboostep/internal/sumfile"
)

// fileSystem is the one folder that a disk uses. Tests replace it by one that
// forgets what was not synced.
type fileSystem interface {
	List() ([]string, error)
	Read(name string) ([]byte, error)
	Create(name string) (file, error) // empties the file if it exists
	Append(name string) (file, error)
	Truncate(name string, size int) error // synced when it returns
	Rename(from, to string) error
	Remove(name string) error
	SyncFolder() error
}

// file is open for writing.
type file interface {
	io.WriteCloser
	Sync() error
}

const lockName = "lock"

// folder is a fileSystem on the real one.
type folder struct {
	path string
	lock *os.File
}

// openFolder makes the folder and locks it, so that no two processes write it.
func openFolder(path string) (*folder, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, fmt.Errorf("ledger folder %q: %w", path, err)
	}
	if err := sumfile.SyncFolder(filepath.Dir(path)); err != nil {
		return nil, err
	}
	lock, err := os.OpenFile(filepath.Join(path, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("ledger folder %q: %w", path, err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, fmt.Errorf("ledger folder %q is in use by another process: %w", path, err)
	}
	return &folder{path: path, lock: lock}, nil
}

// close gives up the lock.
func (f *folder) close() error { return f.lock.Close() }

func (f *folder) file(name string) string { return filepath.Join(f.path, name) }

// List implements fileSystem.
func (f *folder) List() ([]string, error) {
	found, err := os.ReadDir(f.path)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range found {
		if e.Name() != lockName {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

// Read implements fileSystem.
func (f *folder) Read(name string) ([]byte, error) { return os.ReadFile(f.file(name)) }

// Create implements fileSystem.
func (f *folder) Create(name string) (file, error) {
	return os.OpenFile(f.file(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
}

// Append implements fileSystem.
func (f *folder) Append(name string) (file, error) {
	return os.OpenFile(f.file(name), os.O_APPEND|os.O_WRONLY, 0o600)
}

// Truncate implements fileSystem.
func (f *folder) Truncate(name string, size int) error {
	w, err := os.OpenFile(f.file(name), os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer w.Close()
	if err := w.Truncate(int64(size)); err != nil {
		return err
	}
	return w.Sync()
}

// Rename implements fileSystem.
func (f *folder) Rename(from, to string) error { return os.Rename(f.file(from), f.file(to)) }

// Remove implements fileSystem.
func (f *folder) Remove(name string) error { return os.Remove(f.file(name)) }

// SyncFolder implements fileSystem.
func (f *folder) SyncFolder() error { return sumfile.SyncFolder(f.path) }

var _ fileSystem = (*folder)(nil)
