// Package replicas has one node of each zone read the store's tables for all others there. Each
// node belongs to one of some slots of its zone; the holder of a slot is told by a row of the store,
// and the others of the slot follow its copies. The holder of the lowest slot reads the store, and
// the other holders follow it. Where nobody answers, a node asks the store itself and tries
// to become the holder. A second holder for some moments costs only calls: nothing is decided by
// who holds a slot. Holders follow lower slots alone, and only holders are followed, so that no
// node follows itself by way of others.
//
// The package owns the rows of the slots, the choice of whom to follow, and what is known of that
// node's clock. It keeps no table; package catalog does.
package replicas

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/passthrough"
	"ringstream.example/ringstream/internal/passthrough/catalog"
	"ringstream.example/ringstream/internal/peer/sharing"
	"ringstream.example/ringstream/internal/suspension"
	"ringstream.example/ringstream/internal/wait"
)

// tableSlots is where the holders of slots are told, one part a zone.
const tableSlots = "replicas"

// Config says how holders are found.
type Config struct {
	// Slots is how many nodes of a zone serve others: with eight, one serves 25 in a zone of 200,
	// and the lowest seven more.
	Slots int
	// SearchFor is how long a node that has just started looks for a holder before it asks the
	// store itself.
	SearchFor time.Duration
	// ListFor is how long a holder is waited for that answers and is still listing its tables, from
	// the store or from a lower slot's holder. Who took its slot, or asked the store beside it, would
	// list them later than it. On a machine of a fifth of a core 10,000 engines take 1 to 2 s.
	ListFor time.Duration
	// AskEvery is the pause between two questions whether a holder has listed the tables.
	AskEvery time.Duration
	// CheckEvery is the pause between two looks at the row of the own slot, and between two quick
	// questions to the holder, which show its clock.
	CheckEvery time.Duration
	// ProbeEvery is the pause between two calls of a follower to the store, by which it knows that
	// it reaches it: a job that is handed in must not be the first to find out.
	ProbeEvery time.Duration
	// RetryAfter is the pause after a search that found nobody.
	RetryAfter time.Duration
	// FreshFor is how old a copy may be for others to follow it: with their own calls they are
	// back at the store before a configuration has to be in force, 2 s after its acknowledgement.
	FreshFor time.Duration
	// RenewFor is the same while the table is being listed anew: who left for the store would list
	// it as well, and take longer. It is less than the time that a leaving engine still serves.
	RenewFor time.Duration
	// DoubtFor is how long a table is read from the store after a holder passed changes over.
	DoubtFor time.Duration
	// SmallWaits is how long a machine without any capacity leaves a slot to larger ones.
	SmallWaits time.Duration
}

// DefaultConfig suits nodes some milliseconds apart.
func DefaultConfig() Config {
	return Config{
		Slots: 8, SearchFor: 1500 * time.Millisecond, ListFor: 4 * time.Second, AskEvery: 50 * time.Millisecond, CheckEvery: 5 * time.Second,
		ProbeEvery: time.Second, RetryAfter: time.Second, FreshFor: 1200 * time.Millisecond, RenewFor: 3 * time.Second, DoubtFor: 10 * time.Second, SmallWaits: 200 * time.Millisecond,
	}
}

// Peers are the other nodes.
type Peers interface {
	// Follow asks a node's copy, and gives when the call was sent.
	Follow(ctx context.Context, peer string, call sharing.FollowCall) (sharing.FollowAnswer, time.Time, error)
	// Forget closes the connections to a node.
	Forget(peer string)
}

// Dependencies are the parts that the service works with.
type Dependencies struct {
	Rows   passthrough.Rows // the store
	Peers  Peers
	Logger *zap.Logger
	// Name is the node's, Life this life of it, Address where others reach it.
	Name, Life, Zone, Address string
	Capacity                  float64 // of the machine, as a share of a processor core
	// StoreTime is what this node knows of the store's clock. Its own calls keep it tight: a node
	// that has followed another's copies has made no others, and may have to serve at once.
	StoreTime *catalog.StoreTime
	// Leaving says whether this node is about to stop.
	Leaving func() bool
}

// mode is how this node reads the tables.
type mode uint8

const (
	searching mode = iota // it looks for a holder, and lets its first questions wait
	holding               // it holds its slot, and follows the holder of a lower one or the store
	following             // it follows the holder
	alone                 // nobody holds the slot, or nothing is known: it asks the store
)

var modeNames = [...]string{"searching", "holding", "following", "alone"}

// String gives the name for logs.
func (m mode) String() string { return modeNames[m] }

// Service is one node's part. It is safe for concurrent use.
type Service struct {
	Dependencies
	config  Config
	slot    string
	started time.Time
	watch   *suspension.Watch
	copies  map[string]*catalog.Copy // not changed once the service runs
	lost    chan struct{}            // has one token when the source was left

	mu      sync.Mutex // guards the rest; never held during a call
	mode    mode
	claims  bool                 // it may have just taken its slot
	decided chan struct{}        // closed when the first search is over
	listing chan struct{}        // closed when a holder has said that it is listing its tables
	heard   bool                 // that one has
	source  *source              // whose copies are followed; nil: the store's
	doubted map[string]time.Time // by table: when the source passed changes over
}

