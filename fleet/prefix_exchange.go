package fleet

// Exchange of cached prefixes between entries. Each entry sees only a few of the prompts
// with a common prefix, so it does not know by itself which engines have that prefix
// cached. An entry tells an engine's holder which prefixes it has had read there, and the
// holder forwards them to all its subscribers.

// PromptPrefix is a prompt prefix that an engine has read and is assumed to have cached.
type PromptPrefix struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	Hash   uint64 // of the model, the adapter and the prompt parts; see NewPrompt
	Tokens int    // length of the prefix
}

const (
	maxNewPrefixes  = 64   // limit of prefixes queued for one holder
	minSharedTokens = 1024 // shorter prefixes are not worth sending
)

// recordPrefill records that an engine has read the prompt of r. If the shared prefix is
// new for that engine, it is queued for its holder. f.mu is held.
func (f *Fleet) recordPrefill(r *Assignment) {
	s, shared := r.server, r.prompt.shared
	if shared.Tokens >= minSharedTokens && !s.prefixes.has(shared.Hash) && len(s.newPrefixes) < maxNewPrefixes {
		s.newPrefixes = append(s.newPrefixes, shared)
		select {
		case f.prefixesReady <- struct{}{}:
		default:
		}
	}
	s.prefixes.addPrompt(r.prompt)
}

// PrefixesReady returns a channel that receives a value when TakeNewPrefixes has something to return.
func (f *Fleet) PrefixesReady() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	return f.prefixesReady
}

// TakeNewPrefixes returns the prefixes that engines have read for this entry since the previous
// call, keyed by the address of the engine.
func (f *Fleet) TakeNewPrefixes() map[string][]PromptPrefix {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	prefixes := make(map[string][]PromptPrefix)
	for _, s := range f.servers {
		if len(s.newPrefixes) > 0 {
			prefixes[s.listing.Address] = s.newPrefixes
			s.newPrefixes = nil
		}
	}
	return prefixes
}

// AddCachedPrefixes records prefixes that the holder of the engine at address reports as read.
func (f *Fleet) AddCachedPrefixes(address string, prefixes []PromptPrefix) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	if s := f.byAddress[address]; s != nil {
		s.addCachedPrefixes(prefixes)
	}
}

// addCachedPrefixes records prefixes that a holder reports.
func (s *server) addCachedPrefixes(prefixes []PromptPrefix) {
	for _, p := range prefixes {
		s.prefixes.add(p)
	}
}
