package stock

import (
	_ "embed"
	"fmt"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/chart"
)

// MemoryReservations tracks the reservations of a VM's accelerator memory, so that it is never
// overcommitted. It does no I/O and reads no clock: each call passes the time since
// the agent's start, and the caller sends the orders that Begin admits. MemoryReservations is
// not safe for concurrent use.
//
// The memory of a load is reserved before its order is sent, and the memory of an
// unload stays reserved until the engine has reported it done. The memory of an
// order whose answer was lost stays reserved too, and no other order for the same
// replica is admitted until the outcome is known. So at most one order per replica
// is in flight.
//
// An order may still be in flight after its sender has given up or died, and an
// engine that ignores fencing numbers executes it whenever it arrives. Since the
// agent runs next to its engine, such an order can only wait on the engine's own
// host. Once the engine has answered state requests without a gap for the settling
// time, it has received every earlier order, and the state shows the effect. Two
// rules follow. A lost order is resolved by a state that was requested after such
// a period. A restarted agent, which does not know what its predecessor sent,
// reserves nothing before its first such period. Operation IDs are no alternative,
// because an engine that ignores fencing numbers cannot be expected to check IDs.
type MemoryReservations struct {
	VM         string
	MemoryMiB  int64         // accelerator memory of the VM, MiB
	SettleTime time.Duration // settling time, DefaultSettleTime if 0

	reservations map[replicaKey]*reservation
	removedAt    map[replicaKey]time.Duration // when reservations ended
	orders       map[bamboostep.FencingToken]*orderRecord
	orderFences  []bamboostep.FencingToken // keys of orders, oldest first
	highest      bamboostep.FencingToken
	engineState  bamboostep.EngineState // last one observed
	observed     bool
	replicaList  []bamboostep.Replica // cached result of Replicas, nil after a change
	ready        bool
	observedFrom time.Duration // when the observations without a gap began
	observedTo   time.Duration // when the last of them was requested
}

// DefaultSettleTime is the settling time of a MemoryReservations whose SettleTime is 0.
const DefaultSettleTime = 2 * time.Second

const (
	maxRememberedOrders = 256             // orders whose results are remembered
	removalRetention    = 1 * time.Minute // how long the end of a reservation is remembered
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

// replicaKey identifies a replica on its VM. Two versions of a model are two
// replicas.
type replicaKey struct{ name, version string }

func keyOf(o bamboostep.Order) replicaKey { return replicaKey{o.Name, o.Version} }

// reservation is the memory reserved for one replica.
type reservation struct {
	replica     bamboostep.Replica // State is unused; see state
	state       chart.State
	changedAt   time.Duration // when state last changed or the order was sent
	lastUsed    time.Duration // by an attempt
	fence       bamboostep.FencingToken
	orderIsLoad bool // the last order was a load
	// notInProgressFrom is the time of the first of the consecutive observations
	// in which the engine was not executing the order in flight, 0 if there is
	// none.
	notInProgressFrom time.Duration
}

type orderRecord struct {
	order bamboostep.Order
	state chart.State
	err   error
}

// Decision is the decision of Begin about an order.
type Decision int

// The verdicts.
const (
	Refused  Decision = iota // the error says why
	Send                     // the caller must send the order, then call Finish
	InFlight                 // the same order is in flight, or its answer was lost
	Done                     // the order has already taken effect
)

// NotReadyError reports that the VM cannot take any order now.
type NotReadyError struct {
	VM    string
	Issue string
}

// Error implements error.
func (e *NotReadyError) Error() string { return fmt.Sprintf("VM %q takes no order: %s", e.VM, e.Issue) }

// UncertainError reports that the outcome of an earlier order for the same replica
// is not known yet.
type UncertainError struct{ VM, Name string }

// Error implements error.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("an earlier order for %q on VM %q is in flight or its answer was lost", e.Name, e.VM)
}

// LostError reports that an order was lost in transit and had no effect.
type LostError struct{ Order bamboostep.Order }

// Error implements error.
func (e *LostError) Error() string {
	return fmt.Sprintf("order %d.%d for %q was lost in transit and not executed", e.Order.Fence.Term, e.Order.Fence.Sequence, e.Order.Name)
}

// NotResidentError reports that the base model of an adapter is not resident.
type NotResidentError struct{ VM, Name string }

