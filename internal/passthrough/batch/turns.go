package batch

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ringstream.example/ringstream/internal/core/loadsum"
)

// Nodes that have a backlog take turns at each engine, so that they do not all
// fill the same free slots at once. A turn's last part is left for the news of
// it to spread.
const (
	turnLength = 100 * time.Millisecond
	turnQuiet  = 25 * time.Millisecond
)

// Contend takes the backlogs of the other nodes.
func (s *Service) Contend(backlogs []loadsum.Backlog) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rivals = backlogs
}

// Backlog counts the items of this node that wait for an engine and can still
// be in time.
func (s *Service) Backlog() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backlog
}

// turns gives a function that says whose turn it is at an engine; nil when no
// other node has a backlog. A node has turns in proportion to its backlog.
// Nodes agree on them by the store's clock.
func (s *Service) turns() func(engine string) bool {
	now, known := s.now()
	s.mu.Lock()
	rivals := slices.Clone(s.rivals)
	own := loadsum.Backlog{Node: loadsum.NodeHash(s.Self), Items: s.backlog}
	s.mu.Unlock()
	if len(rivals) == 0 || !known {
		return nil
	}
	if now%turnLength > turnLength-turnQuiet {
		return func(string) bool { return false }
	}
	turn := uint64(now / turnLength)
	return func(engine string) bool { return turnOf(append(rivals, own), turn, engine) == own.Node }
}

// turnOf gives the node whose turn it is at an engine: the one with the
// greatest of numbers drawn for each, which is each node's in proportion to its
// backlog (weighted rendezvous). A node whose backlog is seen a little
// differently by others changes few turns.
func turnOf(backlogs []loadsum.Backlog, turn uint64, engine string) uint32 {
	var holder uint32
	best := math.Inf(-1)
	for _, known := range backlogs {
		drawn := (float64(xxhash.Sum64String(fmt.Sprintf("%d/%d/%s", turn, known.Node, engine))>>11) + 0.5) / (1 << 53)
		score := -float64(max(known.Items, 1)) / math.Log(drawn)
		if score > best || (score == best && known.Node < holder) {
			holder, best = known.Node, score
		}
	}
	return holder
}
