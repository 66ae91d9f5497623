package quarantine

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bamboostep/bamboostep/internal/seed"
)

func init() { seed.Rapid() }

// The load that the quarantine is for: a caller sends a request that crashes what runs
// it again and again, others are served beside it, and backend servers also crash for
// reasons of their own. Entries hear of crashes late, restart and forget.

const (
	step        = 10 * time.Millisecond
	contact     = 3 * time.Second // after which all entries must know
	crashAfter  = 60 * time.Millisecond
	retriesMost = 3
)

// storm is one run of the model.
type storm struct {
	rng     *rand.Rand
	now     time.Duration
	servers []*simServer
	entries []*simEntry
	voters  []*Table
	news    []simNews
	count   int // requests
	poisons []*simRequest
	others  []*simRequest // under way
	ended   []*simRequest // others that are not
}

type simServer struct {
	address string
	downTo  time.Duration
	runs    map[*simRequest]bool
}

type simEntry struct {
	table *Table
}

// String names the crash in messages of a failed test.
func (c simCrash) String() string { return c.server.address + "@" + c.at.String() }

type simNews struct {
	at      time.Duration
	table   *Table
	records []Record
}

// simCrash is one crash of one backend server.
type simCrash struct {
	server *simServer
	at     time.Duration
}

type simRequest struct {
	number   int
	content  uint64
	poison   bool
	takes    time.Duration // until it has got further
	entry    *simEntry
	server   *simServer
	began    time.Duration
	next     time.Duration // when it is tried or sent again
	left     int           // sends
	tries    int           // left of this send
	attempts int
	gap      time.Duration // between sends

	crashes []simCrash
	alone   int // crashes without a poison since it last got further
	reached []time.Duration
	done    bool
	refused int           // sends that were refused
	longest time.Duration // that a refusal told it to wait
}

func (s *storm) wall() time.Time { return time.UnixMilli(1_700_000_000_000).Add(s.now) }

func (s *storm) entry() *simEntry { return s.entries[s.rng.IntN(len(s.entries))] }

// tell brings records to all voters, and from there to all entries.
func (s *storm) tell(records []Record) {
	for _, v := range s.voters {
		s.news = append(s.news, simNews{s.now + s.delay(), v, records})
	}
}

func (s *storm) delay() time.Duration { return time.Duration(5+s.rng.IntN(150)) * time.Millisecond }

// deliver takes in the news that are due. Voters tell entries of suspects.
func (s *storm) deliver() {
	var later []simNews
	due := s.news
	s.news = nil
	for _, n := range due {
		if n.at > s.now {
			later = append(later, n)
			continue
		}
		n.table.Note(s.wall(), n.records)
		if slices.Contains(s.voters, n.table) {
			reply, _ := n.table.since(0)
			for _, e := range s.entries {
				e.table.NoteCrashes(reply.Crashes)
				s.news = append(s.news, simNews{s.now + s.delay(), e.table, reply.Records})
			}
		}
	}
	s.news = append(s.news, later...)
}

// crash ends a backend server with all that runs there.
func (s *storm) crash(v *simServer, guilty bool) {
	v.downTo = s.now + time.Duration(1500+s.rng.IntN(2500))*time.Millisecond
	told := make(map[*simEntry][]Record)
	for _, r := range slices.SortedFunc(maps.Keys(v.runs), func(a, b *simRequest) int { return cmp.Compare(a.number, b.number) }) {
		told[r.entry] = append(told[r.entry], Record{Content: r.content, Crashes: []Crash{{Address: v.address, At: s.wall().UnixMilli()}}})
		r.server = nil
		r.crashes = append(r.crashes, simCrash{v, s.now})
		if !guilty {
			r.alone++
		}
		r.next = s.now + 5*time.Millisecond
		r.tries--
	}
	clear(v.runs)
	for _, e := range s.entries {
		if records := told[e]; records != nil {
			e.table.Note(s.wall(), records)
			s.tell(records)
		}
	}
}

// choose returns the backend server that all entries would choose, or any one for a
// suspect.
func (s *storm) choose(apart bool) *simServer {
	var up []*simServer
	for _, v := range s.servers {
		if s.now >= v.downTo {
			up = append(up, v)
		}
	}
	if len(up) == 0 {
		return nil
	}
	if apart {
		return up[s.rng.IntN(len(up))]
	}
	best := up[0]
	for _, v := range up {
		if len(v.runs) < len(best.runs) {
			best = v
		}
	}
	return best
}

// advanceAll moves all requests on by a step.
func (s *storm) advanceAll() {
	for _, r := range s.poisons {
		s.advance(r)
	}
	for _, r := range s.others {
		s.advance(r)
	}
	for _, r := range s.others {
		if r.done {
			s.ended = append(s.ended, r)
		}
	}
	s.others = slices.DeleteFunc(s.others, func(r *simRequest) bool { return r.done })
}

// advance moves one request on by a step.
func (s *storm) advance(r *simRequest) {
	switch {
	case r.done:
	case r.server != nil && r.poison:
		if s.now-r.began >= crashAfter {
			s.crash(r.server, true)
		}
	case r.server != nil:
		if s.now-r.began >= r.takes {
			s.pass(r)
		}
	case s.now >= r.next:
		s.try(r)
	}
}

func (s *storm) pass(r *simRequest) {
	delete(r.server.runs, r)
	r.server, r.done = nil, true
	if passed, ok := r.entry.table.Passed(s.wall(), r.content); ok {
		s.tell([]Record{passed})
	}
}

