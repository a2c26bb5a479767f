package edge

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"ringstream.example/ringstream/internal/passthrough/catalog"
	"ringstream.example/ringstream/internal/passthrough/slots"
)

// registerMetrics registers the metrics of the node: for each table of the store the time since it
// was last known to be current, the load of the lanes, the connections to engines, the blocked
// contents and the requests in flight.
func (n *Node) registerMetrics() {
	for table, health := range map[string]func() catalog.Health{
		"routes": n.routesFollower.Health, "engines": n.engineFollower.Health, "jobs": n.batch.Health,
	} {
		n.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "ringstream_pass_belief_age_seconds", Help: "Time since the moment that the store's last answer about a table told of; -1: never.",
			ConstLabels: prometheus.Labels{"table": table},
		}, func() float64 { return ageSeconds(health()) }))
		n.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "ringstream_pass_feed_passed_over_total", Help: "Times that a table was listed anew since its feed lacked what other calls had shown.",
			ConstLabels: prometheus.Labels{"table": table},
		}, func() float64 { return float64(health().SkippedCount) }))
	}
	for state, count := range map[string]func(slots.Load) int{
		"under_way": func(load slots.Load) int { return load.InFlight }, "waiting": func(load slots.Load) int { return load.Queued },
		"attached_nodes": func(load slots.Load) int { return load.Attached },
	} {
		n.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "ringstream_slots_lane_requests", Help: "Requests in the lanes that this node is the dispatcher of, and the nodes whose part of the tenants' limits is kept there.",
			ConstLabels: prometheus.Labels{"state": state},
		}, func() float64 { return float64(n.sumLanes(count)) }))
	}
	n.registry.MustRegister(
		slots.TenantQueueCollector{Service: n.slots},
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "ringstream_pass_engine_connections", Help: "Open connections to engines."}, func() float64 {
			open, _ := n.pool.Counts()
			return float64(open)
		}),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "ringstream_pass_engine_dials_total", Help: "Connections to engines opened so far."}, func() float64 {
			_, dialed := n.pool.Counts()
			return float64(dialed)
		}),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "ringstream_pass_blocked_contents", Help: "Contents that must reach no engine, since engines ended under them."}, func() float64 {
			return float64(n.BlockedContents())
		}),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "ringstream_pass_running", Help: "Requests of clients under way."}, func() float64 {
			return float64(n.ingress.InFlight())
		}),
	)
}

// sumLanes returns the sum of count over the lanes that this node dispatches.
func (n *Node) sumLanes(count func(slots.Load) int) int {
	total := 0
	for _, load := range n.slots.Loads() {
		total += count(load)
	}
	return total
}

// ageSeconds returns the time in seconds since the table was last known to be current, or -1 if it
// never was.
func ageSeconds(health catalog.Health) float64 {
	if health.AsOf.IsZero() {
		return -1
	}
	return time.Since(health.AsOf).Seconds()
}
