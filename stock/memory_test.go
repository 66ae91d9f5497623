package stock_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/internal/seed"
	"github.com/bamboostep/bamboostep/stock"
)

func init() { seed.Rapid() }

const (
	vmMiB      = 1000
	step       = 50 * time.Millisecond
	maxTransit = 600 * time.Millisecond // of an order, while the engine is not frozen
	maxLoad    = 3 * time.Second
)

// transit is an order on its way to the engine, or under way in it.
type transit struct {
	order   bamboostep.Order
	sender  int           // generation of the agent that waits for the answer
	travel  time.Duration // left before the engine takes it up
	work    time.Duration // left before the engine has done it
	taken   bool
	settled bool // the sender was told an ending, or has died
}

// vm is one VM: an engine that checks neither its memory nor, perhaps, fences; an
// agent whose memory account is under test; and what is on its way between them.
type vm struct {
	t       *rapid.T
	now     time.Duration
	fences  bool
	frozen  time.Duration
	calm    time.Duration // since the last freeze ended
	highest bamboostep.Fence
	held    map[string]bamboostep.Replica
	network []*transit

	agent      *stock.Memory
	generation int
	lastSent   bamboostep.Fence // by this agent
	born       time.Duration
	term       uint64
	sequence   uint64
	sent       []bamboostep.Order       // every order that any leader gave
	executed   map[bamboostep.Order]int // generation that sent it last
	done       int
}

func key(o bamboostep.Order) string { return o.Name + "@" + o.Version }

func (v *vm) clock() time.Duration { return v.now - v.born }

func (v *vm) state() bamboostep.EngineState {
	s := bamboostep.EngineState{Incarnation: "x", MemoryMiB: vmMiB, HeldMiB: v.heldMiB()}
	for _, r := range v.held {
		s.Replicas = append(s.Replicas, r)
	}
	return s
}

func (v *vm) heldMiB() (sum int64) {
	for _, r := range v.held {
		sum += r.MiB
	}
	return sum
}

// give hands an order to the agent, as its shell does.
func (v *vm) give(order bamboostep.Order) {
	verdict, err := v.agent.Begin(v.clock(), order)
	if verdict == stock.Send && v.executed[order] == v.generation {
		v.t.Fatalf("order %v goes out twice", order)
	}
	if verdict == stock.Send {
		v.executed[order] = v.generation
	}
	v.follow(order, verdict, err)
}

func (v *vm) follow(order bamboostep.Order, verdict stock.Verdict, err error) {
	if (verdict == stock.Refused) == (err == nil) {
		v.t.Fatalf("verdict %v comes with error %v", verdict, err)
	}
	if verdict != stock.Send {
		return
	}
	if order.Fence.Less(v.lastSent) {
		v.t.Fatalf("order %v goes out after one under %v", order, v.lastSent)
	}
	v.lastSent = order.Fence
	v.network = append(v.network, &transit{
		order:  order,
		sender: v.generation,
		travel: time.Duration(rapid.Int64Range(0, int64(maxTransit)).Draw(v.t, "travel")),
		work:   time.Duration(rapid.Int64Range(0, int64(maxLoad)).Draw(v.t, "work")),
	})
}

func (v *vm) leaderOrders(t *rapid.T) {
	v.sequence++
	order := drawOrder(t)
	order.Fence = bamboostep.Fence{Term: v.term, Sequence: v.sequence}
	v.sent = append(v.sent, order)
	if rapid.IntRange(0, 4).Draw(t, "lost on the way") > 0 {
		v.give(order)
	}
}

func drawOrder(t *rapid.T) bamboostep.Order {
	kinds := []bamboostep.OrderKind{bamboostep.LoadModel, bamboostep.LoadModel, bamboostep.UnloadModel, bamboostep.LoadAdapter, bamboostep.UnloadAdapter}
	o := bamboostep.Order{
		Kind:    rapid.SampledFrom(kinds).Draw(t, "kind"),
		Version: rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version"),
	}
	n := rapid.IntRange(0, 2).Draw(t, "name")
	if o.Kind == bamboostep.LoadAdapter || o.Kind == bamboostep.UnloadAdapter {
		o.Name, o.Model, o.MiB = fmt.Sprint("adapter", n), fmt.Sprint("model", n), 90
		return o
	}
	o.Name, o.MiB = fmt.Sprint("model", n), int64(300+100*n)
	return o
}

func (v *vm) ownLoad(t *rapid.T) {
	order := drawOrder(t)
	if order.Kind != bamboostep.LoadAdapter {
		return
	}
	for _, victim := range v.agent.Victims(order.MiB, func(string) bool { return false }) {
		v.follow(v.agent.BeginOwn(v.clock(), victim))
	}
	v.follow(v.agent.BeginOwn(v.clock(), order))
}

