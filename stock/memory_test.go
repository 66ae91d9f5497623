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

// orderInFlight is an order in transit to the engine or in progress in it.
type orderInFlight struct {
	order    bamboostep.Order
	sender   int           // generation of the agent that sent it
	travel   time.Duration // time left until the engine receives it
	work     time.Duration // time left until the engine completes it, or -1 if the engine refused it
	received bool
	answered bool // the sender was told the outcome
}

// vm simulates one VM: an engine that does not check its memory limit, and fencing
// numbers only if fences is set; an agent, whose MemoryReservations is under test; and the orders
// in flight between them.
type vm struct {
	t           *rapid.T
	now         time.Duration
	fences      bool
	frozen      time.Duration
	sinceFreeze time.Duration // time since the engine was last frozen
	highest     bamboostep.FencingToken
	held        map[string]bamboostep.Replica
	inFlight    []*orderInFlight

	agent            *stock.MemoryReservations
	generation       int
	lastSent         bamboostep.FencingToken // highest one sent by this agent
	agentStart       time.Duration
	term             uint64
	sequence         uint64
	leaderOrdersSent []bamboostep.Order       // all orders of leaders, delivered or not
	sentBy           map[bamboostep.Order]int // agent generation that last sent the order
	done             int
}

func key(o bamboostep.Order) string { return o.Name + "@" + o.Version }

// clock returns the time since the agent's start.
func (v *vm) clock() time.Duration { return v.now - v.agentStart }

