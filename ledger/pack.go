package ledger

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"
)

// Sets go to every process at each publication, over links that callers' traffic
// shares, so large ones travel compressed. A voter compresses each set once, however
// many processes watch it.

const leastPacked = 4 << 10 // bytes of a set that is worth compressing

// packer keeps the last set that was compressed.
type packer struct {
	mu     sync.Mutex
	number uint64
	packed []byte
}

// pack returns the set of a revision compressed, or nil if that is not worth it.
func (p *packer) pack(set []byte, number uint64) []byte {
	if len(set) < leastPacked {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.number != number || p.packed == nil {
		p.number, p.packed = number, compress(set)
	}
	return p.packed
}

func compress(set []byte) []byte {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is a constant
	}
	_, _ = w.Write(set) // a bytes.Buffer takes all
	_ = w.Close()
	return b.Bytes()
}

// unpack returns a compressed set.
func unpack(packed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	defer r.Close()
	set, err := io.ReadAll(io.LimitReader(r, maxSetBytes+1))
	if err != nil {
		return nil, fmt.Errorf("compressed set: %w", err)
	}
	if len(set) > maxSetBytes {
		return nil, fmt.Errorf("compressed set: over %d bytes", maxSetBytes)
	}
	return set, nil
}
