package routing

// Scorer computes the cost of running a request on an engine; lower is better.
// blocks is the number of prefix blocks expected in the engine's cache.
type Scorer interface {
	Cost(request *Request, candidate *Candidate, blocks int) float64
}

// LoadScorer computes the utilization of the engine including the request itself.
// For an online request, batch sequences are weighted by BatchWeight, since they
// can be preempted.
type LoadScorer struct {
	Weight float64
	// BatchWeight is the weight of a batch sequence for an online request, 0 to 1.
	BatchWeight float64
}

// Cost implements Scorer.
func (s LoadScorer) Cost(request *Request, candidate *Candidate, _ int) float64 {
	batchWeight := 1.0
	if request.Class == Online {
		batchWeight = s.BatchWeight
	}
	sequences := float64(candidate.Online) + batchWeight*float64(candidate.Batch) + 1
	return s.Weight * sequences / float64(max(candidate.MaxRunning, 1)) / speed(candidate)
}

// PrefixScorer computes a cost in proportion to the number of prompt blocks that
// the engine must still compute, scaled by its speed.
type PrefixScorer struct{ Weight float64 }

// Cost implements Scorer.
func (s PrefixScorer) Cost(request *Request, candidate *Candidate, blocks int) float64 {
	missing := float64(len(request.Prefix) - blocks)
	return s.Weight * missing / speed(candidate)
}

// ZoneScorer computes the cost of distance: ZoneCost for an engine in another zone
// of the region, RegionCost for one in another region.
type ZoneScorer struct{ ZoneCost, RegionCost float64 }

// Cost implements Scorer.
func (s ZoneScorer) Cost(_ *Request, candidate *Candidate, _ int) float64 {
	switch candidate.Distance {
	case SameZone:
		return 0
	case SameRegion:
		return s.ZoneCost
	default:
		return s.RegionCost
	}
}

func speed(candidate *Candidate) float64 {
	if candidate.Speed <= 0 {
		return 1
	}
	return candidate.Speed
}

// OrderScorer favors engines late in the shared order. It is for batch work, since
// online work fills the engines early in the order.
type OrderScorer struct{ Weight float64 }

// Cost implements Scorer.
func (s OrderScorer) Cost(_ *Request, candidate *Candidate, _ int) float64 {
	return -s.Weight * float64(candidate.PackOrder)
}

// PackScorer packs online work on few engines, in an order that is the same on all
// nodes, so that the other engines are free for batch work. The cost of an engine
// below its limits is its position in the order. An engine above them costs more
// than any engine below, in proportion to its load.
type PackScorer struct {
	// TargetUtilization is the fraction of MaxRunning up to which an engine is filled.
	TargetUtilization float64
	// MaxPrefillTokens is the number of prompt tokens of other requests from which
	// on an engine counts as full. It is scaled by the engine's speed; zero: no limit.
	MaxPrefillTokens int
	// Weight is the cost of one position in the order.
	Weight float64
}

// overTargetCost exceeds the cost of any position in the order and of any other scorer.
const overTargetCost = 1e6

// Cost implements Scorer.
func (s PackScorer) Cost(_ *Request, candidate *Candidate, _ int) float64 {
	used := float64(candidate.ExpectedOnline+1) / float64(max(candidate.MaxRunning, 1))
	ahead := 0.0
	if s.MaxPrefillTokens > 0 {
		ahead = float64(candidate.Prefill) / float64(s.MaxPrefillTokens) / speed(candidate)
	}
	if used > s.TargetUtilization || ahead >= 1 {
		return overTargetCost * (1 + used + ahead)
	}
	return s.Weight * float64(candidate.PackOrder)
}
