package holder

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/fleet"
)

// A model of many entries that choose at the same time among few engines, by reports that are
// old. The entries are fleet.Fleet values and the holders use announcements, as the processes
// do. Engines prefill one prompt after another and keep some shared prefixes. Time is passed in.

const (
	modelRun         = 22 * time.Second
	modelWarmUp      = 2 * time.Second
	modelWindow      = 2 * time.Second
	modelSpeed       = 40.0 // prompt tokens per millisecond
	modelUtilization = 0.4  // of the engines by prefills, if every shared prefix is cached
	modelPrefixes    = 6    // shared prefixes in use, for each engine
	modelKept        = 12   // shared prefixes that an engine keeps
	modelShared      = 6000 // tokens of a shared prefix
	modelOwn         = 3000 // mean tokens of a long prompt that are not shared
	modelShort       = 800  // tokens of a short prompt
	modelWay         = time.Millisecond
	modelDecode      = 600 * time.Millisecond
)

// modelCase is a load on the model.
type modelCase struct {
	entries, engines int
	age              time.Duration // of a report when entries get it
	load             float64       // relative to modelUtilization; 0 counts as 1
	uneven           bool          // a tenth of the entries has half of the requests
	slow             int           // engines that prefill at half the speed
	restart          bool          // halfway an engine starts anew, without cached prefixes
	silent           bool          // holders hear and tell nothing
	dying            bool          // each second an entry announces a prompt and dies
}

type model struct {
	modelCase
	rng     *rand.Rand
	start   time.Time
	now     time.Time
	steps   steps
	entries []*fleet.Fleet
	engines map[string]*modelEngine // by address

	waits      []time.Duration // for the first event
	long, hits int             // long prompts, and those whose shared prefix was cached
}

type modelEngine struct {
	address   string
	speed     float64
	queue     []*modelPrompt
	running   int
	kept      []string // oldest first
	announced announcements[int]
	toldAt    time.Time
	tellDue   bool
	work      [modelRun / modelWindow]time.Duration // by window
}

type modelPrompt struct {
	*fleet.Assignment
	entry  int
	tokens int    // without the shared prefix
	shared string // empty for none
	sentAt time.Time
}

// step is something that happens in the model.
type step struct {
	at time.Time
	do func()
}

type steps []step

func (q steps) Len() int           { return len(q) }
func (q steps) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q steps) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *steps) Push(x any)        { *q = append(*q, x.(step)) }
func (q *steps) Pop() any {
	last := len(*q) - 1
	s := (*q)[last]
	*q = (*q)[:last]
	return s
}

func (m *model) after(d time.Duration, do func()) { heap.Push(&m.steps, step{m.now.Add(d), do}) }

// play runs the model.
func (c modelCase) play() *model {
	m := &model{modelCase: c, rng: rand.New(rand.NewPCG(7, 7)), start: time.Unix(1000, 0), engines: make(map[string]*modelEngine)}
	m.now = m.start
	var reports []fleet.Report
	for i := range c.engines {
		r := fleet.Report{Address: fmt.Sprintf("10.0.0.%d:1", i), Instance: fmt.Sprintf("i%d", i), StartedMS: 1, Service: "llm", Domain: "a", CacheTokens: 1 << 20, Models: []bamboostep.LoadedModel{{Name: "m"}}}
		e := &modelEngine{address: r.Address, speed: modelSpeed}
		if i < c.slow {
			e.speed /= 2
		}
		reports = append(reports, r)
		m.engines[r.Address] = e
		m.after(time.Duration(i)*pollInterval/time.Duration(c.engines), func() { m.poll(e) })
	}
	for i := range c.entries {
		f := &fleet.Fleet{Domain: "a", Seed: uint64(i + 1)}
		f.SetEntryCount(c.entries)
		for _, r := range reports {
			f.ApplyReport(r, m.now)
			m.engines[r.Address].announced.subscribe(i)
		}
		m.entries = append(m.entries, f)
	}
	m.after(0, m.arrive)
	m.after(modelRun/2, func() {
		if e := m.engines[reports[0].Address]; c.restart {
			e.kept = nil
			e.announced.restart()
		}
	})
	for m.steps[0].at.Before(m.start.Add(modelRun)) {
		s := heap.Pop(&m.steps).(step)
		m.now = s.at
		s.do()
	}
	return m
}

