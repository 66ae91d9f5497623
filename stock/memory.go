package stock

import (
	_ "embed"
	"fmt"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/chart"
)

// Memory keeps account of a VM's accelerator memory, so that it is never
// overcommitted. It is pure: the time since the agent's start comes with each
// event, and the shell sends what Begin lets through.
//
// A load counts from before its order is sent. An unload counts until the engine
// has reported it done. An order whose answer was lost counts as both, and no
// other order for the same replica goes out before it is settled; so at most one
// copy of an order for a replica is ever on its way.
//
// The hard point is an order that is still on its way although its sender has
// given up or died: an engine that ignores fencing numbers will execute it
// whenever it arrives. The agent is beside its engine, so what it sent waits
// nowhere but in the engine's own host. Once the engine has answered requests
// for its state without a break for the settling time, everything sent before
// has been taken up and shows in the state. Hence two rules: a lost order is
// settled by a state asked for after such a span, and a restarted agent, which
// does not know what its predecessor sent, reserves nothing before its first
// such span. Operation IDs would have been the other way, but an engine that
// ignores fences cannot be asked to know IDs.
type Memory struct {
	VM     string
	Limit  int64         // accelerator memory of the VM, MiB
	Settle time.Duration // settling time; DefaultSettle if 0

	reservations map[replicaKey]*reservation
	removedAt    map[replicaKey]time.Duration // when holdings went
	orders       map[bamboostep.Fence]*orderRecord
	orderFences  []bamboostep.Fence // keys of orders, oldest first
	highest      bamboostep.Fence
	engineState  bamboostep.EngineState // last observed
	observed     bool
	replicaList  []bamboostep.Replica // result of Replicas, nil after a change
	ready        bool
	observedFrom time.Duration // start of the unbroken span of observations
	observedTo   time.Duration // last observation of the span
}

// DefaultSettle is the settling time of a Memory that sets none.
const DefaultSettle = 2 * time.Second

const (
	maxRememberedOrders = 256             // orders whose result is remembered
	removalMemory       = 1 * time.Minute // how long the removal of a replica is remembered
)

//go:embed replica.toml
var replicaText []byte

//go:embed order.toml
var orderText []byte

var (
	replicaChart = chart.MustParse(replicaText)
	orderChart   = chart.MustParse(orderText)
)

const (
	stateGone chart.State = "gone"
	stateSent chart.State = "sent"
	stateDone chart.State = "done"
	stateLost chart.State = "lost"
)

// replicaKey names a replica on its VM. Two versions of a model are two replicas.
type replicaKey struct{ name, version string }

func keyOf(o bamboostep.Order) replicaKey { return replicaKey{o.Name, o.Version} }

// reservation is the memory of one replica.
type reservation struct {
	replica     bamboostep.Replica // State is not used; see state
	state       chart.State
	changedAt   time.Duration // when state began
	lastUsed    time.Duration // when an attempt last used it
	fence       bamboostep.Fence
	orderIsLoad bool // the order on its way is a load
	// notInProgressFrom is the first of the observations in a row that do not show the
	// order on its way at work; 0 if there is none.
	notInProgressFrom time.Duration
}

type orderRecord struct {
	order bamboostep.Order
	state chart.State
	err   error
}

// Verdict is what Begin decides about an order.
type Verdict int

// The verdicts.
const (
	Refused Verdict = iota // see the error
	Send                   // memory is reserved: send the order, then call Finish
	Pending                // the same order is on its way already
	Done                   // the order is in effect already
)

// NotReadyError says that no order can be taken now.
type NotReadyError struct {
	VM    string
	Issue string
}

// Error implements error.
func (e *NotReadyError) Error() string { return fmt.Sprintf("VM %q takes no order: %s", e.VM, e.Issue) }

// UncertainError says that an earlier order for a replica is not settled yet.
type UncertainError struct{ VM, Name string }

// Error implements error.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("an order for %q on VM %q is on its way or its answer was lost", e.Name, e.VM)
}

// LostError says that an order was lost on its way and did nothing.
type LostError struct{ Order bamboostep.Order }

// Error implements error.
func (e *LostError) Error() string {
	return fmt.Sprintf("order %d.%d for %q was lost", e.Order.Fence.Term, e.Order.Fence.Sequence, e.Order.Name)
}

