package enginechoice

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Incarnation is one start of an engine. An engine that starts again may keep its id; it
// then holds nothing and knows of nothing from before, so that whatever is believed of an
// engine is kept by incarnation.
type Incarnation struct {
	ID string
	// Born is the Unix time of the start in milliseconds; 0: not told. Of two incarnations
	// of an id the one with the higher value is the later one, and one that does not tell
	// its start is before all that do.
	Born int64
}

// String gives the id, and the start where it is told, for logs.
func (i Incarnation) String() string {
	if i.Born == 0 {
		return i.ID
	}
	return i.ID + "@" + strconv.FormatInt(i.Born, 10)
}

// Hash stands for the incarnation in messages, and ranks it for keys. Where no start is
// told it is the hash of the id.
func (i Incarnation) Hash() uint64 {
	hash := xxhash.Sum64String(i.ID)
	if i.Born == 0 {
		return hash
	}
	return affinity(hash, uint64(i.Born)) //nolint:gosec // only its bits are meant
}

// Incarnation gives which start of the engine the entry is of.
func (e Entry) Incarnation() Incarnation { return Incarnation{ID: e.ID, Born: e.Born} }

// News is what an entry means for the set.
type News uint8

// What an entry can mean.
const (
	Unchanged News = iota // the state is the one that was known
	Changed               // the engine is new, or its state has changed
	Restarted             // the engine has started again under its id
	Outdated              // of an incarnation before the one that is known: ignored
)

var newsNames = [...]string{"unchanged", "changed", "restarted", "outdated"}

// String gives the name for logs.
func (n News) String() string { return newsNames[n] }

// lives is what is known of the incarnations of an id.
type lives struct {
	newest int64 // the start of the latest
	count  int   // of those in the set
}

// Newest gives the latest incarnation that is known of an id.
func (s *Set) Newest(id string) (Incarnation, bool) {
	known, found := s.lives[id]
	return Incarnation{ID: id, Born: known.newest}, found
}

// order compares an incarnation with the newest that is known of its id, and brings that up
// to date.
func (s *Set) order(engine Incarnation, now time.Time) News {
	known, found := s.lives[engine.ID]
	former := known.newest
	switch {
	case found && engine.Born < former:
		return Outdated
	case found && engine.Born == former:
		return Unchanged
	}
	known.newest = engine.Born
	s.lives[engine.ID] = known
	if !found {
		return Changed
	}
	s.end(Incarnation{ID: engine.ID, Born: former}, now)
	return Restarted
}

// end takes an incarnation as over. One that had said that it leaves has left.
func (s *Set) end(engine Incarnation, now time.Time) {
	known := s.engines[engine]
	if known == nil || known.state == Leaving || known.state == Ended {
		return
	}
	known.state, known.since = Ended, now
	s.changes.note(engine)
}

// forgetOrder forgets which incarnation of an id is the newest, once none is known.
func (s *Set) forgetOrder(id string) {
	known := s.lives[id]
	if known.count--; known.count <= 0 {
		delete(s.lives, id)
		return
	}
	s.lives[id] = known
}