// Error implements error.
func (e *NotResidentError) Error() string {
	return fmt.Sprintf("%q is not resident on VM %q", e.Name, e.VM)
}

// HighestFence returns the highest fencing number seen.
func (m *MemoryReservations) HighestFence() bamboostep.FencingToken { return m.highest }

// RaiseHighestFence raises the highest fencing number seen to f if f is higher.
func (m *MemoryReservations) RaiseHighestFence(f bamboostep.FencingToken) {
	if m.highest.Less(f) {
		m.highest = f
	}
}

// Begin decides about an order and reserves its memory. It refuses an order with a
// *bamboostep.FencedError if its fencing number is lower than the highest seen or
// belongs to a different order. A repeated order with the same fencing number gets
// the result of the first. The other errors are *bamboostep.InsufficientMemoryError,
// *NotReadyError, *UncertainError and *NotResidentError.
func (m *MemoryReservations) Begin(now time.Duration, order bamboostep.Order) (Decision, error) {
	if r := m.orders[order.Fence]; r != nil && r.order == order {
		return r.repeatedResult()
	}
	if order.Fence.Less(m.highest) || m.orders[order.Fence] != nil {
		return Refused, &bamboostep.FencedError{Order: order.Fence, Highest: m.highest}
	}
	m.highest = order.Fence
	return m.beginOrder(now, order)
}

// IsNewOrder reports whether the order has not been superseded or seen before and its
// replica has no reservation, so that Begin would decide about it afresh.
func (m *MemoryReservations) IsNewOrder(order bamboostep.Order) bool {
	return !order.Fence.Less(m.highest) && m.orders[order.Fence] == nil && m.reservations[keyOf(order)] == nil
}

// BeginLocal decides about an order of the agent itself. It returns the order with
// its fencing number set to the highest seen.
func (m *MemoryReservations) BeginLocal(now time.Duration, order bamboostep.Order) (bamboostep.Order, Decision, error) {
	order.Fence = m.highest
	if m.highest.Term == 0 {
		return order, Refused, &NotReadyError{m.VM, "no leader term is known yet"}
	}
	verdict, err := m.decideOrder(now, order)
	return order, verdict, err
}

func (m *MemoryReservations) beginOrder(now time.Duration, order bamboostep.Order) (Decision, error) {
	verdict, err := m.decideOrder(now, order)
	if isRetryable(err) {
		return verdict, err
	}
	r := &orderRecord{order: order, state: orderChart.Initial(), err: err}
	r.applyEvent(map[Decision]chart.Event{Send: "reserve", Done: "already", Refused: "refuse"}[verdict])
	m.rememberOrder(r)
	return verdict, err
}

// isRetryable reports whether the condition behind err passes by itself, so that
// the same order may be retried with its fencing number.
func isRetryable(err error) bool {
	switch err.(type) {
	case *NotReadyError, *UncertainError:
		return true
	}
	return false
}