// NotResidentError says that an order needs a replica that is not resident.
type NotResidentError struct{ VM, Name string }

// Error implements error.
func (e *NotResidentError) Error() string {
	return fmt.Sprintf("%q is not resident on VM %q", e.Name, e.VM)
}

// Highest returns the highest fence seen.
func (m *Memory) Highest() bamboostep.Fence { return m.highest }

// Learn raises the highest fence seen.
func (m *Memory) Learn(f bamboostep.Fence) {
	if m.highest.Less(f) {
		m.highest = f
	}
}

// Begin takes an order. An order that is older than one already seen is refused
// with a *bamboostep.FencedError. The same order under the same fence gets the
// same result. The other errors are *bamboostep.NoMemoryError, *NotReadyError,
// *UncertainError and *NotResidentError.
func (m *Memory) Begin(now time.Duration, order bamboostep.Order) (Verdict, error) {
	if r := m.orders[order.Fence]; r != nil && r.order == order {
		return r.repeatedResult()
	}
	if order.Fence.Less(m.highest) || m.orders[order.Fence] != nil {
		return Refused, &bamboostep.FencedError{Order: order.Fence, Highest: m.highest}
	}
	m.highest = order.Fence
	return m.beginOrder(now, order)
}

// New reports whether Begin would weigh the order, because it is neither older
// than one already seen nor known, and its replica is not there.
func (m *Memory) New(order bamboostep.Order) bool {
	return !order.Fence.Less(m.highest) && m.orders[order.Fence] == nil && m.reservations[keyOf(order)] == nil
}

// BeginOwn takes an order of the agent itself. It goes out under the highest
// fence seen, which is returned with it.
func (m *Memory) BeginOwn(now time.Duration, order bamboostep.Order) (bamboostep.Order, Verdict, error) {
	order.Fence = m.highest
	if m.highest.Term == 0 {
		return order, Refused, &NotReadyError{m.VM, "no term is known yet"}
	}
	verdict, err := m.decideOrder(now, order)
	return order, verdict, err
}

func (m *Memory) beginOrder(now time.Duration, order bamboostep.Order) (Verdict, error) {
	verdict, err := m.decideOrder(now, order)
	if isRetryable(err) {
		return verdict, err
	}
	r := &orderRecord{order: order, state: orderChart.Initial(), err: err}
	r.applyEvent(map[Verdict]chart.Event{Send: "reserve", Done: "already", Refused: "refuse"}[verdict])
	m.rememberOrder(r)
	return verdict, err
}

// isRetryable reports whether err passes without another order, so that the same
// order may be tried again under its fence.
func isRetryable(err error) bool {
	switch err.(type) {
	case *NotReadyError, *UncertainError:
		return true
	}
	return false
}

func (r *orderRecord) repeatedResult() (Verdict, error) {
	switch r.state {
	case stateSent, stateLost:
		return Pending, nil
	case stateDone:
		return Done, nil
	}
	return Refused, r.err
}

func (r *orderRecord) applyEvent(e chart.Event) {
	next, err := orderChart.Next(r.state, e)
	if err == nil {
		r.state = next
	}
}

func (m *Memory) rememberOrder(r *orderRecord) {
	if m.orders == nil {
		m.orders = make(map[bamboostep.Fence]*orderRecord)
	}
	m.orders[r.order.Fence] = r
	m.orderFences = append(m.orderFences, r.order.Fence)
	if len(m.orderFences) > maxRememberedOrders {
		delete(m.orders, m.orderFences[0])
		m.orderFences = m.orderFences[1:]
	}
}

func (m *Memory) decideOrder(now time.Duration, order bamboostep.Order) (Verdict, error) {
	if !m.Ready() {
		return Refused, &NotReadyError{m.VM, "the engine's own state is not settled yet"}
	}
	h := m.reservations[keyOf(order)]
	if h != nil && h.state != stateResident {
		return Refused, &UncertainError{m.VM, order.Name}
	}
	switch order.Kind {
	case bamboostep.LoadModel, bamboostep.LoadAdapter:
		return m.decideLoad(now, order, h)
	}
	return m.decideUnload(now, order, h)
}

const (
	stateLoading   = chart.State(bamboostep.ReplicaLoading)
	stateResident  = chart.State(bamboostep.ReplicaResident)
	stateUnloading = chart.State(bamboostep.ReplicaUnloading)
	stateUncertain = chart.State(bamboostep.ReplicaUncertain)
)

