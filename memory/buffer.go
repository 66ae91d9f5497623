package memory

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Buffer grows with what has arrived and without copying what it holds, so that many large buffers leave no garbage as they grow.
type Buffer struct {
	chunks []*[chunkBytes]byte
	size   int // bytes that it holds
}

const chunkBytes = 16 << 10

var chunkPool = sync.Pool{New: func() any { return new([chunkBytes]byte) }}

// ReadOnce appends the result of one read.
func (b *Buffer) ReadOnce(r io.Reader) error {
	used := b.size % chunkBytes
	if used == 0 && b.size == len(b.chunks)*chunkBytes {
		b.chunks = append(b.chunks, chunkPool.Get().(*[chunkBytes]byte))
	}
	n, err := r.Read(b.chunks[len(b.chunks)-1][used:])
	b.size += n
	return err
}

// Size returns the number of bytes that the buffer holds.
func (b *Buffer) Size() int { return b.size }

// Bytes returns a copy of what the buffer holds.
func (b *Buffer) Bytes() []byte {
	all := make([]byte, 0, b.size)
	for _, c := range b.chunks {
		all = append(all, c[:min(chunkBytes, b.size-len(all))]...)
	}
	return all
}

// Free releases the chunks. The buffer is empty after it.
func (b *Buffer) Free() {
	for _, c := range b.chunks {
		chunkPool.Put(c)
	}
	*b = Buffer{}
}

// TooLargeError says that a body exceeds its limit.
type TooLargeError struct {
	Limit   int64 // bytes
	Decoded bool  // it is the decoded values that do, see DecodedBytes
}

// Error implements error.
func (e *TooLargeError) Error() string {
	if e.Decoded {
		return fmt.Sprintf("body exceeds %d bytes when it is decoded", e.Limit)
	}
	return fmt.Sprintf("body exceeds %d bytes", e.Limit)
}

// Progress is told of a body that is read.
type Progress interface {
	// Moved is called between two reads, at now. An error ends the reading.
	Moved(now time.Time) error
}

// ReadAll reads r to its end, counts what has arrived against h besides what h holds already, and returns it; on an error, h holds what it held
// before. progress may be nil. The error is a *TooLargeError beyond limit, unless that is 0, a
// *FullError, that of r, or that of progress. It blocks like r.
func ReadAll(r io.Reader, h *Holder, limit int64, now func() time.Time, progress Progress) ([]byte, error) {
	before := h.Bytes()
	data, err := readAll(r, h, limit, now, progress)
	_ = h.Resize(now(), before+int64(len(data))) // less than before; what had to go says so at its next use
	return data, err
}

func readAll(r io.Reader, h *Holder, limit int64, now func() time.Time, progress Progress) ([]byte, error) {
	before := h.Bytes()
	var b Buffer
	defer b.Free()
	for {
		err := b.ReadOnce(r)
		size := int64(b.size)
		switch {
		case limit > 0 && size > limit:
			return nil, &TooLargeError{Limit: limit}
		case err == io.EOF:
			if err := h.Resize(now(), before+2*size); err != nil { // the copy too
				return nil, err
			}
			return b.Bytes(), nil
		case err != nil:
			return nil, err
		}
		at := now()
		if err := h.Resize(at, before+size); err != nil {
			return nil, err
		}
		if progress == nil {
			continue
		}
		if err := progress.Moved(at); err != nil {
			return nil, err
		}
	}
}
