package fleet

// News of what engines keep. Each entry sees only a few of the prompts with one
// beginning, so by itself it does not know on which engines that has been read. It tells
// the holder of an engine which beginnings it has had read there, and the holder
// tells all who follow it.

// KeptPart is the beginning of a prompt that an engine has read.
type KeptPart struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	Hash   uint64 // of the model, the adapter and the parts
	Tokens int
}

const (
	maxNews    = 64   // beginnings told about one engine at a time
	leastShare = 1024 // tokens of a beginning that is worth telling
)

// noteRead remembers that an engine has read a prompt, and what is news of it.
func (f *Fleet) noteRead(r *Run) {
	s := r.server
	if beginning, ok := sharedPart(r); ok && s.parts.chains[beginning.Hash] == nil && len(s.news) < maxNews {
		s.news = append(s.news, beginning)
		select {
		case f.hasNews <- struct{}{}:
		default:
		}
	}
	s.parts.note(r.hashes, r.prompt)
}

// HasNews returns a channel that gets a value when TakeNews has something.
func (f *Fleet) HasNews() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	return f.hasNews
}

// sharedPart returns all of a prompt but its last part, which is its own.
func sharedPart(r *Run) (KeptPart, bool) {
	if len(r.hashes) < 2 {
		return KeptPart{}, false
	}
	last := len(r.prompt) - 1
	tokens := 0
	for _, part := range r.prompt[:last] {
		tokens += part.Tokens
	}
	return KeptPart{Hash: r.hashes[last-1], Tokens: tokens}, tokens >= leastShare
}

// TakeNews returns the beginnings that this entry has had read since the last call, by
// address of the engine.
func (f *Fleet) TakeNews() map[string][]KeptPart {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	news := make(map[string][]KeptPart)
	for _, s := range f.servers {
		if len(s.news) > 0 {
			news[s.listing.Address] = s.news
			s.news = nil
		}
	}
	return news
}

// NoteKept takes a holder's news of what its engine has read.
func (f *Fleet) NoteKept(address string, kept []KeptPart) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	if s := f.byAddress[address]; s != nil {
		s.noteKept(kept)
	}
}

// noteKept takes the beginnings that an engine keeps by the word of its holder.
func (s *server) noteKept(kept []KeptPart) {
	for _, part := range kept {
		s.parts.noteOne(part.Hash, part.Tokens)
	}
}
