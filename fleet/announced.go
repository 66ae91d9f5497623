package fleet

import "time"

// Announcements of prompts. All entries choose by the same reports, and an engine's report is
// some tenths of a second old, so without more they would all send their prompts to the same
// engine until the next one. An entry therefore tells an engine's holder how many prompt
// tokens it has there that wait for their first event, and the holder tells its subscribers
// what the other entries have there. The engine is not asked for it.
//
// An announcement states the present number, not a change of it, so that one that is lost is
// made good by the next, and the end of a connection ends what was announced over it. Both
// ways are bounded: an entry announces only a change that takes an engine longer than the
// messages do, and a holder tells of a rise at once, but of a fall only when it pushes anyway.

const (
	minAnnouncedTokens = 1024        // change of the pending prompt tokens that is worth a message
	announcedMaxAge    = time.Second // of a report, with which what a holder told counts: twice the time between two of a living holder
)

// announcement is what an entry and an engine's holder have told each other on prompts.
type announcement struct {
	pending int  // prompt tokens of this entry's requests that wait for their first event
	told    int  // pending as last told to the holder
	others  int  // pending tokens of the other entries, as the holder told
	known   bool // the holder has told since it was reached
}

// usable reports whether others counts at now: the holder of s has told it and is still heard of.
func (a *announcement) usable(now time.Time, s *server) bool {
	return a.known && !s.reportAt.IsZero() && now.Sub(s.reportAt) <= announcedMaxAge
}

// othersTokens returns the pending tokens of the other entries, or -1 if they are unknown.
func (a *announcement) othersTokens(now time.Time, s *server) int {
	if !a.usable(now, s) {
		return -1
	}
	return a.others
}

// due reports whether the holder should be told of pending.
func (a *announcement) due() bool {
	change := max(a.pending-a.told, a.told-a.pending)
	return change >= minAnnouncedTokens || a.pending == 0 && a.told != 0
}

// addPending adds tokens to those that wait for their first event at s, and queues an
// announcement if one is due. f.mu is held.
func (f *Fleet) addPending(s *server, tokens int) {
	s.announcement.pending += tokens
	if s.removed || !s.announcement.due() {
		return
	}
	f.unannounced[s] = true
	select {
	case f.announcementsReady <- struct{}{}:
	default:
	}
}

// AnnouncementsReady returns a channel that receives a value when TakeAnnouncements has
// something to return.
func (f *Fleet) AnnouncementsReady() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	return f.announcementsReady
}

// TakeAnnouncements returns what the holders of engines should be told now, keyed by the
// address of the engine, and counts it as told.
func (f *Fleet) TakeAnnouncements() map[string]SentUpdate {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	updates := make(map[string]SentUpdate, len(f.unannounced))
	for s := range f.unannounced {
		if s.announcement.due() {
			s.announcement.told = s.announcement.pending
			updates[s.listing.Address] = SentUpdate{Tokens: s.announcement.told}
		}
	}
	clear(f.unannounced)
	return updates
}

// ApplySent records the prompt tokens that other entries have at the engine at address, as
// its holder tells.
func (f *Fleet) ApplySent(address string, u SentUpdate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	if s := f.byAddress[address]; s != nil {
		s.announcement.others, s.announcement.known = u.Tokens, true
	}
}

// ResetSent forgets what was announced to and by the holder of the engine at address, whose
// connection has ended or is new.
func (f *Fleet) ResetSent(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	if s := f.byAddress[address]; s != nil {
		s.announcement = announcement{pending: s.announcement.pending}
		f.addPending(s, 0)
	}
}
