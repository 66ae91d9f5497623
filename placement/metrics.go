package placement

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/bamboostep/bamboostep/fleet"
)

// Outcomes of orders that no holder refused with a code of its own.
const (
	outcomeTaken       = "taken"
	outcomeUnreachable = "unreachable"
)

// Metrics counts the leader's orders. A nil *Metrics counts nothing.
type Metrics struct {
	orders *prometheus.CounterVec
	store  prometheus.Counter
}

// NewMetrics registers the counters.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "bamboostep", Subsystem: "placement", Name: "orders_total",
			Help: "Orders to holders, by what they are and by outcome.",
		}, []string{"order", "outcome"}),
		store: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "bamboostep", Subsystem: "placement", Name: "store_loads_total",
			Help: "Loads from the weight store that were ordered.",
		}),
	}
	r.MustRegister(m.orders, m.store)
	return m
}

func (m *Metrics) ordered(load bool, err error) {
	if m == nil {
		return
	}
	order := "unload_model"
	if load {
		order = "load_model"
	}
	m.orders.WithLabelValues(order, outcomeOf(err)).Inc()
}

func (m *Metrics) storeLoad() {
	if m != nil {
		m.store.Inc()
	}
}

// outcomeOf bounds the label to the codes of holders and two more.
func outcomeOf(err error) string {
	var refused *fleet.RefusedError
	switch {
	case err == nil:
		return outcomeTaken
	case errors.As(err, &refused):
		return refused.Code
	}
	return outcomeUnreachable
}
