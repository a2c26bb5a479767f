package batch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ringstream.example/ringstream/internal/core/loadsum"
)

// Nodes that have items waiting take turns at each engine, so that they do not
// all fill the same free slots at once. A turn's last part is left for the
// news of it to spread.
const (
	turnLength = 100 * time.Millisecond
	turnQuiet  = 25 * time.Millisecond
)

// Contend takes the lives of the other nodes that have items waiting, as
// loadsum.NodeHash gives them.
func (s *Service) Contend(wanting []uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wanting = wanting
}

// Wants says whether items of this node wait for an engine.
func (s *Service) Wants() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.wants
}

// turns gives a function that says whose turn it is at an engine; nil when
// this node has no rivals. Nodes agree on it by the store's clock.
func (s *Service) turns() func(engine string) bool {
	now, known := s.now()
	s.mu.Lock()
	self := loadsum.NodeHash(s.Self)
	rivals := append([]uint32{self}, s.wanting...)
	s.mu.Unlock()
	if len(rivals) == 1 || !known {
		return nil
	}
	slices.Sort(rivals)
	if now%turnLength > turnLength-turnQuiet {
		return func(string) bool { return false }
	}
	turn := uint64(now / turnLength)
	return func(engine string) bool {
		return rivals[(turn+xxhash.Sum64String(engine))%uint64(len(rivals))] == self
	}
}
