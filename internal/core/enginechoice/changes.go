package enginechoice

import "slices"

// maxRecentChanges bounds the changes that are kept. It covers the changes of a large pool
// between two calls of ChangedSince. A caller that misses more has to read the whole set.
const maxRecentChanges = 4096

// changeLog records which engines changed last, so that the cost of following a Set depends
// on the number of changes and not on that of the engines.
type changeLog struct {
	count  uint64        // number of all changes so far
	recent []Incarnation // the last changes, oldest first
}

func (l *changeLog) record(engine Incarnation) {
	if len(l.recent) >= 2*maxRecentChanges {
		l.recent = slices.Clone(l.recent[maxRecentChanges:])
	}
	l.recent = append(l.recent, engine)
	l.count++
}

// Changes returns the number of changes of entries and states so far.
func (s *Set) Changes() uint64 { return s.changes.count }

// ChangedSince returns the engines that were changed, added or removed since Changes
// returned count, each once. Complete is false if the changes since then are no longer
// kept.
func (s *Set) ChangedSince(count uint64) (engines []Incarnation, complete bool) {
	missed := s.changes.count - count
	if missed > uint64(len(s.changes.recent)) {
		return nil, false
	}
	listed := make(map[Incarnation]bool, missed)
	for _, engine := range s.changes.recent[len(s.changes.recent)-int(missed):] { //nolint:gosec // bounded above
		if !listed[engine] {
			listed[engine] = true
			engines = append(engines, engine)
		}
	}
	return engines, true
}
