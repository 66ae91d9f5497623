package ledger

import (
	"container/heap"
	_ "embed"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/chart"
)

// Claims. A name is held by one attempt from its claim until it is settled. What
// they take is bounded:
//
//   - At most maxClaims names are taken. When no more fit, new claims are refused
//     (claims_full), which the caller hears as not run: to drop a name early
//     would let a request run twice.
//   - Only names whose request did not end for sure (held by an entry that died,
//     or unknown) and that are older than staleAfter make room for new ones then.
//   - An answer over maxAnswerBytes, or one that does not fit into
//     maxAnswersBytes for all, is not kept. The name stays taken all the same,
//     and its Settlement then says Ran with a Status of 0.

const (
	maxClaims       = 1 << 16
	maxAnswerBytes  = 64 << 10
	maxAnswersBytes = 8 << 20
	staleAfter      = 30 * 24 * time.Hour // ledger time
	maxNotRun       = 1024                // attempts that ended as not run and are remembered
)

//go:embed claim.toml
var claimText []byte

var claimChart = chart.MustParse(claimText)

const (
	claimFree    chart.State = "free"
	claimHeld    chart.State = "held"
	claimUnknown chart.State = "unknown"
	claimRan     chart.State = "ran"
)

// claimEntry is one taken name. It is immutable, so that a frozen table may share
// it.
type claimEntry struct {
	Name       string                `msgpack:"name"`
	State      chart.State           `msgpack:"state"`
	Attempt    bamboostep.AttemptID  `msgpack:"attempt"`
	Keep       time.Duration         `msgpack:"keep"`
	Since      time.Duration         `msgpack:"since"` // ledger time of the claim
	Until      time.Duration         `msgpack:"until"` // when a settled name is freed, ledger time
	Settlement bamboostep.Settlement `msgpack:"settlement"`
}

