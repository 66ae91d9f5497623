package ledger

import "slices"

// memoryLog is the part of the log after the last compaction.
type memoryLog struct {
	baseIndex uint64 // last entry that was compacted away
	baseTerm  uint64
	entries   []entry // entries[i].Index == baseIndex+1+i
	bytes     int
}

func newMemoryLog(baseIndex, baseTerm uint64, entries []entry) memoryLog {
	l := memoryLog{baseIndex: baseIndex, baseTerm: baseTerm}
	l.append(entries...)
	return l
}

func (l *memoryLog) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *memoryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index, and false if it is not held.
func (l *memoryLog) term(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.at(index).Term, true
}

func (l *memoryLog) at(index uint64) entry { return l.entries[index-l.baseIndex-1] }

// upToDate reports whether a log that ends with an entry of index and term holds
// at least what l holds.
func (l *memoryLog) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.lastIndex()
}

// from returns a copy of the entries from index on, about limit bytes of them
// but at least one.
func (l *memoryLog) from(index uint64, limit int) []entry {
	if index > l.lastIndex() {
		return nil
	}
	rest := l.entries[index-l.baseIndex-1:]
	n := 0
	for size := 0; n < len(rest) && (n == 0 || size+rest[n].size() <= limit); n++ {
		size += rest[n].size()
	}
	return slices.Clone(rest[:n])
}

func (l *memoryLog) append(entries ...entry) {
	l.entries = append(l.entries, entries...)
	for _, e := range entries {
		l.bytes += e.size()
	}
}

// truncate drops the entries from index on.
func (l *memoryLog) truncate(index uint64) {
	keep := index - l.baseIndex - 1
	for _, e := range l.entries[keep:] {
		l.bytes -= e.size()
	}
	l.entries = slices.Clip(l.entries[:keep])
}

// compact drops the entries up to index.
func (l *memoryLog) compact(index uint64) {
	if index <= l.baseIndex {
		return
	}
	term, _ := l.term(index)
	rest := slices.Clone(l.entries[index-l.baseIndex:])
	*l = newMemoryLog(index, term, rest)
}

// matchBefore returns the last index at or before index whose term is at most
// term; a leader that was refused there goes on from it.
func (l *memoryLog) matchBefore(index, term uint64) uint64 {
	index = min(index, l.lastIndex())
	for index > l.baseIndex && l.at(index).Term > term {
		index--
	}
	return index
}
