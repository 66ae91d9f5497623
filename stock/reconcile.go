package stock

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/chart"
)

// ObserveEngine reconciles the reservations with the engine's own state, which was
// requested at the given time. The state of a replica is ignored if its
// reservation changed at or after that time.
func (m *MemoryReservations) ObserveEngine(asked time.Duration, s bamboostep.EngineState) {
	m.recordObservation(asked)
	m.engineState = s
	m.observed = true
	listed := make(map[replicaKey]bamboostep.Replica, len(s.Replicas))
	for _, r := range s.Replicas {
		listed[replicaKey{r.Name, r.Version}] = r
	}
	for _, key := range slices.SortedFunc(maps.Keys(listed), compareKeys) {
		m.adoptReplica(asked, key, listed[key])
	}
	for _, res := range m.reservations {
		r, ok := listed[res.key()]
		m.reconcile(asked, res, r, ok)
	}
	maps.DeleteFunc(m.removedAt, func(_ replicaKey, at time.Duration) bool { return asked-at > removalRetention })
}

func compareKeys(a, b replicaKey) int {
	return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(a.version, b.version))
}

// recordObservation extends the period of observations without a gap. A gap of
// more than half the settling time restarts the period, because the engine may
// have stalled meanwhile.
func (m *MemoryReservations) recordObservation(asked time.Duration) {
	if !m.observed || asked-m.observedTo > m.settleTime()/2 {
		m.observedFrom = asked
	}
	m.observedTo = asked
	m.ready = m.ready || m.observedTo-m.observedFrom >= m.settleTime()
}

func (m *MemoryReservations) settleTime() time.Duration {
	if m.SettleTime == 0 {
		return DefaultSettleTime
	}
	return m.SettleTime
}

// adoptReplica adds a reservation for a replica that the engine holds without one,
// which is one loaded before the agent started.
func (m *MemoryReservations) adoptReplica(asked time.Duration, key replicaKey, r bamboostep.Replica) {
	if res := m.reservations[key]; res != nil {
		m.raiseSize(res, r.MiB)
		return
	}
	if removed, ok := m.removedAt[key]; ok && asked <= removed {
		return
	}
	res := &reservation{replica: r, state: stateResident, lastUsed: asked, orderIsLoad: true}
	if r.State != bamboostep.ReplicaResident {
		res.state = stateUncertain
	}
	m.addReservation(asked, res)
}

// raiseSize raises a reservation to the size that the engine reports. It never
// lowers one.
func (m *MemoryReservations) raiseSize(res *reservation, mib int64) {
	if mib > res.replica.MiB {
		res.replica.MiB = mib
		m.replicaList = nil
	}
}

// reconcile updates one reservation from the engine's state, in which r is the
// replica if it is listed.
func (m *MemoryReservations) reconcile(asked time.Duration, res *reservation, r bamboostep.Replica, listed bool) {
	if asked <= res.changedAt {
		return
	}
	present := listed && r.State == bamboostep.ReplicaResident
	inProgress := listed && !present
	res.trackProgress(asked, inProgress)
	switch res.state {
	case stateResident:
		if !listed {
			m.applyEvent(asked, res, "absent")
		}
	case stateUncertain:
		m.resolveUncertain(asked, res, present, inProgress)
	}
}

// trackProgress records since when the engine's state has not shown the order in
// flight in progress: it shows either the order's result or no trace of it.
func (res *reservation) trackProgress(asked time.Duration, inProgress bool) {
	inFlight := res.state == stateLoading || res.state == stateUnloading
	switch {
	case inProgress || !inFlight:
		res.notInProgressFrom = 0
	case res.notInProgressFrom == 0:
		res.notInProgressFrom = asked
	}
}

// resolveUncertain decides the outcome of an order whose answer was lost. A load
// whose replica is resident was executed. Anything else is decided only after the
// settling time, and an order in progress restarts that time.
func (m *MemoryReservations) resolveUncertain(asked time.Duration, res *reservation, present, inProgress bool) {
	switch {
	case inProgress:
		res.changedAt = asked
	case present && res.orderIsLoad:
		m.resolveAs(asked, res, "present", true)
	case asked-max(res.changedAt, m.observedFrom) < m.settleTime():
		return
	case present:
		m.resolveAs(asked, res, "present", false)
	default:
		m.resolveAs(asked, res, "absent", !res.orderIsLoad)
	}
}

// resolveAs applies the event to the uncertain reservation and records the outcome
// of its lost order.
func (m *MemoryReservations) resolveAs(asked time.Duration, res *reservation, e chart.Event, executed bool) {
	m.applyEvent(asked, res, e)
	r := m.orders[res.fence]
	if r == nil || r.state != stateLost || keyOf(r.order) != res.key() {
		return
	}
	if executed {
		r.applyEvent("done")
		return
	}
	r.err = &LostError{r.order}
	r.applyEvent("refuse")
}

