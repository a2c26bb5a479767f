package routing

import "slices"

// Filter excludes engines that must not run a request. Check returns Chosen to
// keep the engine, or the reason to exclude it.
type Filter interface {
	Check(request *Request, candidate *Candidate) Reason
}

// LoadedFilter excludes engines that do not have the model, version and adapter
// loaded. An engine that has not reported yet counts as Saturated, since its first
// report may make it usable.
type LoadedFilter struct{}

// Check implements Filter.
func (LoadedFilter) Check(request *Request, candidate *Candidate) Reason {
	if candidate.MaxRunning == 0 {
		return Saturated
	}
	for i := range candidate.Variants {
		variant := &candidate.Variants[i]
		if variant.Model != request.Model {
			continue
		}
		if request.Version != "" && variant.Version != request.Version {
			continue
		}
		if request.Adapter == "" || slices.Contains(variant.Adapters, request.Adapter) {
			return Chosen
		}
	}
	return NotLoaded
}

// UsableFilter excludes engines that are leaving, ejected or already tried. A
// probing engine with a request in flight counts as Saturated.
type UsableFilter struct{}

// Check implements Filter.
func (UsableFilter) Check(request *Request, candidate *Candidate) Reason {
	if candidate.Leaving || candidate.Ejected || slices.Contains(request.Tried, candidate.Engine) {
		return NotUsable
	}
	if candidate.Probing && candidate.OwnInFlight > 0 {
		return Saturated
	}
	return Chosen
}

// CapacityFilter excludes engines without free capacity. Batch work does not
// reduce the capacity for online work: only online sequences count for an online
// request. For a batch item, the engine's batch sequences must be below
// BatchAllowed.
type CapacityFilter struct{}

// Check implements Filter.
func (CapacityFilter) Check(request *Request, candidate *Candidate) Reason {
	used, capacity := candidate.Online, candidate.MaxRunning
	if request.Class == Batch {
		used, capacity = candidate.Batch, candidate.BatchAllowed
	}
	if used >= capacity {
		return Saturated
	}
	return Chosen
}
