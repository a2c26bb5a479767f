package enginechoice

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Incarnation identifies one run of an engine. An engine that restarts may keep its ID, but
// it has lost its cache and its requests. Everything known about engines is therefore kept
// by incarnation.
type Incarnation struct {
	ID string
	// Born is the Unix time of the start in milliseconds, or 0 if unknown. Of two
	// incarnations of an ID, the one with the higher value is the later one, so one with
	// an unknown start is the earliest.
	Born int64
}

// String returns the ID, and the start time if it is known, for logs.
func (i Incarnation) String() string {
	if i.Born == 0 {
		return i.ID
	}
	return i.ID + "@" + strconv.FormatInt(i.Born, 10)
}

// Hash returns a hash that identifies the incarnation in messages and in affinity ranking.
// If the start time is unknown, it is the hash of the ID.
func (i Incarnation) Hash() uint64 {
	hash := xxhash.Sum64String(i.ID)
	if i.Born == 0 {
		return hash
	}
	return affinity(hash, uint64(i.Born)) //nolint:gosec // only the bits are used
}

// Incarnation returns the incarnation of the engine that the entry describes.
func (e Entry) Incarnation() Incarnation { return Incarnation{ID: e.ID, Born: e.Born} }

// UpsertResult is the effect of an entry on a Set.
type UpsertResult uint8

// The effects of an entry.
const (
	Unchanged UpsertResult = iota // the engine's state is unchanged; its entry may differ
	Changed                       // the engine is new or its state has changed
	Restarted                     // the engine has restarted under its ID
	Outdated                      // the entry is of an earlier incarnation and was ignored
)

var upsertResultNames = [...]string{"unchanged", "changed", "restarted", "outdated"}

// String returns the name for logs.
func (n UpsertResult) String() string { return upsertResultNames[n] }

// incarnationHistory is what is known about the incarnations of an engine ID.
type incarnationHistory struct {
	newest int64 // Born of the latest incarnation
	count  int   // number of incarnations in the set
}

// Newest returns the latest known incarnation of an engine ID.
func (s *Set) Newest(id string) (Incarnation, bool) {
	known, found := s.incarnations[id]
	return Incarnation{ID: id, Born: known.newest}, found
}

// recordIncarnation compares an incarnation with the newest one known of its ID. If it is
// newer, it becomes the newest, and the former one ends.
func (s *Set) recordIncarnation(engine Incarnation, now time.Time) UpsertResult {
	known, found := s.incarnations[engine.ID]
	former := known.newest
	switch {
	case found && engine.Born < former:
		return Outdated
	case found && engine.Born == former:
		return Unchanged
	}
	known.newest = engine.Born
	s.incarnations[engine.ID] = known
	if !found {
		return Changed
	}
	s.end(Incarnation{ID: engine.ID, Born: former}, now)
	return Restarted
}

// end marks an incarnation as ended, unless it was leaving and its end was expected.
func (s *Set) end(engine Incarnation, now time.Time) {
	known := s.engines[engine]
	if known == nil || known.state == Leaving || known.state == Ended {
		return
	}
	known.state, known.since = Ended, now
	s.changes.record(engine)
}

// releaseIncarnation drops the history of an ID after its last incarnation was removed.
func (s *Set) releaseIncarnation(id string) {
	known := s.incarnations[id]
	if known.count--; known.count <= 0 {
		delete(s.incarnations, id)
		return
	}
	s.incarnations[id] = known
}