// Ready reports whether memory may be reserved. That is so for good once the
// engine's state has been observed for the settling time without a gap, since the
// agent knows every order that it sent itself.
func (m *MemoryReservations) Ready() bool { return m.ready }

// EngineObserved reports whether the engine's state was ever observed.
func (m *MemoryReservations) EngineObserved() bool { return m.observed }

// IsResident reports whether any version of the named model or adapter is resident.
func (m *MemoryReservations) IsResident(name string) bool {
	for key, res := range m.reservations {
		if key.name == name && res.state == stateResident {
			return true
		}
	}
	return false
}

// OnlyVersion returns the resident version of the named model or adapter, and
// false unless there is exactly one.
func (m *MemoryReservations) OnlyVersion(name string) (version string, ok bool) {
	n := 0
	for key, res := range m.reservations {
		if key.name == name && res.state == stateResident {
			version = key.version
			n++
		}
	}
	return version, n == 1
}

// MarkUsed records that an attempt uses the named model or adapter.
func (m *MemoryReservations) MarkUsed(now time.Duration, name string) {
	for key, res := range m.reservations {
		if key.name == name {
			res.lastUsed = now
		}
	}
}

// AdapterEvictions returns orders that unload adapters, the least recently used first, until
// need MiB would be free. It returns nil if that much cannot be freed. Adapters for
// which busy returns true are not unloaded.
func (m *MemoryReservations) AdapterEvictions(need int64, busy func(name string) bool) []bamboostep.Order {
	free := m.limitMiB() - m.ReservedMiB()
	var orders []bamboostep.Order
	for _, res := range m.idleAdapters(busy) {
		if free >= need {
			break
		}
		free += res.replica.MiB
		orders = append(orders, unloadAdapter(res.replica))
	}
	if free < need {
		return nil
	}
	return orders
}

func (m *MemoryReservations) idleAdapters(busy func(name string) bool) []*reservation {
	var idle []*reservation
	for _, res := range m.reservations {
		if res.replica.Model != "" && res.state == stateResident && !busy(res.replica.Name) {
			idle = append(idle, res)
		}
	}
	slices.SortFunc(idle, func(a, b *reservation) int {
		return cmp.Or(cmp.Compare(a.lastUsed, b.lastUsed), compareKeys(a.key(), b.key()))
	})
	return idle
}

func unloadAdapter(r bamboostep.Replica) bamboostep.Order {
	return bamboostep.Order{
		Kind:    bamboostep.UnloadAdapter,
		Name:    r.Name,
		Model:   r.Model,
		Version: r.Version,
		MiB:     r.MiB,
	}
}

// ReservedMiB returns the memory that may be in use: the reservations in all
// states, and the memory that the engine holds beyond the replicas it lists.
func (m *MemoryReservations) ReservedMiB() int64 {
	var sum, listed int64
	for _, res := range m.reservations {
		sum += res.replica.MiB
	}
	for _, r := range m.engineState.Replicas {
		listed += r.MiB
	}
	return sum + max(0, m.engineState.UsedMiB-listed)
}

// limitMiB returns the lesser of the configured limit and the size that the engine
// reports, where a zero means that the value is not known.
func (m *MemoryReservations) limitMiB() int64 {
	if reported := m.engineState.MemoryMiB; reported > 0 && (m.MemoryMiB == 0 || reported < m.MemoryMiB) {
		return reported
	}
	return m.MemoryMiB
}

// LimitMiB returns the accelerator memory of the VM.
func (m *MemoryReservations) LimitMiB() int64 { return m.limitMiB() }

// HeldMiB returns the memory that the engine last reported to be in use.
func (m *MemoryReservations) HeldMiB() int64 { return m.engineState.UsedMiB }

// Replicas returns all replicas with a reservation, ordered by name and version.
// The caller must not modify the slice.
func (m *MemoryReservations) Replicas() []bamboostep.Replica {
	if m.replicaList == nil {
		m.replicaList = m.listReplicas()
	}
	return m.replicaList
}

func (m *MemoryReservations) listReplicas() []bamboostep.Replica {
	rs := make([]bamboostep.Replica, 0, len(m.reservations))
	for _, key := range slices.SortedFunc(maps.Keys(m.reservations), compareKeys) {
		res := m.reservations[key]
		r := res.replica
		r.State = bamboostep.ReplicaState(res.state)
		rs = append(rs, r)
	}
	return rs
}