func (e *claimEntry) bytes() int {
	n := len(e.Settlement.Body)
	for k, values := range e.Settlement.Header {
		n += len(k)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

type claimTable struct {
	taken  map[string]*claimEntry
	expiry expiryHeap    // of settled names
	bytes  int           // of kept answers
	notRun memory        // attempts that ended as not run
	noRoom time.Duration // no name is stale before this ledger time
}

func newClaimTable() *claimTable {
	return &claimTable{taken: make(map[string]*claimEntry), notRun: newMemory(maxNotRun)}
}

// claim reserves a name, or says who has it.
func (t *claimTable) claim(c bamboostep.Claim, now time.Duration) result {
	if _, ended := t.notRun.find(attemptKey(c.Name, c.Attempt)); ended {
		s := bamboostep.Settlement{Name: c.Name, Attempt: c.Attempt, Outcome: bamboostep.NotRun}
		return claimAnswer(bamboostep.ClaimSettled, c.Attempt, s)
	}
	e, taken := t.taken[c.Name]
	if !taken {
		if len(t.taken) >= maxClaims && !t.makeRoom(now) {
			return result{Refused: refusedClaimsFull, Detail: fmt.Sprintf("%d names are taken", len(t.taken))}
		}
		e = &claimEntry{Name: c.Name, State: claimHeld, Attempt: c.Attempt, Keep: c.Retention, Since: now}
		t.taken[c.Name] = e
	}
	switch {
	case e.State == claimHeld && e.Attempt == c.Attempt:
		return claimAnswer(bamboostep.ClaimGranted, e.Attempt, bamboostep.Settlement{})
	case e.State == claimHeld:
		return claimAnswer(bamboostep.ClaimHeld, e.Attempt, bamboostep.Settlement{})
	}
	return claimAnswer(bamboostep.ClaimSettled, e.Attempt, e.Settlement)
}

func claimAnswer(state bamboostep.ClaimState, holder bamboostep.AttemptID, s bamboostep.Settlement) result {
	return result{Claim: bamboostep.ClaimResult{State: state, Holder: holder, Settlement: s}}
}

// settle records how the holder of a name ended. Only the holder may.
func (t *claimTable) settle(s bamboostep.Settlement, now time.Duration) result {
	e, taken := t.taken[s.Name]
	if !taken || e.Attempt != s.Attempt {
		return t.settleOther(s, e)
	}
	next, err := claimChart.Next(e.State, chart.Event(s.Outcome))
	if err != nil {
		return result{Refused: refusedNotHolder, Detail: err.Error()}
	}
	switch {
	case next == claimFree:
		t.free(e)
		t.rememberNotRun(s)
	case e.State == claimRan:
		// Sent again: the first answer stays.
	default:
		t.replace(e, next, s, now)
	}
	return result{}
}

// replace puts the settled entry in the place of e, without the answer if that is
// too long to be kept.
func (t *claimTable) replace(e *claimEntry, next chart.State, s bamboostep.Settlement, now time.Duration) {
	t.bytes -= e.bytes()
	settled := *e
	settled.State, settled.Settlement = next, s
	if n := settled.bytes(); n > maxAnswerBytes || t.bytes+n > maxAnswersBytes {
		settled.Settlement = bamboostep.Settlement{Name: s.Name, Attempt: s.Attempt, Outcome: s.Outcome}
	}
	if next == claimRan {
		settled.Until = now + max(e.Keep, 1)
		heap.Push(&t.expiry, expiryItem{settled.Until, e.Name})
	}
	t.bytes += settled.bytes()
	t.taken[e.Name] = &settled
}

// settleOther takes the settlement of an attempt that does not hold the name.
// One that did not run is remembered, so that its claim, arriving late, is not
// granted.
func (t *claimTable) settleOther(s bamboostep.Settlement, e *claimEntry) result {
	if s.Outcome == bamboostep.NotRun {
		t.rememberNotRun(s)
		return result{}
	}
	if e == nil {
		return result{Refused: refusedNotHolder, Detail: fmt.Sprintf("name %q is not taken", s.Name)}
	}
	return result{Refused: refusedNotHolder, Detail: fmt.Sprintf("name %q is held by attempt %q", s.Name, e.Attempt)}
}

func (t *claimTable) rememberNotRun(s bamboostep.Settlement) {
	key := attemptKey(s.Name, s.Attempt)
	if _, known := t.notRun.find(key); !known {
		t.notRun.add(key, result{})
	}
}

func attemptKey(name string, attempt bamboostep.AttemptID) string {
	return fmt.Sprintf("%q %q", name, attempt)
}

func (t *claimTable) free(e *claimEntry) {
	t.bytes -= e.bytes()
	delete(t.taken, e.Name)
}

// expire frees the settled names whose time has passed.
func (t *claimTable) expire(now time.Duration) {
	for len(t.expiry) > 0 && t.expiry[0].until <= now {
		item := heap.Pop(&t.expiry).(expiryItem)
		if e, ok := t.taken[item.name]; ok && e.State == claimRan && e.Until == item.until {
			t.free(e)
		}
	}
}

// makeRoom frees the oldest name that was never settled for sure, if it is stale.
func (t *claimTable) makeRoom(now time.Duration) bool {
	if now < t.noRoom {
		return false
	}
	var oldest *claimEntry
	for _, e := range t.taken {
		if e.State == claimRan {
			continue
		}
		if oldest == nil || e.Since < oldest.Since || (e.Since == oldest.Since && e.Name < oldest.Name) {
			oldest = e
		}
	}
	if oldest == nil {
		return false
	}
	t.noRoom = oldest.Since + staleAfter
	if now < t.noRoom {
		return false
	}
	t.free(oldest)
	return true
}

// freeze returns a copy that may be encoded while t goes on.
func (t *claimTable) freeze() *claimTable {
	return &claimTable{taken: maps.Clone(t.taken), notRun: t.notRun.freeze()}
}

type encodedClaims struct {
	Taken  []claimEntry  `msgpack:"taken"`
	NotRun encodedMemory `msgpack:"not_run"`
}

func (t *claimTable) encoded() encodedClaims {
	e := encodedClaims{NotRun: t.notRun.encoded()}
	for _, name := range slices.Sorted(maps.Keys(t.taken)) {
		e.Taken = append(e.Taken, *t.taken[name])
	}
	return e
}

func (c encodedClaims) table() *claimTable {
	t := newClaimTable()
	t.notRun = c.NotRun.memory(maxNotRun)
	for i := range c.Taken {
		e := &c.Taken[i]
		t.taken[e.Name] = e
		t.bytes += e.bytes()
		if e.State == claimRan {
			heap.Push(&t.expiry, expiryItem{e.Until, e.Name})
		}
	}
	return t
}

type expiryItem struct {
	until time.Duration
	name  string
}

// expiryHeap orders settled names by the time they are freed.
type expiryHeap []expiryItem

// Len implements heap.Interface.
func (h expiryHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h expiryHeap) Less(i, j int) bool { return h[i].until < h[j].until }

// Swap implements heap.Interface.
func (h expiryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(expiryItem)) }

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

var _ heap.Interface = (*expiryHeap)(nil)