// tick lets time pass: the engine works unless it is frozen, and now and then
// the agent asks for its state.
func (v *vm) tick(t *rapid.T) {
	for range rapid.IntRange(0, 20).Draw(t, "steps") {
		v.now += step
		if v.frozen > 0 {
			v.frozen -= step
			v.calm = 0
			continue
		}
		v.calm += step
		v.engineWorks()
		if v.agent.Ready() && v.agent.ReservedMiB() < v.heldMiB() {
			t.Fatalf("reserved %d MiB, engine holds %d", v.agent.ReservedMiB(), v.heldMiB())
		}
		if v.now%(4*step) == 0 {
			v.agent.Observe(v.clock(), v.state())
		}
	}
}

func (v *vm) engineWorks() {
	var left []*transit
	for _, x := range v.network {
		switch {
		case x.travel > 0:
			x.travel -= step
		case !x.taken:
			v.takeUp(x)
		case x.work > 0:
			x.work -= step
		default:
			v.complete(x)
			continue
		}
		left = append(left, x)
	}
	v.network = left
}

func isLoad(o bamboostep.Order) bool {
	return o.Kind == bamboostep.LoadModel || o.Kind == bamboostep.LoadAdapter
}

func (v *vm) takeUp(x *transit) {
	x.taken = true
	if v.fences && x.order.Fence.Less(v.highest) {
		v.answer(x, stock.NotDone, &bamboostep.FencedError{})
		x.settled = true
		x.work = -1
		return
	}
	v.highest = x.order.Fence
	if _, there := v.held[key(x.order)]; there || !isLoad(x.order) {
		return
	}
	v.held[key(x.order)] = bamboostep.Replica{
		Name: x.order.Name, Model: x.order.Model, Version: x.order.Version, MiB: x.order.MiB,
		State: bamboostep.ReplicaLoading,
	}
	if got := v.heldMiB(); got > vmMiB {
		v.t.Fatalf("engine holds %d MiB of %d: %v", got, vmMiB, v.held)
	}
}

func (v *vm) complete(x *transit) {
	if x.work == -1 {
		return
	}
	r, there := v.held[key(x.order)]
	switch {
	case there && isLoad(x.order):
		r.State = bamboostep.ReplicaResident
		v.held[key(x.order)] = r
	case there:
		delete(v.held, key(x.order))
	}
	v.answer(x, stock.Executed, nil)
}

func (v *vm) answer(x *transit, ending stock.Ending, err error) {
	if x.settled || x.sender != v.generation {
		return
	}
	x.settled = true
	v.done++
	v.agent.Finish(v.clock(), x.order, ending, err)
}

// loseAnswer makes the agent give up on an order that goes on.
func (v *vm) loseAnswer(t *rapid.T) {
	for _, x := range v.network {
		if rapid.Bool().Draw(t, "lost") {
			v.answer(x, stock.AnswerLost, errors.New("lost"))
		}
	}
}

func (v *vm) restartAgent() {
	v.generation++
	v.lastSent = bamboostep.Fence{}
	v.born = v.now
	v.agent = &stock.Memory{VM: "vm-1", Limit: vmMiB}
}

func (v *vm) restartEngine() {
	for _, x := range v.network {
		v.answer(x, stock.AnswerLost, errors.New("reset"))
	}
	v.network = nil
	clear(v.held)
	v.highest = bamboostep.Fence{}
}

// percents are drawn from, because all are equally likely, unlike rapid's ranges.
var percents = func() (ps [100]int) {
	for i := range ps {
		ps[i] = i
	}
	return ps
}()

// disturb does one thing that may go wrong, or gives one more order.
func (v *vm) disturb(t *rapid.T) {
	switch n := rapid.SampledFrom(percents[:]).Draw(t, "what"); {
	case n < 55:
		v.leaderOrders(t)
	case n < 65:
		v.ownLoad(t)
	case n < 80:
		v.loseAnswer(t)
	case n < 85:
		v.term++
		v.sequence = 0
	case n < 90 && len(v.sent) > 0:
		v.give(rapid.SampledFrom(v.sent).Draw(t, "resent"))
	case n < 95 && v.calm > time.Second:
		v.leaderOrders(t)
		v.frozen = time.Duration(rapid.IntRange(1, 100).Draw(t, "steps")) * step
		v.loseAnswer(t)
	case n < 98:
		v.restartAgent()
	default:
		v.restartEngine()
	}
}

// Whatever is lost, late or repeated, and whoever restarts, the engine's own peak
// never passes its size, also when the engine ignores fences.
func TestMemoryIsNeverOvercommitted(t *testing.T) {
	var done, given, full int
	rapid.Check(t, func(t *rapid.T) {
		v := &vm{t: t, term: 1, held: make(map[string]bamboostep.Replica), executed: make(map[bamboostep.Order]int), fences: rapid.Bool().Draw(t, "engine fences")}
		v.restartAgent()
		for range 200 {
			v.disturb(t)
			v.tick(t)
			if v.heldMiB() > vmMiB*9/10 {
				full++
			}
		}
		done += v.done
		given += len(v.sent)
	})
	if done < given/20 || full == 0 {
		t.Errorf("only %d of %d orders ended and the VM was full %d times: the test tests too little", done, given, full)
	}
	t.Logf("%d orders given, %d ended with an answer, VM full after %d steps", given, done, full)
}
