package enginechoice

import "slices"

// mostChanges bounds the changes that are remembered: as many as engines of a large pool
// change between two looks. Who looks more rarely takes the whole set anew.
const mostChanges = 4096

// changeLog remembers which engines changed last, so that who follows the set pays for what
// has changed and not for all engines.
type changeLog struct {
	count  uint64        // of all changes so far
	recent []Incarnation // the last ones
}

func (l *changeLog) note(engine Incarnation) {
	if len(l.recent) >= 2*mostChanges {
		l.recent = slices.Clone(l.recent[mostChanges:])
	}
	l.recent = append(l.recent, engine)
	l.count++
}

// Changes counts the changes of entries and states so far.
func (s *Set) Changes() uint64 { return s.changes.count }

// ChangedSince gives the engines that have changed, been added or been forgotten since
// Changes was a count, each once. Complete is false where that is too long ago to tell.
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
