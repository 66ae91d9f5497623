package backend

import "github.com/bamboostep/bamboostep"

// output is the answer of one attempt that the entry has not acknowledged yet.
type output struct {
	pieces []bamboostep.Answer
	base   int64 // offset of the first piece kept
	end    int64 // bytes produced so far
	bytes  int   // bytes kept
	gone   bool  // dropped before its end was fetched
	all    *int  // bytes kept of all attempts
}

// keep notes a change of the bytes kept.
func (o *output) keep(change int) {
	o.bytes += change
	*o.all += change
}

// add appends a piece, sets its offset and returns it.
func (o *output) add(a bamboostep.Answer) bamboostep.Answer {
	a.Offset = o.end
	o.end += int64(len(a.Data))
	o.keep(len(a.Data))
	o.pieces = append(o.pieces, a)
	return a
}

// acked drops the pieces that end at or before offset, except the last one of
// the answer and those without data at offset, which an entry can still need.
func (o *output) acked(offset int64) {
	n := 0
	for n < len(o.pieces) && o.passed(o.pieces[n], offset) {
		o.keep(-len(o.pieces[n].Data))
		n++
	}
	o.pieces = o.pieces[n:]
	o.base = o.end - int64(o.bytes)
}

func (o *output) passed(a bamboostep.Answer, offset int64) bool {
	end := a.Offset + int64(len(a.Data))
	if a.Last || end > offset {
		return false
	}
	return len(a.Data) > 0 || end < offset
}

// drop forgets all output.
func (o *output) drop() {
	o.pieces = nil
	o.keep(-o.bytes)
	o.gone = true
	o.base = o.end
}