// arrive lets one request arrive at a random entry, and the next one later.
func (m *model) arrive() {
	capacity := 0.0
	for _, e := range m.engines {
		capacity += e.speed
	}
	load := modelUtilization
	if m.load > 0 {
		load *= m.load
	}
	interval := (modelOwn + modelShort) / 2 / (load * capacity)
	m.after(time.Duration(m.rng.ExpFloat64()*interval*float64(time.Millisecond)), m.arrive)
	p := &modelPrompt{entry: m.rng.IntN(len(m.entries)), tokens: modelShort, sentAt: m.now}
	if m.uneven && m.rng.IntN(2) == 0 {
		p.entry = m.rng.IntN(max(1, len(m.entries)/10))
	}
	req := fleet.Requirements{Service: "llm", ModelName: fleet.ModelName{Model: "m"}, PromptTokens: modelShort, MaxAnswerTokens: 50}
	if m.rng.IntN(2) == 0 {
		p.shared = fmt.Sprint("shared", m.rng.IntN(modelPrefixes*len(m.engines)))
		p.tokens = int(modelOwn * min(5, m.rng.ExpFloat64()))
		req.PromptTokens = modelShared + p.tokens
		req.Prompt = fleet.NewPrompt(req.ModelName, []bamboostep.PromptPart{{ID: p.shared, Tokens: modelShared}, {ID: fmt.Sprint("own", m.long, m.now.UnixNano()), Tokens: p.tokens}})
	}
	p.Assignment, _ = m.entries[p.entry].Choose(m.now, req) // every engine can take it
	e := m.engines[p.Address]
	m.announce(p.entry)
	m.after(modelWay, func() {
		if e.queue = append(e.queue, p); len(e.queue) == 1 {
			m.prefill(e)
		}
	})
}

// prefill lets an engine prefill the first prompt of its queue, and then the next.
func (m *model) prefill(e *modelEngine) {
	p := e.queue[0]
	took := time.Duration(float64(p.tokens+e.readShared(m, p.shared)) / e.speed * float64(time.Millisecond))
	e.work[m.now.Sub(m.start)/modelWindow] += took
	m.after(took, func() {
		e.running++
		if e.queue = e.queue[1:]; len(e.queue) > 0 {
			m.prefill(e)
		}
		m.after(modelWay, func() { m.firstEvent(p) })
		m.after(modelDecode, func() {
			e.running--
			p.End(fleet.EndedOK, m.now)
		})
	})
}

// readShared returns the tokens of a shared prefix that the engine must prefill.
func (e *modelEngine) readShared(m *model, shared string) int {
	if shared == "" {
		return 0
	}
	m.long++
	i := slices.Index(e.kept, shared)
	if i >= 0 {
		m.hits++
		e.kept = append(slices.Delete(e.kept, i, i+1), shared)
		return 0
	}
	e.kept = append(e.kept, shared)
	e.kept = e.kept[max(0, len(e.kept)-modelKept):]
	return modelShared
}

func (m *model) firstEvent(p *modelPrompt) {
	if m.now.Sub(m.start) > modelWarmUp {
		m.waits = append(m.waits, m.now.Sub(p.sentAt))
	}
	p.Started()
	m.announce(p.entry)
	for address, prefixes := range m.entries[p.entry].TakeNewPrefixes() {
		for _, f := range m.entries {
			f.AddCachedPrefixes(address, prefixes)
		}
	}
}

// announce sends what an entry has to announce.
func (m *model) announce(entry int) {
	for address, u := range m.entries[entry].TakeAnnouncements() {
		m.after(modelWay, func() { m.state(m.engines[address], entry, u.Tokens) })
	}
}

func (m *model) state(e *modelEngine, entry, tokens int) {
	if m.silent || !e.announced.state(entry, tokens, m.now) || e.tellDue {
		return
	}
	e.tellDue = true
	m.after(max(0, e.toldAt.Add(tellInterval).Sub(m.now)), func() { m.tell(e) })
}

