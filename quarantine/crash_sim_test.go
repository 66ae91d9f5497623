package quarantine

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"
)

// A simulation of the load that the quarantine handles: callers keep resending requests that
// crash their backend server, other requests run beside them, and backend servers also
// crash for unrelated reasons. Entries receive records with a delay and lose them in
// restarts.

const (
	simStep         = 10 * time.Millisecond
	propagationTime = 3 * time.Second       // after this time all entries must know of a crash
	timeToCrash     = 60 * time.Millisecond // from the dispatch of a culprit to its crash
	maxLateRetries  = 3
)

// crashSim is one run of the simulation.
type crashSim struct {
	rng            *rand.Rand
	now            time.Duration
	servers        []*simServer
	entries        []*simEntry
	voters         []*Table
	messages       []simMessage  // in transit
	requestCount   int           // number of requests added so far
	culprits       []*simRequest // requests that crash every backend server
	innocents      []*simRequest // other requests, running or to be resent
	endedInnocents []*simRequest
}

type simServer struct {
	address   string
	downUntil time.Duration
	running   map[*simRequest]bool
}

type simEntry struct {
	table *Table
}

// String names the crash in messages of a failed test.
func (c simCrash) String() string { return c.server.address + "@" + c.at.String() }

// simMessage is a message with observations on its way to a voter or an entry.
type simMessage struct {
	deliverAt    time.Duration
	receiver     *Table
	observations Observations
}

// simCrash is one crash of one backend server.
type simCrash struct {
	server *simServer
	at     time.Duration
}

type simRequest struct {
	number          int
	fingerprint     uint64
	parts           []uint64 // of its prompt, that others may share
	culprit         bool
	crashingPart    uint64 // of parts, for a culprit that crashes backend servers for it
	timeToComplete  time.Duration
	sentAt          time.Duration // for the first time
	entry           *simEntry
	server          *simServer
	startedAt       time.Duration
	nextTryAt       time.Duration // time of the next attempt or send
	sendsLeft       int
	attemptsLeft    int // of this send
	attemptsPerSend int
	sendInterval    time.Duration

	crashes        []simCrash
	alone          int // crashes without a culprit
	dispatchedAt   []time.Duration
	done           bool
	refused        int           // sends that were refused
	refusedForPart int           // of those, for a part of the prompt
	maxRetryAfter  time.Duration // longest RetryAfter of a refusal
}

func (s *crashSim) wallTime() time.Time { return time.UnixMilli(1_700_000_000_000).Add(s.now) }

func (s *crashSim) randomEntry() *simEntry { return s.entries[s.rng.IntN(len(s.entries))] }

// sendToVoters sends observations to all voters, which forward them to all entries.
func (s *crashSim) sendToVoters(o Observations) {
	for _, v := range s.voters {
		s.messages = append(s.messages, simMessage{s.now + s.netDelay(), v, o})
	}
}

func (s *crashSim) netDelay() time.Duration {
	return time.Duration(5+s.rng.IntN(150)) * time.Millisecond
}

// deliver processes the messages that are due. Voters then send their suspects to all
// entries.
func (s *crashSim) deliver() {
	var undelivered []simMessage
	due := s.messages
	s.messages = nil
	for _, m := range due {
		if m.deliverAt > s.now {
			undelivered = append(undelivered, m)
			continue
		}
		m.receiver.Merge(s.wallTime(), m.observations.Records)
		m.receiver.MergeParts(s.wallTime(), m.observations.Parts)
		if slices.Contains(s.voters, m.receiver) {
			reply, _ := m.receiver.changesSince(0)
			for _, e := range s.entries {
				e.table.MergeCrashes(reply.Crashes)
				s.messages = append(s.messages, simMessage{s.now + s.netDelay(), e.table, Observations{reply.Records, reply.Parts}})
			}
		}
	}
	s.messages = append(s.messages, undelivered...)
}

// crash crashes a backend server and interrupts all requests on it. The entries of these
// observe the crash.
func (s *crashSim) crash(v *simServer, byCulprit bool) {
	v.downUntil = s.now + time.Duration(1500+s.rng.IntN(2500))*time.Millisecond
	observed := make(map[*simEntry][]interruption)
	for _, r := range slices.SortedFunc(maps.Keys(v.running), func(a, b *simRequest) int { return cmp.Compare(a.number, b.number) }) {
		observed[r.entry] = append(observed[r.entry], interruption{content: Content{r.fingerprint, r.parts}})
		r.server = nil
		r.crashes = append(r.crashes, simCrash{v, s.now})
		if !byCulprit {
			r.alone++
		}
		r.nextTryAt = s.now + 5*time.Millisecond
		r.attemptsLeft--
	}
	clear(v.running)
	for _, e := range s.entries {
		if interrupted := observed[e]; interrupted != nil {
			o := e.table.crashObservations(s.wallTime(), v.address, s.wallTime(), interrupted)
			e.table.Merge(s.wallTime(), o.Records)
			e.table.MergeParts(s.wallTime(), o.Parts)
			s.sendToVoters(o)
		}
	}
}

