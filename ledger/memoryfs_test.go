package ledger

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
)

var errCrashed = errors.New("the process crashed")

// memoryFS is a fileSystem that knows what a crash would leave: of each file a
// prefix at least as long as what was synced, and of the folder at least the
// names as of its last sync.
type memoryFS struct {
	names   map[string]*memoryFile
	durable map[string]*memoryFile
	changes []func(map[string]*memoryFile) // of names since durable, in order
	failIn  int                            // operations until errCrashed; 0 for never
}

type memoryFile struct {
	data   []byte
	synced int // bytes
}

func newMemoryFS() *memoryFS {
	return &memoryFS{names: make(map[string]*memoryFile), durable: make(map[string]*memoryFile)}
}

// crash drops what was not synced, each part of it by chance.
func (m *memoryFS) crash(r *rand.Rand) {
	keep := r.IntN(len(m.changes) + 1)
	for _, change := range m.changes[:keep] {
		change(m.durable)
	}
	m.changes, m.failIn = nil, 0
	m.names = maps.Clone(m.durable)
	for _, f := range m.names {
		f.tear(r)
	}
}

func (f *memoryFile) tear(r *rand.Rand) {
	end := f.synced + r.IntN(len(f.data)-f.synced+1)
	zeros := 0
	if r.IntN(4) == 0 {
		zeros = len(f.data) - end // the size was written, the bytes were not
	}
	f.data = append(slices.Clone(f.data[:end]), make([]byte, zeros)...)
	f.synced = len(f.data)
}

func (m *memoryFS) step() error {
	if m.failIn == 0 {
		return nil
	}
	m.failIn--
	if m.failIn == 0 {
		m.failIn = 1 // all that follows fails too
		return errCrashed
	}
	return nil
}

func (m *memoryFS) change(f func(map[string]*memoryFile)) error {
	if err := m.step(); err != nil {
		return err
	}
	f(m.names)
	m.changes = append(m.changes, f)
	return nil
}

func (m *memoryFS) List() ([]string, error) { return slices.Sorted(maps.Keys(m.names)), nil }

func (m *memoryFS) Read(name string) ([]byte, error) {
	f, ok := m.names[name]
	if !ok {
		return nil, fmt.Errorf("file %q does not exist", name)
	}
	return slices.Clone(f.data), nil
}

func (m *memoryFS) Create(name string) (file, error) {
	f := &memoryFile{}
	err := m.change(func(names map[string]*memoryFile) { names[name] = f })
	return &memoryHandle{m, f}, err
}

func (m *memoryFS) Append(name string) (file, error) {
	f, ok := m.names[name]
	if !ok {
		return nil, fmt.Errorf("file %q does not exist", name)
	}
	return &memoryHandle{m, f}, nil
}

func (m *memoryFS) Truncate(name string, size int) error {
	if err := m.step(); err != nil {
		return err
	}
	f := m.names[name]
	f.data = slices.Clone(f.data[:size])
	f.synced = size
	return nil
}

func (m *memoryFS) Rename(from, to string) error {
	f := m.names[from]
	return m.change(func(names map[string]*memoryFile) {
		delete(names, from)
		names[to] = f
	})
}

func (m *memoryFS) Remove(name string) error {
	return m.change(func(names map[string]*memoryFile) { delete(names, name) })
}

func (m *memoryFS) SyncFolder() error {
	if err := m.step(); err != nil {
		return err
	}
	m.durable, m.changes = maps.Clone(m.names), nil
	return nil
}

type memoryHandle struct {
	fs *memoryFS
	f  *memoryFile
}

func (h *memoryHandle) Write(p []byte) (int, error) {
	if err := h.fs.step(); err != nil {
		return 0, err
	}
	h.f.data = append(h.f.data, p...)
	return len(p), nil
}

func (h *memoryHandle) Sync() error {
	if err := h.fs.step(); err != nil {
		return err
	}
	h.f.synced = len(h.f.data)
	return nil
}

func (h *memoryHandle) Close() error { return nil }

var _ fileSystem = (*memoryFS)(nil)