func (m *model) tell(e *modelEngine) {
	e.tellDue, e.toldAt = false, m.now
	if m.silent {
		return
	}
	for entry, tokens := range e.announced.takeUpdates(m.now) {
		m.after(modelWay, func() { m.entries[entry].ApplySent(e.address, fleet.SentUpdate{Tokens: tokens}) })
	}
}

// poll lets a holder read its engine's report and push it.
func (m *model) poll(e *modelEngine) {
	m.after(pollInterval, func() { m.poll(e) })
	if m.dying && m.rng.IntN(10*len(m.engines)) == 0 {
		m.state(e, -len(m.waits)-1, modelShared) // of an entry that is not heard of again
	}
	u := fleet.LoadUpdate{Running: e.running + len(e.queue), Prefilling: len(e.queue)}
	m.tell(e)
	m.after(m.age, func() {
		for _, f := range m.entries {
			f.ApplyLoad(e.address, u, m.now)
		}
	})
}

// spread returns the work of the busiest engine over the mean, in the window in which it is highest.
func (m *model) spread() float64 {
	highest := 0.0
	for w := modelWarmUp / modelWindow; w < modelRun/modelWindow; w++ {
		var most, sum time.Duration
		for _, e := range m.engines {
			most = max(most, e.work[w])
			sum += e.work[w]
		}
		highest = max(highest, float64(most)/float64(sum)*float64(len(m.engines)))
	}
	return highest
}

// first returns the wait for the first event at 99 in 100 requests.
func (m *model) first() time.Duration {
	slices.Sort(m.waits)
	return m.waits[len(m.waits)*99/100]
}

func (m *model) hitShare() float64 { return float64(m.hits) / float64(m.long) }

// Many entries choose at the same moment by the same old reports. No engine may be overrun
// while others idle, and prompts keep going where their prefix is cached.
func TestEvenLoadFromOldReports(t *testing.T) {
	const (
		maxSpread = 2.0
		maxFirst  = 800 * time.Millisecond // what callers of long prompts are promised
		minHits   = 0.8
		onePrompt = modelOwn / modelSpeed * time.Millisecond
	)
	for name, c := range map[string]modelCase{
		"reports at once":       {entries: 32, engines: 16},
		"reports of 100 ms":     {entries: 32, engines: 16, age: 100 * time.Millisecond},
		"reports of 200 ms":     {entries: 32, engines: 16, age: 200 * time.Millisecond},
		"reports of 500 ms":     {entries: 32, engines: 16, age: 500 * time.Millisecond},
		"one entry":             {entries: 1, engines: 16, age: 200 * time.Millisecond},
		"380 entries":           {entries: 380, engines: 16, age: 200 * time.Millisecond},
		"uneven entries":        {entries: 32, engines: 16, age: 200 * time.Millisecond, uneven: true},
		"two copies of a model": {entries: 32, engines: 2, age: 200 * time.Millisecond},
		"three copies":          {entries: 32, engines: 3, age: 200 * time.Millisecond},
		"slow engines":          {entries: 32, engines: 16, age: 200 * time.Millisecond, slow: 4},
		"restarted engine":      {entries: 32, engines: 16, age: 200 * time.Millisecond, restart: true},
		"dying entries":         {entries: 32, engines: 16, age: 200 * time.Millisecond, dying: true},
	} {
		t.Run(name, func(t *testing.T) {
			m := c.play()
			c.silent = true
			unannounced := c.play()
			if got := m.spread(); got > maxSpread {
				t.Errorf("busiest engine over the mean: got %.2f, want at most %.2f", got, maxSpread)
			}
			if got := m.first(); got > maxFirst {
				t.Errorf("first event at 99 in 100: got %v, want at most %v", got, maxFirst)
			}
			if got := m.hitShare(); got < minHits {
				t.Errorf("long prompts whose shared prefix was cached: got %.2f, want at least %.2f", got, minHits)
			}
			if got, want := m.first(), unannounced.first()+onePrompt; got > want {
				t.Errorf("first event at 99 in 100: got %v, want at most %v, one prompt more than without announcements", got, want)
			}
			if got, want := m.hitShare(), unannounced.hitShare()-0.1; got < want {
				t.Errorf("long prompts whose shared prefix was cached: got %.2f, want at least %.2f, a tenth less than without announcements", got, want)
			}
		})
	}
}
