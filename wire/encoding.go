package wire

import (
	"encoding/binary"
	"fmt"
)

// The msgpack library takes memory for an array as soon as it has read the
// array's length, and calls itself for each level of nesting. A few damaged bytes
// could so cost gigabytes, or the stack. Frames are therefore walked once before
// they are decoded: every announced element must be there, and the nesting is
// bounded. The walk itself takes no memory and does not recurse.

// maxNesting bounds the arrays and maps around one value.
const maxNesting = 64

// EncodingError says that bytes are not one whole msgpack value.
type EncodingError struct {
	Offset int
	Issue  string
}

// Error implements error.
func (e *EncodingError) Error() string {
	return fmt.Sprintf("msgpack at byte %d: %s", e.Offset, e.Issue)
}

// CheckEncoding checks that data is one whole msgpack value, so that decoding it
// takes memory in proportion to its length. Call it before decoding bytes that
// did not travel as part of a frame's own structure.
func CheckEncoding(data []byte) error {
	var pending [maxNesting]int // values still to come at each level
	pending[0] = 1
	depth, at := 0, 0
	for depth >= 0 {
		if pending[depth] == 0 {
			depth--
			continue
		}
		pending[depth]--
		size, children, ok := valueSize(data[at:])
		if !ok || size > len(data)-at {
			return &EncodingError{at, "value is cut short or of an unknown type"}
		}
		at += size
		if children == 0 {
			continue
		}
		if children > len(data)-at {
			return &EncodingError{at, fmt.Sprintf("%d values are announced, but only %d bytes follow", children, len(data)-at)}
		}
		depth++
		if depth == maxNesting {
			return &EncodingError{at, fmt.Sprintf("values are nested more than %d deep", maxNesting)}
		}
		pending[depth] = children
	}
	if at != len(data) {
		return &EncodingError{at, "bytes follow the value"}
	}
	return nil
}

// The type bytes of msgpack that are not ranges.
const (
	typeNil      = 0xc0
	typeUnused   = 0xc1
	typeTrue     = 0xc3
	typeBin8     = 0xc4
	typeExt8     = 0xc7
	typeFloat32  = 0xca
	typeUint8    = 0xcc
	typeInt8     = 0xd0
	typeFixExt1  = 0xd4
	typeStr8     = 0xd9
	typeArray16  = 0xdc
	typeArray32  = 0xdd
	typeMap16    = 0xde
	typeMap32    = 0xdf
	firstNegInt  = 0xe0
	firstFixMap  = 0x80
	firstFixList = 0x90
	firstFixStr  = 0xa0
)

// valueSize returns the bytes of the value at the start of data, without the
// values inside it, and the number of those.
func valueSize(data []byte) (size, children int, ok bool) {
	if len(data) == 0 {
		return 0, 0, false
	}
	t := data[0]
	switch {
	case t < firstFixMap || t >= firstNegInt:
		return 1, 0, true
	case t < firstFixList:
		return 1, 2 * int(t&0x0f), true
	case t < firstFixStr:
		return 1, int(t & 0x0f), true
	case t < typeNil:
		return 1 + int(t&0x1f), 0, true
	case t == typeUnused:
		return 0, 0, false
	case t <= typeTrue:
		return 1, 0, true
	case t < typeExt8:
		return lengthSize(data, t-typeBin8, 0)
	case t < typeFloat32:
		return lengthSize(data, t-typeExt8, 1)
	case t < typeUint8:
		return 5 + 4*int(t-typeFloat32), 0, true
	case t < typeInt8:
		return 1 + 1<<(t-typeUint8), 0, true
	case t < typeFixExt1:
		return 1 + 1<<(t-typeInt8), 0, true
	case t < typeStr8:
		return 2 + 1<<(t-typeFixExt1), 0, true
	case t < typeArray16:
		return lengthSize(data, t-typeStr8, 0)
	}
	return containerSize(data, t)
}

// lengthSize sizes a string, byte string or extension whose length takes 1, 2 or
// 4 bytes, for width 0, 1 or 2.
func lengthSize(data []byte, width byte, extra int) (size, children int, ok bool) {
	n, head, ok := readLength(data, width)
	return head + extra + n, 0, ok
}

func containerSize(data []byte, t byte) (size, children int, ok bool) {
	switch t {
	case typeArray16:
		n, head, ok := readLength(data, 1)
		return head, n, ok
	case typeArray32:
		n, head, ok := readLength(data, 2)
		return head, n, ok
	case typeMap16:
		n, head, ok := readLength(data, 1)
		return head, 2 * n, ok
	}
	n, head, ok := readLength(data, 2)
	return head, 2 * n, ok
}

// readLength reads the length behind the type byte, and returns it with the size
// of both.
func readLength(data []byte, width byte) (n, head int, ok bool) {
	head = 1 + 1<<width
	if len(data) < head {
		return 0, 0, false
	}
	switch width {
	case 0:
		return int(data[1]), head, true
	case 1:
		return int(binary.BigEndian.Uint16(data[1:])), head, true
	}
	return int(binary.BigEndian.Uint32(data[1:])), head, true
}