// try sends the request to a backend server, or ends this send of it.
func (s *storm) try(r *simRequest) {
	if r.tries <= 0 {
		s.sendAgain(r)
		return
	}
	verdict := r.entry.table.Judge(s.wall(), r.content)
	if verdict.Trial && !verdict.Refused && r.tries == r.attempts && !s.mayTry(r.content) {
		verdict.Refused, verdict.RetryAfter = true, trialTime
	}
	if verdict.Refused {
		r.refused++
		r.longest = max(r.longest, verdict.RetryAfter)
		s.sendAgain(r)
		return
	}
	if verdict.Apart && s.now < r.next+time.Duration(r.content%7)*50*time.Millisecond {
		return // its random delay
	}
	v := s.choose(verdict.Apart)
	if v == nil {
		r.next = s.now + 50*time.Millisecond
		return
	}
	r.server, r.began = v, s.now
	r.reached = append(r.reached, s.now)
	v.runs[r] = true
}

// mayTry asks the voters whether one more may try.
func (s *storm) mayTry(content uint64) bool {
	granted := 0
	for _, v := range s.voters {
		if v.grant(s.wall(), content) {
			granted++
		}
	}
	return granted > len(s.voters)/2
}

// sendAgain has the caller send the request again, at any entry.
func (s *storm) sendAgain(r *simRequest) {
	r.left--
	if r.left <= 0 {
		r.done = true
		return
	}
	r.entry, r.tries, r.next = s.entry(), r.attempts, s.now+r.gap
}

func (s *storm) add(content uint64, poison bool, sends, attempts int, gap time.Duration) *simRequest {
	s.count++
	r := &simRequest{number: s.count, content: content, poison: poison, left: sends, tries: attempts, attempts: attempts, gap: gap,
		entry: s.entry(), next: s.now, takes: time.Duration(60+s.rng.IntN(600)) * time.Millisecond}
	if poison {
		s.poisons = append(s.poisons, r)
	} else {
		s.others = append(s.others, r)
	}
	return r
}

func newStorm(t *rapid.T) *storm {
	s := &storm{rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))}
	for i := range rapid.IntRange(2, 12).Draw(t, "servers") {
		s.servers = append(s.servers, &simServer{address: fmt.Sprint(i), runs: make(map[*simRequest]bool)})
	}
	for range rapid.IntRange(1, 6).Draw(t, "entries") {
		s.entries = append(s.entries, &simEntry{&Table{}})
	}
	for range rapid.IntRange(1, 3).Draw(t, "voters") {
		s.voters = append(s.voters, &Table{})
	}
	return s
}

// restart has an entry forget all that it knows, and ask a voter.
func (s *storm) restart() {
	e := s.entry()
	reply, _ := s.voters[s.rng.IntN(len(s.voters))].since(0)
	e.table = &Table{}
	e.table.Note(s.wall(), reply.Records)
}

// TestStormOfCrashes guards against issue 20 under load: what
// is to blame stops within the bound, and nobody beside it is refused for it.
func TestStormOfCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStorm(t)
		for i := range rapid.IntRange(0, 2).Draw(t, "poisons") {
			for range rapid.IntRange(1, 5).Draw(t, "callers that send it") {
				s.add(uint64(1+i), true, rapid.IntRange(1, 30).Draw(t, "sends"), rapid.IntRange(1, 3).Draw(t, "attempts"),
					time.Duration(rapid.IntRange(10, 1500).Draw(t, "gap"))*time.Millisecond)
			}
		}
		own := rapid.IntRange(0, 8).Draw(t, "crashes in ten seconds of other causes")
		arrivals := rapid.IntRange(1, 60).Draw(t, "others in a second")
		attempts := rapid.IntRange(1, 3).Draw(t, "attempts of others")
		content := uint64(100)
		for ; s.now < 25*time.Second; s.now += step {
			s.deliver()
			if s.rng.Float64() < float64(own)/10*step.Seconds() {
				s.crash(s.servers[s.rng.IntN(len(s.servers))], false)
			}
			if s.rng.Float64() < 0.1*step.Seconds() {
				s.restart()
			}
			if s.now < 15*time.Second && s.rng.Float64() < float64(arrivals)*step.Seconds() {
				content++
				s.add(content, false, 2, attempts, 300*time.Millisecond)
			}
			s.advanceAll()
		}
		s.check(t)
	})
}

// mostRefused is how long a request beside one to blame may be refused at a time, by
// the crashes that it was at itself.
func mostRefused(crashes int) time.Duration {
	switch {
	case crashes < refuseCrashes:
		return 0
	case crashes == refuseCrashes:
		return time.Minute
	case crashes < certainCrashes:
		return 15 * time.Minute
	}
	return 36 * time.Hour
}

func (s *storm) check(t *rapid.T) {
	crashes, reached := make(map[uint64][]simCrash), make(map[uint64][]time.Duration)
	for _, r := range s.poisons {
		crashes[r.content] = append(crashes[r.content], r.crashes...)
		reached[r.content] = append(reached[r.content], r.reached...)
	}
	for content, at := range crashes {
		slices.SortFunc(at, func(a, b simCrash) int {
			return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.server.address, b.server.address))
		})
		at = slices.Compact(at)
		if len(at) < refuseCrashes {
			continue
		}
		known := at[refuseCrashes-1].at + contact
		late := 0
		for _, sent := range reached[content] {
			if sent > known {
				late++
			}
		}
		if late > retriesMost {
			t.Errorf("request that crashes what runs it: got %d retries later than %v after the third crash (crashes %v, sent at %v), want at most %d", late, contact, at, reached[content], retriesMost)
		}
	}
	for _, r := range slices.Concat(s.others, s.ended) {
		if want := mostRefused(len(r.crashes)); r.longest > want {
			t.Errorf("request beside it: refused for %v after crashes at %v, want %v at most", r.longest, r.crashes, want)
		}
	}
}
