package passroute

import "math"

// goldenRatioStep is the step of a low-discrepancy sequence. Any contiguous part of
// the sequence is spread evenly over the unit interval.
const goldenRatioStep = 0.6180339887498949

// Splitter splits the requests of each route over its targets by weight. The
// requests of a route follow a low-discrepancy sequence that starts at a random
// phase, so that the shares on each node are within a few requests of the weights
// and the shares over all nodes are not biased. It is not safe for concurrent use;
// its owner protects it by a lock.
type Splitter struct {
	randomPhase func() float64 // returns a random number in [0, 1)
	points      map[string]float64
}

// NewSplitter returns a splitter. randomPhase must return random numbers in [0, 1).
func NewSplitter(randomPhase func() float64) *Splitter {
	return &Splitter{randomPhase: randomPhase, points: make(map[string]float64)}
}

// Choose returns the pool for the next request of the route. It is empty if the
// route has no targets.
func (s *Splitter) Choose(route *Route) string {
	if len(route.Targets) == 0 {
		return ""
	}
	if len(route.Targets) == 1 {
		return route.Targets[0].Pool
	}
	point, known := s.points[route.Name]
	if !known {
		point = s.randomPhase()
	}
	_, next := math.Modf(point + goldenRatioStep)
	s.points[route.Name] = next
	return targetAt(route.Targets, point)
}

func targetAt(targets []Target, point float64) string {
	total := 0.0
	for _, target := range targets {
		total += max(target.Weight, 0)
	}
	rest := point * total
	for _, target := range targets {
		if target.Weight <= 0 {
			continue
		}
		if rest < target.Weight {
			return target.Pool
		}
		rest -= target.Weight
	}
	return targets[len(targets)-1].Pool
}

// Retain removes the state of routes that are not in the table.
func (s *Splitter) Retain(table *Table) {
	kept := make(map[string]bool)
	for _, routes := range table.byHost {
		for _, route := range routes {
			kept[route.Name] = true
		}
	}
	for name := range s.points {
		if !kept[name] {
			delete(s.points, name)
		}
	}
}
