package streamorigin

import (
	"cmp"
	"slices"
	"time"
)

// ServedVersion is a software version whose engines have served a pool. Times are those of one clock
// that all nodes can read.
type ServedVersion struct {
	Software string
	// LeftAt is when the last engine of the version was found to have left; zero while it has engines.
	LeftAt time.Duration
}

// Served holds the versions that have served a pool, sorted by Software. Unlike a node's own list of
// engines it outlives the node, so that one that has just started knows the versions of engines that
// left before.
type Served []ServedVersion

// maxServed bounds the versions of a pool. Two are enough to tell that there are several.
const maxServed = 8

// Within returns the versions that may have begun a stream within Retention.
func (s Served) Within(now time.Duration) []string {
	var versions []string
	for _, version := range s {
		if version.mayHaveBegun(now) {
			versions = append(versions, version.Software)
		}
	}
	return versions
}

// Serving returns the versions that are listed as having engines.
func (s Served) Serving() []string {
	var versions []string
	for _, version := range s {
		if version.LeftAt == 0 {
			versions = append(versions, version.Software)
		}
	}
	return versions
}

// mayHaveBegun reports whether engines of the version served within Retention.
func (v ServedVersion) mayHaveBegun(now time.Duration) bool {
	return v.LeftAt == 0 || now-v.LeftAt <= Retention
}

// Listed returns the versions once engines of the given ones are listed, and whether that is a change.
func (s Served) Listed(listed []string, now time.Duration) (next Served, changed bool) {
	next = slices.DeleteFunc(slices.Clone(s), func(version ServedVersion) bool {
		return !version.mayHaveBegun(now) && !slices.Contains(listed, version.Software)
	})
	for _, software := range listed {
		at, known := slices.BinarySearchFunc(next, software, compareSoftware)
		switch {
		case known && next[at].LeftAt != 0:
			next[at].LeftAt, changed = 0, true
		case !known && len(next) < maxServed:
			next, changed = slices.Insert(next, at, ServedVersion{Software: software}), true
		}
	}
	if !changed {
		return s, false
	}
	return next, true
}

// Left returns the versions once no engine is listed of any but the given ones, and whether that is a
// change. Where none is listed at all, nothing is known to have left.
func (s Served) Left(listed []string, now time.Duration) (next Served, changed bool) {
	if len(listed) == 0 {
		return s, false
	}
	next = slices.Clone(s)
	for i, version := range next {
		if version.LeftAt == 0 && !slices.Contains(listed, version.Software) {
			next[i].LeftAt, changed = max(now, 1), true
		}
	}
	return next, changed
}

func compareSoftware(version ServedVersion, software string) int {
	return cmp.Compare(version.Software, software)
}
