package passroute

import "math"

// goldenStep spreads the points of a low-discrepancy sequence evenly over the
// unit interval, whatever part of the sequence is looked at.
const goldenStep = 0.6180339887498949

// Splitter divides the requests of each route over its targets by weight. A
// route's requests take the points of a low-discrepancy sequence that starts
// at a random phase, so that a node's shares are within a few requests of the
// weights, and those of all nodes together are not biased. It is used under
// its owner's lock.
type Splitter struct {
	phase  func() float64 // random, from 0 up to 1
	points map[string]float64
}

// NewSplitter makes a splitter; phase gives random numbers from 0 up to 1.
func NewSplitter(phase func() float64) *Splitter {
	return &Splitter{phase: phase, points: make(map[string]float64)}
}

// Choose gives the pool of the route's next request; empty when it has none.
func (s *Splitter) Choose(route *Route) string {
	if len(route.Targets) == 0 {
		return ""
	}
	if len(route.Targets) == 1 {
		return route.Targets[0].Pool
	}
	point, known := s.points[route.Name]
	if !known {
		point = s.phase()
	}
	_, next := math.Modf(point + goldenStep)
	s.points[route.Name] = next
	return pick(route.Targets, point)
}

func pick(targets []Target, point float64) string {
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

// Retain forgets routes that the table lacks.
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
