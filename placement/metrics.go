package placement

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/bamboostep/bamboostep/fleet"
)

// Outcome labels of orders that have no code from a holder.
const (
	outcomeAccepted    = "taken"
	outcomeUnreachable = "unreachable"
)

// Metrics counts the leader's orders. A nil *Metrics is valid and counts nothing.
type Metrics struct {
	orders     *prometheus.CounterVec // by order and outcome
	storeLoads prometheus.Counter     // loads from the weight store
}

// NewMetrics creates the counters and registers them with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "bamboostep", Subsystem: "placement", Name: "orders_total",
			Help: "Orders to holders, by what they are and by outcome.",
		}, []string{"order", "outcome"}),
		storeLoads: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "bamboostep", Subsystem: "placement", Name: "store_loads_total",
			Help: "Loads from the weight store that were ordered.",
		}),
	}
	r.MustRegister(m.orders, m.storeLoads)
	return m
}

// recordOrder counts an order that was sent, by its outcome.
func (m *Metrics) recordOrder(load bool, err error) {
	if m == nil {
		return
	}
	order := "unload_model"
	if load {
		order = "load_model"
	}
	m.orders.WithLabelValues(order, outcomeOf(err)).Inc()
}

// recordStoreLoad counts an order to load weights from the store.
func (m *Metrics) recordStoreLoad() {
	if m != nil {
		m.storeLoads.Inc()
	}
}

// outcomeOf returns the outcome label of an order. Its values are the codes of holders,
// outcomeAccepted and outcomeUnreachable, so that their number is bounded.
func outcomeOf(err error) string {
	var refused *fleet.RefusedError
	switch {
	case err == nil:
		return outcomeAccepted
	case errors.As(err, &refused):
		return refused.Code
	}
	return outcomeUnreachable
}