// New makes a service; Run searches.
func New(config Config, dependencies Dependencies) *Service {
	slot := xxhash.Sum64String(dependencies.Name) % uint64(config.Slots) //nolint:gosec // positive
	return &Service{
		Dependencies: dependencies, config: config, slot: fmt.Sprintf("%02d", slot), started: time.Now(),
		copies: make(map[string]*catalog.Copy), lost: make(chan struct{}, 1), decided: make(chan struct{}), listing: make(chan struct{}),
		doubted: make(map[string]time.Time),
	}
}

// Offer has others follow a table by a copy; called before Run.
func (s *Service) Offer(table string, copied *catalog.Copy) { s.copies[table] = copied }

// WatchBy has the service correct what it knows of its source's clock after a suspension; called
// before Run.
func (s *Service) WatchBy(watch *suspension.Watch) {
	s.watch = watch
	watch.OnWake(func(gap time.Duration) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.source != nil {
			s.source.clock.Suspended(gap)
		}
	})
}

// ReadsStore names this node's slot, and says whether it reads the store for others.
func (s *Service) ReadsStore() (slot string, reads bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Zone + "/" + s.slot, s.mode == holding && s.source == nil
}

// Alone says whether this node reads the store without holding a slot.
func (s *Service) Alone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode == alone || s.mode == searching
}

// Run keeps a source or becomes one for others until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		next, from := s.search(ctx)
		s.enter(next, from)
		switch next {
		case holding:
			s.hold(ctx)
		case following:
			s.keepTo(ctx, from)
		default:
			wait.For(ctx, s.config.RetryAfter/2+rand.N(s.config.RetryAfter))
		}
	}
	return nil
}

// enter takes a mode and a source; the first ends the wait of the questions.
func (s *Service) enter(next mode, from *source) {
	s.trust(from)
	s.mu.Lock()
	former, left := s.mode, s.source.name()
	s.mode, s.claims, s.source = next, false, from
	s.mu.Unlock()
	s.trust(from) // from here on its clock is corrected with the rest
	if former == searching {
		close(s.decided)
	}
	if former != next || left != from.name() {
		events.ReplicaChosen.Log(s.Logger, zap.Stringer("mode", next), zap.Stringer("before", former), zap.String("holder", from.name()), zap.String("slot", s.slot))
	}
}

// hold keeps the slot until another holds it, or ctx ends.
func (s *Service) hold(ctx context.Context) {
	for pause := s.config.RetryAfter; ; pause = s.config.CheckEvery {
		select {
		case <-ctx.Done():
			return
		case <-s.lost:
		case <-time.After(pause):
		}
		rows, err := s.readSlots(ctx, "")
		if err != nil {
			continue
		}
		if own, found := rowOf(rows, s.slot); !found || own.holder.Life != s.Life {
			return
		}
		s.enter(holding, s.lower(ctx, rows))
	}
}

// keepTo follows a source until it is left, another holds the slot, or ctx ends.
func (s *Service) keepTo(ctx context.Context, from *source) {
	for checked := time.Now(); ; {
		select {
		case <-ctx.Done():
			return
		case <-s.lost:
			return
		case <-time.After(s.config.ProbeEvery):
		}
		row, found, err := s.readSlot(ctx)
		if err == nil && found && row.holder.Address != from.address {
			return
		}
		if time.Since(checked) >= s.config.CheckEvery {
			checked = time.Now()
			if said := s.ask(ctx, from); said == noAnswer || said == noHolder {
				s.leave(from, errNoAnswer)
			}
		}
	}
}

// slotRow is the row of a slot.
type slotRow struct {
	slot    string
	holder  holderDocument
	version int64
}

// holderDocument tells who holds a slot.
type holderDocument struct {
	Address string `json:"address"`
	Life    string `json:"life"`
}

const callTime = time.Second // of a call about the rows of slots

// readSlot reads the row of the own slot.
func (s *Service) readSlot(ctx context.Context) (row slotRow, found bool, err error) {
	rows, err := s.readSlots(ctx, s.slot)
	row, found = rowOf(rows, s.slot)
	return row, found, err
}

// readSlots reads the rows of the zone's slots from one on up to the own, the lowest first.
func (s *Service) readSlots(ctx context.Context, from string) ([]slotRow, error) {
	call, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	sent, suspensions := time.Now(), s.watch.Count()
	snapshot, err := s.Rows.List(call, tableSlots, s.Zone, from, s.slot+"\x00", s.config.Slots)
	if err != nil {
		return nil, err
	}
	if s.watch.Count() == suspensions {
		s.StoreTime.MadeAt(sent, snapshot.StoreAt)
	}
	rows := make([]slotRow, 0, len(snapshot.Rows))
	for _, row := range snapshot.Rows {
		rows = append(rows, readHolder(row))
	}
	return rows, nil
}

func rowOf(rows []slotRow, slot string) (row slotRow, found bool) {
	for _, row := range rows {
		if row.slot == slot {
			return row, true
		}
	}
	return slotRow{}, false
}

// readHolder reads a slot's row; one that cannot be read names nobody.
func readHolder(row passthrough.Row) slotRow {
	var holder holderDocument
	if json.Unmarshal(row.Value, &holder) != nil {
		holder = holderDocument{}
	}
	return slotRow{slot: row.Key, holder: holder, version: row.Version}
}
