package catalog

import (
	"maps"
	"slices"
	"time"
)

// ListedSoftware returns the software versions of the engines that have an entry, by pool, sorted. The
// result is shared and not to be modified.
func (e *Engines) ListedSoftware() map[string][]string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reevaluate()
	if e.listedSoftware == nil {
		e.listedSoftware = e.collectSoftware()
	}
	return e.listedSoftware
}

// collectSoftware returns the software versions of the engines whose entries are used. The caller
// holds mu.
func (e *Engines) collectSoftware() map[string][]string {
	byPool := make(map[string]map[string]bool)
	for _, listed := range e.listed {
		if listed.refusal != nil {
			continue
		}
		pool := byPool[listed.entry.Pool]
		if pool == nil {
			pool = make(map[string]bool)
			byPool[listed.entry.Pool] = pool
		}
		pool[listed.entry.Software] = true
	}
	versions := make(map[string][]string, len(byPool))
	for pool, software := range byPool {
		versions[pool] = slices.Sorted(maps.Keys(software))
	}
	return versions
}

// Age returns the time since the list of engines was last known to be complete.
func (e *Engines) Age() time.Duration { return time.Since(e.health().AsOf) }
