package routing

// Weights of the policies. The measurements behind them are in docs/experiments.md.
const (
	loadWeight   = 1.0
	prefixWeight = 1.5
	packWeight   = 1.0
	orderWeight  = 0.02
	zoneWeight   = 0.02
	regionWeight = 1000
)

// DefaultPolicy returns the policy for online requests. It packs them on few
// engines, in an order that is the same on all nodes, and fills each engine up to
// targetUtilization of its concurrent sequences, so that the other engines are
// free for batch work (decision 0030). A longer cached prefix can move a request
// to a later engine of the order. maxPrefillTokens bounds the prompt tokens that
// an engine must compute before a new request.
func DefaultPolicy(targetUtilization float64, maxPrefillTokens int) *Policy {
	return &Policy{
		Filters: []Filter{LoadedFilter{}, UsableFilter{}, CapacityFilter{}},
		Scorers: []Scorer{
			PackScorer{TargetUtilization: targetUtilization, MaxPrefillTokens: maxPrefillTokens, Weight: packWeight},
			PrefixScorer{Weight: prefixWeight},
			ZoneScorer{RegionCost: regionWeight},
		},
		Picker: Cheapest{},
	}
}

// BatchPolicy returns the policy for batch items. It chooses the engine with the
// most idle capacity.
func BatchPolicy() *Policy {
	return &Policy{
		Filters: []Filter{LoadedFilter{}, UsableFilter{}, CapacityFilter{}},
		Scorers: []Scorer{LoadScorer{Weight: loadWeight}, OrderScorer{Weight: orderWeight}, ZoneScorer{ZoneCost: zoneWeight, RegionCost: regionWeight}},
		Picker:  Cheapest{},
	}
}
