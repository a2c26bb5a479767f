package slots

import (
	"github.com/prometheus/client_golang/prometheus"

	"ringstream.example/ringstream/internal/core/grant"
	"ringstream.example/ringstream/internal/core/overload"
)

// overloadMetrics counts the decisions of the overload control in the lanes that this node is
// the dispatcher of.
type overloadMetrics struct {
	refused *prometheus.CounterVec
	places  *prometheus.CounterVec
	booked  prometheus.Gauge
	queue   *prometheus.GaugeVec
}

func newOverloadMetrics() overloadMetrics {
	return overloadMetrics{
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "ringstream_overload_refused_total", Help: "Requests refused because the engines could not serve them in their time: with a place in the schedule of returns, without one, or when their time was over."}, []string{"reason"}),
		places:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "ringstream_overload_places_total", Help: "Places in the schedule of returns: kept for a request that came when told, missed by it, or released because it came early and was served."}, []string{"outcome"}),
		booked:  prometheus.NewGauge(prometheus.GaugeOpts{Name: "ringstream_overload_places_booked", Help: "Places in the schedule of returns that are booked."}),
		queue:   prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "ringstream_overload_queue", Help: "Online requests that wait while the engines are full, by whether they can still be in time."}, []string{"state"}),
	}
}

func (m overloadMetrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{m.refused, m.places, m.booked, m.queue}
}

// controlOverload gives a dispatcher an overload control, or takes it away. The control needs a
// pool whose streaming routes have one objective: it decides by the requests that wait in front of a
// request, and requests with a shorter objective that arrive later would go before it. The caller
// holds mu.
func (s *Service) controlOverload(lane grant.Lane, dispatcher *laneDispatcher) {
	wanted := s.config.Scheduling.RefuseOverload && s.hasOneObjective(lane.Pool)
	switch {
	case wanted == (dispatcher.overload != nil):
	case wanted:
		dispatcher.overload = overload.New()
		dispatcher.SetOverloadControl(dispatcher.overload)
	default:
		dispatcher.overload = nil
		dispatcher.SetOverloadControl(nil)
	}
}

// hasOneObjective reports whether the streaming routes of a pool have one objective. It is true
// before the routes are known.
func (s *Service) hasOneObjective(pool string) bool {
	pools := s.poolsWithOneObjective.Load()
	return pools == nil || (*pools)[pool]
}

// RefusesOverload reports whether requests that the engines cannot serve in their time are
// refused.
func (s *Service) RefusesOverload() bool { return s.config.Scheduling.RefuseOverload }

// recordOverload adds the decisions of all dispatchers since the last call. The caller holds mu.
func (s *Service) recordOverload() {
	if !s.config.Scheduling.RefuseOverload {
		return
	}
	var total overload.Counts
	var queue overload.QueueLength
	places := 0
	for _, dispatcher := range s.dispatchers {
		if dispatcher.overload == nil {
			continue
		}
		total = total.Plus(dispatcher.overload.TakeCounts())
		waiting := dispatcher.overload.QueueLength()
		queue.InTime += waiting.InTime
		queue.Late += waiting.Late
		places += dispatcher.overload.Places()
	}
	metrics := s.Metrics.overload
	metrics.refused.WithLabelValues("with_place").Add(float64(total.Booked))
	metrics.refused.WithLabelValues("without_place").Add(float64(total.Refused))
	metrics.refused.WithLabelValues("time_over").Add(float64(total.Expired))
	metrics.places.WithLabelValues("kept").Add(float64(total.Kept))
	metrics.places.WithLabelValues("missed").Add(float64(total.Missed))
	metrics.places.WithLabelValues("released").Add(float64(total.Released))
	metrics.booked.Set(float64(places))
	metrics.queue.WithLabelValues("in_time").Set(float64(queue.InTime))
	metrics.queue.WithLabelValues("late").Set(float64(queue.Late))
}