// chooseServer returns the least busy running backend server, which is the same for all
// entries, or a random one if apart is set. It returns nil if all are down.
func (s *crashSim) chooseServer(apart bool) *simServer {
	var up []*simServer
	for _, v := range s.servers {
		if s.now >= v.downUntil {
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
		if len(v.running) < len(best.running) {
			best = v
		}
	}
	return best
}

// advanceAll advances all requests by one step.
func (s *crashSim) advanceAll() {
	for _, r := range s.culprits {
		s.advance(r)
	}
	for _, r := range s.innocents {
		s.advance(r)
	}
	for _, r := range s.innocents {
		if r.done {
			s.endedInnocents = append(s.endedInnocents, r)
		}
	}
	s.innocents = slices.DeleteFunc(s.innocents, func(r *simRequest) bool { return r.done })
}

// advance advances one request by one step.
func (s *crashSim) advance(r *simRequest) {
	switch {
	case r.done:
	case r.server != nil && r.culprit:
		if s.now-r.startedAt >= timeToCrash {
			s.crash(r.server, true)
		}
	case r.server != nil:
		if s.now-r.startedAt >= r.timeToComplete {
			s.complete(r)
		}
	case s.now >= r.nextTryAt:
		s.dispatch(r)
	}
}

// complete ends a request successfully and clears it and the parts of its prompt.
func (s *crashSim) complete(r *simRequest) {
	delete(r.server.running, r)
	r.server, r.done = nil, true
	var o Observations
	if cleared, ok := r.entry.table.Clear(s.wallTime(), r.fingerprint); ok {
		o.Records = []Record{cleared}
	}
	if o.Parts = r.entry.table.ClearParts(s.wallTime(), r.parts); !o.empty() {
		s.sendToVoters(o)
	}
}

// dispatch runs the request on a backend server if its verdict allows it, or ends this send
// of it if it is refused or has no attempts left.
func (s *crashSim) dispatch(r *simRequest) {
	if r.attemptsLeft <= 0 {
		s.resend(r)
		return
	}
	verdict := (&Guard{Table: r.entry.table}).Evaluate(s.wallTime(), Content{r.fingerprint, r.parts})
	if verdict.Trial && !verdict.Refused && r.attemptsLeft == r.attemptsPerSend && !s.trialGranted(verdict.suspect(r.fingerprint)) {
		verdict.Refused, verdict.RetryAfter = true, trialDuration
	}
	if verdict.Refused {
		r.refused++
		if verdict.Part != 0 {
			r.refusedForPart++
		}
		r.maxRetryAfter = max(r.maxRetryAfter, verdict.RetryAfter)
		s.resend(r)
		return
	}
	if verdict.Isolated && s.now < r.nextTryAt+time.Duration(r.fingerprint%7)*50*time.Millisecond {
		return // stands for the random delay of an isolated request
	}
	v := s.chooseServer(verdict.Isolated)
	if v == nil {
		r.nextTryAt = s.now + 50*time.Millisecond
		return
	}
	r.server, r.startedAt = v, s.now
	r.dispatchedAt = append(r.dispatchedAt, s.now)
	v.running[r] = true
}

// trialGranted reports whether a majority of the voters grants a trial.
func (s *crashSim) trialGranted(id SuspectID) bool {
	token := s.rng.Uint64()
	granted := 0
	for _, v := range s.voters {
		if v.grantTrial(s.wallTime(), id, token) {
			granted++
		}
	}
	if granted > len(s.voters)/2 {
		return true
	}
	for _, v := range s.voters {
		v.releaseTrial(id, token)
	}
	return false
}

// resend makes the caller send the request again to a random entry, if it has sends left.
func (s *crashSim) resend(r *simRequest) {
	r.sendsLeft--
	if r.sendsLeft <= 0 {
		r.done = true
		return
	}
	r.entry, r.attemptsLeft, r.nextTryAt = s.randomEntry(), r.attemptsPerSend, s.now+r.sendInterval
}

func (s *crashSim) addRequest(fingerprint uint64, culprit bool, sends, attempts int, interval time.Duration) *simRequest {
	s.requestCount++
	r := &simRequest{number: s.requestCount, fingerprint: fingerprint, culprit: culprit, sendsLeft: sends, attemptsLeft: attempts, attemptsPerSend: attempts, sendInterval: interval,
		entry: s.randomEntry(), sentAt: s.now, nextTryAt: s.now, timeToComplete: time.Duration(60+s.rng.IntN(600)) * time.Millisecond}
	if culprit {
		s.culprits = append(s.culprits, r)
	} else {
		s.innocents = append(s.innocents, r)
	}
	return r
}

func newCrashSim(t *rapid.T) *crashSim {
	s := &crashSim{rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))}
	for i := range rapid.IntRange(2, 12).Draw(t, "servers") {
		s.servers = append(s.servers, &simServer{address: fmt.Sprint(i), running: make(map[*simRequest]bool)})
	}
	for range rapid.IntRange(1, 6).Draw(t, "entries") {
		s.entries = append(s.entries, &simEntry{&Table{}})
	}
	for range rapid.IntRange(1, 3).Draw(t, "voters") {
		s.voters = append(s.voters, &Table{})
	}
	return s
}

// restartEntry replaces the table of a random entry by what one voter sends.
func (s *crashSim) restartEntry() {
	e := s.randomEntry()
	reply, _ := s.voters[s.rng.IntN(len(s.voters))].changesSince(0)
	e.table = &Table{}
	e.table.Merge(s.wallTime(), reply.Records)
	e.table.MergeParts(s.wallTime(), reply.Parts)
}

// distinctCrashes returns the crashes in order, each once.
func distinctCrashes(list []simCrash) []simCrash {
	slices.SortFunc(list, func(a, b simCrash) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.server.address, b.server.address))
	})
	return slices.Compact(list)
}
