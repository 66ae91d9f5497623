package backend

import "github.com/bamboostep/bamboostep"

// verdict says what to do with a piece of an answer.
type verdict int

const (
	pieceDropped verdict = iota // belongs elsewhere, or was taken before
	pieceTaken
	pieceGap // pieces before it are missing: ask again from the offset
)

// stream is an entry's end of one attempt's answer. It is pure. It takes a piece
// only where the piece continues what it has, so that whatever frames are lost,
// repeated, late or swapped, the pieces taken are a prefix of the answer. The
// first piece of an answer, and no other, carries the HTTP status.
type stream struct {
	attempt bamboostep.AttemptID
	offset  int64 // bytes taken
	header  bool  // the first piece was taken
	whole   bool  // the last piece was taken
	asked   bool  // asked again from offset since the last piece was taken
	acked   int64
}

// take judges a piece and moves the stream past it if it is taken.
func (s *stream) take(a bamboostep.Answer) verdict {
	if a.Attempt != s.attempt || s.whole || a.Offset < s.offset {
		return pieceDropped
	}
	first := a.Status != 0
	if a.Offset > s.offset || (!first && !s.header) {
		return pieceGap
	}
	if first && s.header {
		return pieceDropped
	}
	if !first && len(a.Data) == 0 && !a.Last {
		return pieceDropped
	}
	s.offset += int64(len(a.Data))
	s.header = true
	s.whole = a.Last
	s.asked = false
	return pieceTaken
}

// ask reports whether to ask for the answer from the offset on, once until
// another piece is taken.
func (s *stream) ask() bool {
	again := s.asked
	s.asked = true
	return !again
}

// ackDue reports whether the agent should hear how far the stream has come.
func (s *stream) ackDue() bool {
	if s.offset-s.acked < ackEvery {
		return false
	}
	s.acked = s.offset
	return true
}

// outcome says whether the attempt ran, when nothing else is known of it.
func (s *stream) outcome() bamboostep.Outcome {
	if s.header {
		return bamboostep.Ran
	}
	return bamboostep.Unknown
}