func (v *vm) state() bamboostep.EngineState {
	s := bamboostep.EngineState{Incarnation: "x", MemoryMiB: vmMiB, UsedMiB: v.heldMiB()}
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

// deliver passes a leader's order to the agent.
func (v *vm) deliver(order bamboostep.Order) {
	verdict, err := v.agent.Begin(v.clock(), order)
	if verdict == stock.Send && v.sentBy[order] == v.generation {
		v.t.Fatalf("order %v is sent twice", order)
	}
	if verdict == stock.Send {
		v.sentBy[order] = v.generation
	}
	v.handleVerdict(order, verdict, err)
}

// handleVerdict sends an order if MemoryReservations admitted it, and checks that fencing numbers
// never decrease.
func (v *vm) handleVerdict(order bamboostep.Order, verdict stock.Decision, err error) {
	if (verdict == stock.Refused) == (err == nil) {
		v.t.Fatalf("verdict %v comes with error %v", verdict, err)
	}
	if verdict != stock.Send {
		return
	}
	if order.Fence.Less(v.lastSent) {
		v.t.Fatalf("order %v is sent after one with fence %v", order, v.lastSent)
	}
	v.lastSent = order.Fence
	v.inFlight = append(v.inFlight, &orderInFlight{
		order:  order,
		sender: v.generation,
		travel: time.Duration(rapid.Int64Range(0, int64(maxTransit)).Draw(v.t, "travel")),
		work:   time.Duration(rapid.Int64Range(0, int64(maxLoad)).Draw(v.t, "work")),
	})
}

func (v *vm) leaderOrders(t *rapid.T) {
	v.sequence++
	order := drawOrder(t)
	order.Fence = bamboostep.FencingToken{Term: v.term, Sequence: v.sequence}
	v.leaderOrdersSent = append(v.leaderOrdersSent, order)
	if rapid.IntRange(0, 4).Draw(t, "lost on the way") > 0 {
		v.deliver(order)
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
	for _, victim := range v.agent.AdapterEvictions(order.MiB, func(string) bool { return false }) {
		v.handleVerdict(v.agent.BeginLocal(v.clock(), victim))
	}
	v.handleVerdict(v.agent.BeginLocal(v.clock(), order))
}

// tick advances the time by a random number of steps. Unless the engine is frozen, it
// works on its orders, and the agent regularly observes its state.
func (v *vm) tick(t *rapid.T) {
	for range rapid.IntRange(0, 20).Draw(t, "steps") {
		v.now += step
		if v.frozen > 0 {
			v.frozen -= step
			v.sinceFreeze = 0
			continue
		}
		v.sinceFreeze += step
		v.engineWorks()
		if v.agent.Ready() && v.agent.ReservedMiB() < v.heldMiB() {
			t.Fatalf("reserved %d MiB, engine holds %d", v.agent.ReservedMiB(), v.heldMiB())
		}
		if v.now%(4*step) == 0 {
			v.agent.ObserveEngine(v.clock(), v.state())
		}
	}
}

func (v *vm) engineWorks() {
	var left []*orderInFlight
	for _, x := range v.inFlight {
		switch {
		case x.travel > 0:
			x.travel -= step
		case !x.received:
			v.receive(x)
		case x.work > 0:
			x.work -= step
		default:
			v.complete(x)
			continue
		}
		left = append(left, x)
	}
	v.inFlight = left
}

func isLoad(o bamboostep.Order) bool {
	return o.Kind == bamboostep.LoadModel || o.Kind == bamboostep.LoadAdapter
}

// receive starts an order in the engine, which takes the memory of a load at once.
func (v *vm) receive(x *orderInFlight) {
	x.received = true
	if v.fences && x.order.Fence.Less(v.highest) {
		v.answer(x, stock.NotExecuted, &bamboostep.FencedError{})
		x.answered = true
		x.work = -1
		return
	}
	v.highest = x.order.Fence
	if _, isHeld := v.held[key(x.order)]; isHeld || !isLoad(x.order) {
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

func (v *vm) complete(x *orderInFlight) {
	if x.work == -1 {
		return
	}
	r, isHeld := v.held[key(x.order)]
	switch {
	case isHeld && isLoad(x.order):
		r.State = bamboostep.ReplicaResident
		v.held[key(x.order)] = r
	case isHeld:
		delete(v.held, key(x.order))
	}
	v.answer(x, stock.Executed, nil)
}

// answer reports the outcome to the agent, unless it is a later generation than the
// sender or already knows one.
func (v *vm) answer(x *orderInFlight, ending stock.Result, err error) {
	if x.answered || x.sender != v.generation {
		return
	}
	x.answered = true
	v.done++
	v.agent.Finish(v.clock(), x.order, ending, err)
}

// loseAnswers makes the agent give up on some orders, which the engine still executes.
func (v *vm) loseAnswers(t *rapid.T) {
	for _, x := range v.inFlight {
		if rapid.Bool().Draw(t, "lost") {
			v.answer(x, stock.AnswerLost, errors.New("lost"))
		}
	}
}

func (v *vm) restartAgent() {
	v.generation++
	v.lastSent = bamboostep.FencingToken{}
	v.agentStart = v.now
	v.agent = &stock.MemoryReservations{VM: "vm-1", MemoryMiB: vmMiB}
}

func (v *vm) restartEngine() {
	for _, x := range v.inFlight {
		v.answer(x, stock.AnswerLost, errors.New("reset"))
	}
	v.inFlight = nil
	clear(v.held)
	v.highest = bamboostep.FencingToken{}
}

// percents holds the numbers 0 to 99 for rapid.SampledFrom, which draws them uniformly;
// rapid's integer ranges are biased.
var percents = func() (ps [100]int) {
	for i := range ps {
		ps[i] = i
	}
	return ps
}()

// randomEvent injects one fault or delivers one more order.
func (v *vm) randomEvent(t *rapid.T) {
	switch n := rapid.SampledFrom(percents[:]).Draw(t, "what"); {
	case n < 55:
		v.leaderOrders(t)
	case n < 65:
		v.ownLoad(t)
	case n < 80:
		v.loseAnswers(t)
	case n < 85:
		v.term++
		v.sequence = 0
	case n < 90 && len(v.leaderOrdersSent) > 0:
		v.deliver(rapid.SampledFrom(v.leaderOrdersSent).Draw(t, "resent"))
	case n < 95 && v.sinceFreeze > time.Second:
		v.leaderOrders(t)
		v.frozen = time.Duration(rapid.IntRange(1, 100).Draw(t, "steps")) * step
		v.loseAnswers(t)
	case n < 98:
		v.restartAgent()
	default:
		v.restartEngine()
	}
}

// TestMemoryIsNeverOvercommitted checks that the engine never holds more than its
// memory, even if it ignores fencing numbers, while orders and answers are lost,
// delayed or repeated and the agent and the engine restart.
func TestMemoryIsNeverOvercommitted(t *testing.T) {
	var done, given, full int
	rapid.Check(t, func(t *rapid.T) {
		v := &vm{t: t, term: 1, held: make(map[string]bamboostep.Replica), sentBy: make(map[bamboostep.Order]int), fences: rapid.Bool().Draw(t, "engine fences")}
		v.restartAgent()
		for range 200 {
			v.randomEvent(t)
			v.tick(t)
			if v.heldMiB() > vmMiB*9/10 {
				full++
			}
		}
		done += v.done
		given += len(v.leaderOrdersSent)
	})
	if done < given/20 || full == 0 {
		t.Errorf("only %d of %d orders ended and the VM was nearly full %d times: the test covers too little", done, given, full)
	}
	t.Logf("%d orders given, %d ended with an answer, VM nearly full after %d steps", given, done, full)
}
