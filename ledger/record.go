package ledger

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/vmihailenco/msgpack/v5"
)

// Records of the log file. Each has a header of 12 bytes: the length of the
// payload, its checksum, and a checksum of these two. The header has its own
// checksum because a flipped bit in a length would otherwise look like a record
// that was cut off by a crash, and all records after it would be dropped.

const recordHeaderBytes = 12

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is one change of what the disk holds. Exactly one field is set.
type record struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	Header *fileHeader // first record of each file
	Ballot *ballot
	Entry  *entry // replaces the entries from its index on
	Base   bool   // ends what was written before the file got its name; must stay the last field, see zeroTail
}

// fileHeader begins a log file.
type fileHeader struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	Format   int
	Disk     diskID
	Snapshot uint64 // index of the snapshot of the same generation; 0 if there is none
}

const fileFormat = 1

// CorruptError says that a file of the ledger is damaged where a crash cannot
// have damaged it. The voter does not start; it must be removed and added anew
// with an empty disk.
type CorruptError struct {
	File   string
	Offset int
	Issue  string
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("ledger file %q is corrupt at byte %d: %s", e.File, e.Offset, e.Issue)
}

func appendRecord(buf []byte, r record) ([]byte, error) {
	payload, err := msgpack.Marshal(&r)
	if err != nil {
		return nil, fmt.Errorf("ledger record: %w", err)
	}
	return appendFrame(buf, payload), nil
}

func appendFrame(buf, payload []byte) []byte {
	var head [recordHeaderBytes]byte
	binary.BigEndian.PutUint32(head[0:], uint32(len(payload)))
	binary.BigEndian.PutUint32(head[4:], crc32.Checksum(payload, castagnoli))
	binary.BigEndian.PutUint32(head[8:], crc32.Checksum(head[:8], castagnoli))
	buf = append(buf, head[:]...)
	return append(buf, payload...)
}

// frame is the result of reading at one offset.
type frame struct {
	payload []byte
	next    int
	torn    bool   // a crash can have left this; no whole record follows
	issue   string // what is wrong otherwise
}

// readFrame reads the frame at offset. A tail is torn only if the record runs
// past the end of the file, or if all from some byte of it to the end is zero,
// which is what file systems leave of a write that was never synced. Anything
// else may have been synced and acknowledged, and is damage.
func readFrame(data []byte, offset int) frame {
	rest := data[offset:]
	if len(rest) < recordHeaderBytes {
		return frame{torn: true}
	}
	length := int(binary.BigEndian.Uint32(rest[0:]))
	if binary.BigEndian.Uint32(rest[8:]) != crc32.Checksum(rest[:8], castagnoli) {
		return frame{torn: zeroTail(rest, recordHeaderBytes), issue: "checksum of a record's header"}
	}
	if len(rest) < recordHeaderBytes+length {
		return frame{torn: true}
	}
	payload := rest[recordHeaderBytes : recordHeaderBytes+length]
	if binary.BigEndian.Uint32(rest[4:]) != crc32.Checksum(payload, castagnoli) {
		return frame{torn: zeroTail(rest, recordHeaderBytes+length), issue: "checksum of a record"}
	}
	return frame{payload: payload, next: offset + recordHeaderBytes + length}
}

// zeroTail reports whether rest is zero from somewhere inside its first n bytes
// to its end. A whole record never ends so: its last byte is an encoded bool,
// which is not zero.
func zeroTail(rest []byte, n int) bool {
	i := len(rest)
	for i > 0 && rest[i-1] == 0 {
		i--
	}
	return i < n && i < len(rest)
}
