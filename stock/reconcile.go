package stock

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/chart"
)

// Observe takes the engine's own state, which was asked for at the given time.
// What the state says about a replica counts only if the replica's last change
// here was before that.
func (m *Memory) Observe(asked time.Duration, s bamboostep.EngineState) {
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
	for _, h := range m.reservations {
		r, ok := listed[h.key()]
		m.reconcile(asked, h, r, ok)
	}
	maps.DeleteFunc(m.removedAt, func(_ replicaKey, at time.Duration) bool { return asked-at > removalMemory })
}

func compareKeys(a, b replicaKey) int {
	return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(a.version, b.version))
}

// recordObservation keeps the span of observations without a break. A break of half the
// settling time starts it anew: the engine may have stood still meanwhile.
func (m *Memory) recordObservation(asked time.Duration) {
	if !m.observed || asked-m.observedTo > m.settleTime()/2 {
		m.observedFrom = asked
	}
	m.observedTo = asked
	m.ready = m.ready || m.observedTo-m.observedFrom >= m.settleTime()
}

func (m *Memory) settleTime() time.Duration {
	if m.Settle == 0 {
		return DefaultSettle
	}
	return m.Settle
}

// adoptReplica takes up a replica that the engine holds and nobody here ordered: one
// from before the agent's start.
func (m *Memory) adoptReplica(asked time.Duration, key replicaKey, r bamboostep.Replica) {
	if h := m.reservations[key]; h != nil {
		m.raiseSize(h, r.MiB)
		return
	}
	if gone, ok := m.removedAt[key]; ok && asked <= gone {
		return
	}
	h := &reservation{replica: r, state: stateResident, lastUsed: asked, orderIsLoad: true}
	if r.State != bamboostep.ReplicaResident {
		h.state = stateUncertain
	}
	m.addReservation(asked, h)
}

// raiseSize takes the engine's word where a replica is larger than its order said.
func (m *Memory) raiseSize(h *reservation, mib int64) {
	if mib > h.replica.MiB {
		h.replica.MiB = mib
		m.replicaList = nil
	}
}

func (m *Memory) reconcile(asked time.Duration, h *reservation, r bamboostep.Replica, listed bool) {
	if asked <= h.changedAt {
		return
	}
	present := listed && r.State == bamboostep.ReplicaResident
	moving := listed && !present
	h.trackProgress(asked, moving)
	switch h.state {
	case stateResident:
		if !listed {
			m.applyEvent(asked, h, "absent")
		}
	case stateUncertain:
		m.resolveUncertain(asked, h, present, moving)
	}
}

// trackProgress keeps since when the engine's state has not shown the order on its
// way at work: it shows the order's end, or no trace of it.
func (h *reservation) trackProgress(asked time.Duration, moving bool) {
	onItsWay := h.state == stateLoading || h.state == stateUnloading
	switch {
	case moving || !onItsWay:
		h.notInProgressFrom = 0
	case h.notInProgressFrom == 0:
		h.notInProgressFrom = asked
	}
}

// resolveUncertain decides what became of an order whose answer was lost. A load that
// shows as done is done. All else waits for the settling time.
func (m *Memory) resolveUncertain(asked time.Duration, h *reservation, present, moving bool) {
	switch {
	case moving:
		h.changedAt = asked
	case present && h.orderIsLoad:
		m.resolveAs(asked, h, "present", true)
	case asked-max(h.changedAt, m.observedFrom) < m.settleTime():
		return
	case present:
		m.resolveAs(asked, h, "present", false)
	default:
		m.resolveAs(asked, h, "absent", !h.orderIsLoad)
	}
}

// resolveAs ends the doubt about h, and about the order that was lost.
func (m *Memory) resolveAs(asked time.Duration, h *reservation, e chart.Event, executed bool) {
	m.applyEvent(asked, h, e)
	r := m.orders[h.fence]
	if r == nil || r.state != stateLost || keyOf(r.order) != h.key() {
		return
	}
	if executed {
		r.applyEvent("done")
		return
	}
	r.err = &LostError{r.order}
	r.applyEvent("refuse")
}

// Ready reports whether memory may be reserved: the engine's state has once been
// observed for the settling time. What the agent sent since its start it knows.
func (m *Memory) Ready() bool { return m.ready }

// Observed reports whether the engine's state is known at all.
func (m *Memory) Observed() bool { return m.observed }

// Resident reports whether the named model or adapter can serve.
func (m *Memory) Resident(name string) bool {
	for key, h := range m.reservations {
		if key.name == name && h.state == stateResident {
			return true
		}
	}
	return false
}

// OnlyVersion returns the version of the named model or adapter that can serve,
// and false if there is none or several.
func (m *Memory) OnlyVersion(name string) (version string, ok bool) {
	n := 0
	for key, h := range m.reservations {
		if key.name == name && h.state == stateResident {
			version = key.version
			n++
		}
	}
	return version, n == 1
}

// Use notes that an attempt uses the named replica.
func (m *Memory) Use(now time.Duration, name string) {
	for key, h := range m.reservations {
		if key.name == name {
			h.lastUsed = now
		}
	}
}

// Victims returns orders that unload adapters, the least recently used first,
// until need MiB would be free; none when that cannot be reached. Adapters that
// busy names stay.
func (m *Memory) Victims(need int64, busy func(name string) bool) []bamboostep.Order {
	free := m.limitMiB() - m.ReservedMiB()
	var orders []bamboostep.Order
	for _, h := range m.idleAdapters(busy) {
		if free >= need {
			break
		}
		free += h.replica.MiB
		orders = append(orders, unloadAdapter(h.replica))
	}
	if free < need {
		return nil
	}
	return orders
}

func (m *Memory) idleAdapters(busy func(name string) bool) []*reservation {
	var idle []*reservation
	for _, h := range m.reservations {
		if h.replica.Model != "" && h.state == stateResident && !busy(h.replica.Name) {
			idle = append(idle, h)
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

// ReservedMiB returns the memory that may be in use: the sum over all replicas
// in any state, and what the engine holds beyond the replicas that it lists.
func (m *Memory) ReservedMiB() int64 {
	var sum, listed int64
	for _, h := range m.reservations {
		sum += h.replica.MiB
	}
	for _, r := range m.engineState.Replicas {
		listed += r.MiB
	}
	return sum + max(0, m.engineState.HeldMiB-listed)
}

// limitMiB returns the VM's memory: the lesser of the agent's word and the engine's.
func (m *Memory) limitMiB() int64 {
	if own := m.engineState.MemoryMiB; own > 0 && (m.Limit == 0 || own < m.Limit) {
		return own
	}
	return m.Limit
}

// LimitMiB returns the accelerator memory of the VM.
func (m *Memory) LimitMiB() int64 { return m.limitMiB() }

// HeldMiB returns what the engine itself last reported to hold.
func (m *Memory) HeldMiB() int64 { return m.engineState.HeldMiB }

// Replicas returns all replicas in order of name and version. The caller must
// not change them.
func (m *Memory) Replicas() []bamboostep.Replica {
	if m.replicaList == nil {
		m.replicaList = m.listReplicas()
	}
	return m.replicaList
}

func (m *Memory) listReplicas() []bamboostep.Replica {
	rs := make([]bamboostep.Replica, 0, len(m.reservations))
	for _, key := range slices.SortedFunc(maps.Keys(m.reservations), compareKeys) {
		h := m.reservations[key]
		r := h.replica
		r.State = bamboostep.ReplicaState(h.state)
		rs = append(rs, r)
	}
	return rs
}