func (m *Memory) decideLoad(now time.Duration, order bamboostep.Order, h *reservation) (Verdict, error) {
	if h != nil {
		return Done, nil
	}
	if order.Kind == bamboostep.LoadAdapter && !m.Resident(order.Model) {
		return Refused, &NotResidentError{m.VM, order.Model}
	}
	if reserved := m.ReservedMiB(); reserved+order.MiB > m.limitMiB() {
		return Refused, &bamboostep.NoMemoryError{VM: m.VM, Name: order.Name, NeedMiB: order.MiB, ReservedMiB: reserved, MemoryMiB: m.limitMiB()}
	}
	m.addReservation(now, &reservation{
		replica:     bamboostep.Replica{Name: order.Name, Model: order.Model, Version: order.Version, MiB: order.MiB},
		state:       replicaChart.Initial(),
		lastUsed:    now,
		fence:       order.Fence,
		orderIsLoad: true,
	})
	return Send, nil
}

func (m *Memory) decideUnload(now time.Duration, order bamboostep.Order, h *reservation) (Verdict, error) {
	if h == nil {
		return Done, nil
	}
	h.fence = order.Fence
	h.orderIsLoad = false
	m.applyEvent(now, h, "unload")
	return Send, nil
}

func (m *Memory) addReservation(now time.Duration, h *reservation) {
	if m.reservations == nil {
		m.reservations = make(map[replicaKey]*reservation)
		m.removedAt = make(map[replicaKey]time.Duration)
	}
	h.changedAt = now
	m.reservations[h.key()] = h
	m.replicaList = nil
}

func (h *reservation) key() replicaKey { return replicaKey{h.replica.Name, h.replica.Version} }

// applyEvent moves h along its chart and removes it at the end.
func (m *Memory) applyEvent(now time.Duration, h *reservation, e chart.Event) {
	next, err := replicaChart.Next(h.state, e)
	if err != nil {
		return
	}
	h.state = next
	h.changedAt = now
	m.replicaList = nil
	if next == stateGone {
		delete(m.reservations, h.key())
		m.removedAt[h.key()] = now
	}
}

// Ending is how an order that was sent has ended.
type Ending int

// The endings.
const (
	Executed   Ending = iota // the engine reported it done
	NotDone                  // the engine refused it, or it was never sent
	AnswerLost               // nobody knows
)

// Sent notes that an order that Begin let through goes out only now.
func (m *Memory) Sent(now time.Duration, order bamboostep.Order) {
	if h := m.reservations[keyOf(order)]; h != nil {
		h.changedAt = now
		h.notInProgressFrom = 0
	}
}

// Unanswered reports whether the engine's own state has not shown an order at
// work for the settling time, or has not been told for as long, without the order's
// answer having come. The order or its answer then counts as lost: waiting on
// would hold the replica up for as long as the sender's timeout.
func (m *Memory) Unanswered(now time.Duration, order bamboostep.Order) bool {
	h := m.reservations[keyOf(order)]
	if h == nil {
		return false
	}
	if now-max(h.changedAt, m.observedTo) >= m.settleTime() {
		return true
	}
	return h.notInProgressFrom != 0 && m.observedTo-max(h.notInProgressFrom, m.observedFrom) >= m.settleTime()
}

// Finish takes the end of an order that Begin or BeginOwn let through.
func (m *Memory) Finish(now time.Duration, order bamboostep.Order, ending Ending, cause error) {
	m.finishRecord(order, ending, cause)
	h := m.reservations[keyOf(order)]
	if h == nil {
		return
	}
	switch {
	case ending == AnswerLost:
		m.applyEvent(now, h, "lost")
	case ending == NotDone:
		m.applyEvent(now, h, "refused")
	case h.orderIsLoad:
		m.applyEvent(now, h, "loaded")
	default:
		m.applyEvent(now, h, "unloaded")
	}
}

func (m *Memory) finishRecord(order bamboostep.Order, ending Ending, cause error) {
	r := m.orders[order.Fence]
	if r == nil || r.order != order {
		return
	}
	r.err = cause
	r.applyEvent(map[Ending]chart.Event{Executed: "done", NotDone: "refuse", AnswerLost: "lose"}[ending])
}