func (r *orderRecord) repeatedResult() (Decision, error) {
	switch r.state {
	case stateSent, stateLost:
		return InFlight, nil
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

func (m *MemoryReservations) rememberOrder(r *orderRecord) {
	if m.orders == nil {
		m.orders = make(map[bamboostep.FencingToken]*orderRecord)
	}
	m.orders[r.order.Fence] = r
	m.orderFences = append(m.orderFences, r.order.Fence)
	if len(m.orderFences) > maxRememberedOrders {
		delete(m.orders, m.orderFences[0])
		m.orderFences = m.orderFences[1:]
	}
}

func (m *MemoryReservations) decideOrder(now time.Duration, order bamboostep.Order) (Decision, error) {
	if !m.Ready() {
		return Refused, &NotReadyError{m.VM, "the state of the engine has not been observed for the settling time yet"}
	}
	res := m.reservations[keyOf(order)]
	if res != nil && res.state != stateResident {
		return Refused, &UncertainError{m.VM, order.Name}
	}
	switch order.Kind {
	case bamboostep.LoadModel, bamboostep.LoadAdapter:
		return m.decideLoad(now, order, res)
	}
	return m.decideUnload(now, order, res)
}

const (
	stateLoading   = chart.State(bamboostep.ReplicaLoading)
	stateResident  = chart.State(bamboostep.ReplicaResident)
	stateUnloading = chart.State(bamboostep.ReplicaUnloading)
	stateUncertain = chart.State(bamboostep.ReplicaUncertain)
)

func (m *MemoryReservations) decideLoad(now time.Duration, order bamboostep.Order, res *reservation) (Decision, error) {
	if res != nil {
		return Done, nil
	}
	if order.Kind == bamboostep.LoadAdapter && !m.IsResident(order.Model) {
		return Refused, &NotResidentError{m.VM, order.Model}
	}
	if reserved := m.ReservedMiB(); reserved+order.MiB > m.limitMiB() {
		return Refused, &bamboostep.InsufficientMemoryError{VM: m.VM, Name: order.Name, NeedMiB: order.MiB, ReservedMiB: reserved, MemoryMiB: m.limitMiB()}
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

func (m *MemoryReservations) decideUnload(now time.Duration, order bamboostep.Order, res *reservation) (Decision, error) {
	if res == nil {
		return Done, nil
	}
	res.fence = order.Fence
	res.orderIsLoad = false
	m.applyEvent(now, res, "unload")
	return Send, nil
}

func (m *MemoryReservations) addReservation(now time.Duration, res *reservation) {
	if m.reservations == nil {
		m.reservations = make(map[replicaKey]*reservation)
		m.removedAt = make(map[replicaKey]time.Duration)
	}
	res.changedAt = now
	m.reservations[res.key()] = res
	m.replicaList = nil
}

func (res *reservation) key() replicaKey { return replicaKey{res.replica.Name, res.replica.Version} }

// applyEvent applies an event to res and deletes the reservation in the final
// state. It ignores events that the state does not accept.
func (m *MemoryReservations) applyEvent(now time.Duration, res *reservation, e chart.Event) {
	next, err := replicaChart.Next(res.state, e)
	if err != nil {
		return
	}
	res.state = next
	res.changedAt = now
	m.replicaList = nil
	if next == stateGone {
		delete(m.reservations, res.key())
		m.removedAt[res.key()] = now
	}
}

// Result is the outcome of an admitted order.
type Result int

// The endings.
const (
	Executed    Result = iota // the engine reported that it is done
	NotExecuted               // the engine refused it, or it was never sent
	AnswerLost                // it may have been executed or not
)

// MarkSent records that an order which Begin admitted is being sent now. The time that
// Unanswered measures starts here.
func (m *MemoryReservations) MarkSent(now time.Duration, order bamboostep.Order) {
	if res := m.reservations[keyOf(order)]; res != nil {
		res.changedAt = now
		res.notInProgressFrom = 0
	}
}

// AnswerOverdue reports whether the answer to an order in flight should be treated as
// lost: for the settling time, the engine's state has either not shown the order
// in progress or not been observed at all. Waiting longer would block the replica
// until the sender's timeout.
func (m *MemoryReservations) AnswerOverdue(now time.Duration, order bamboostep.Order) bool {
	res := m.reservations[keyOf(order)]
	if res == nil {
		return false
	}
	if now-max(res.changedAt, m.observedTo) >= m.settleTime() {
		return true
	}
	return res.notInProgressFrom != 0 && m.observedTo-max(res.notInProgressFrom, m.observedFrom) >= m.settleTime()
}

// Finish records the outcome of an order that Begin or BeginLocal admitted. The cause
// is the error of an order that was not executed.
func (m *MemoryReservations) Finish(now time.Duration, order bamboostep.Order, ending Result, cause error) {
	m.finishRecord(order, ending, cause)
	res := m.reservations[keyOf(order)]
	if res == nil {
		return
	}
	switch {
	case ending == AnswerLost:
		m.applyEvent(now, res, "lost")
	case ending == NotExecuted:
		m.applyEvent(now, res, "refused")
	case res.orderIsLoad:
		m.applyEvent(now, res, "loaded")
	default:
		m.applyEvent(now, res, "unloaded")
	}
}

func (m *MemoryReservations) finishRecord(order bamboostep.Order, ending Result, cause error) {
	r := m.orders[order.Fence]
	if r == nil || r.order != order {
		return
	}
	r.err = cause
	r.applyEvent(map[Result]chart.Event{Executed: "done", NotExecuted: "refuse", AnswerLost: "lose"}[ending])
}
