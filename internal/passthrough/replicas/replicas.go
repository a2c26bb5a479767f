// Package replicas lets one node of each zone read the store's tables on behalf of the others.
// Each node belongs to one of a fixed number of slots of its zone. A row of the store names the
// holder of a slot, and the other nodes of the slot follow the holder's copies. The holder of the
// lowest slot reads the store, and the other holders follow it. If no holder answers, a node
// reads the store itself and tries to become the holder. Two holders of a slot for a moment only
// cost extra calls, since no decision depends on who holds a slot. Holders follow only holders of
// lower slots, and only holders are followed, so no node can follow itself through others.
//
// The package owns the rows of the slots, the choice of the node to follow, and what is known of
// that node's clock. It keeps no table itself; package catalog does.
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

// slotTable is the store's table of slot holders, with one part per zone.
const slotTable = "replicas"

// Config sets how holders are found and when their copies may be followed.
type Config struct {
	// Slots is the number of slots of a zone. With eight slots, a holder serves 25 nodes in a
	// zone of 200, and the holder of the lowest slot serves seven more.
	Slots int
	// SearchTimeout is how long a node that has just started looks for a holder before it reads
	// the store itself.
	SearchTimeout time.Duration
	// ListTimeout is how long a node waits for a holder that answers but is still listing its
	// tables, from the store or from a lower slot's holder. A node that took over the slot, or
	// listed the tables from the store in parallel, would finish later than the holder. With a
	// fifth of a core, listing 10,000 engines takes 1 to 2 s.
	ListTimeout time.Duration
	// PollInterval is the interval at which a node asks whether a holder has listed the tables.
	PollInterval time.Duration
	// CheckInterval is the interval at which a node reads the row of its own slot, and sends the
	// holder a query that is answered at once and shows the holder's clock.
	CheckInterval time.Duration
	// ProbeInterval is the interval of a follower's calls to the store. They show whether the
	// store can be reached, so that a submitted job is not the first call to find out.
	ProbeInterval time.Duration
	// RetryDelay is the delay after a search that found no holder.
	RetryDelay time.Duration
	// MaxCopyAge is the maximum age of a copy that others may follow. It leaves them time to
	// return to the store before a configuration must be in force, 2 s after its acknowledgement.
	MaxCopyAge time.Duration
	// MaxRenewingAge replaces MaxCopyAge while the table is being listed again. A follower that
	// turned to the store would have to list the table as well, and would take longer. The value
	// is less than the time for which a leaving engine still serves requests.
	MaxRenewingAge time.Duration
	// DoubtPeriod is how long a table is read from the store after a holder skipped changes.
	DoubtPeriod time.Duration
	// MaxClaimDelay is how long a machine without any capacity leaves a slot to larger machines.
	MaxClaimDelay time.Duration
}

// DefaultConfig returns values for nodes that are some milliseconds apart.
func DefaultConfig() Config {
	return Config{
		Slots: 8, SearchTimeout: 1500 * time.Millisecond, ListTimeout: 4 * time.Second, PollInterval: 50 * time.Millisecond, CheckInterval: 5 * time.Second,
		ProbeInterval: time.Second, RetryDelay: time.Second, MaxCopyAge: 1200 * time.Millisecond, MaxRenewingAge: 3 * time.Second, DoubtPeriod: 10 * time.Second, MaxClaimDelay: 200 * time.Millisecond,
	}
}

// Peers sends calls to other nodes.
type Peers interface {
	// Follow asks a node for its copy. It also returns when the call was sent.
	Follow(ctx context.Context, peer string, call sharing.FollowCall) (sharing.FollowAnswer, time.Time, error)
	// CloseIdleConnections closes the connections to a node.
	CloseIdleConnections(peer string)
}

// Dependencies are the components that the service uses.
type Dependencies struct {
	Rows   passthrough.Rows // the store
	Peers  Peers
	Logger *zap.Logger
	// Name is the node's name, Incarnation identifies this incarnation of the node, and Address is where
	// other nodes reach it.
	Name, Incarnation, Zone, Address string
	Capacity                         float64 // of the machine, as a share of a processor core
	// StoreTime is this node's estimate of the store's clock. The calls on the slot rows keep it
	// tight, because a node that follows another's copies makes no other calls to the store and
	// may have to serve others at once.
	StoreTime *catalog.StoreTime
	// Leaving reports whether this node is about to stop.
	Leaving func() bool
}

// mode is how this node reads the tables.
type mode uint8

const (
	searching mode = iota // the node looks for a holder and delays its first table reads
	holding               // the node holds its slot and follows a lower slot's holder or the store
	following             // the node follows its slot's holder
	alone                 // no holder or slot row is available; the node reads the store
)

var modeNames = [...]string{"searching", "holding", "following", "alone"}

// String returns the name used in logs.
func (m mode) String() string { return modeNames[m] }

// Service is one node's part in the replication of tables. It is safe for concurrent use.
type Service struct {
	Dependencies
	config     Config
	slot       string
	started    time.Time
	watch      *suspension.Watch
	copies     map[string]*catalog.Copy // by table; not changed while the service runs
	sourceLost chan struct{}            // holds one token after the source was left

	mu                  sync.Mutex // guards the fields below; never held during a call
	mode                mode
	claiming            bool                 // a claim may have made this node the holder of its slot
	searchDone          chan struct{}        // closed when the first search is over
	holderListing       chan struct{}        // closed when a holder has reported that it is listing its tables
	holderListingClosed bool                 // whether holderListing is closed
	source              *source              // the node whose copies are followed; nil: the store
	doubtedAt           map[string]time.Time // by table: when the source skipped changes
}

// New returns a service. Run starts the search for a holder.
func New(config Config, dependencies Dependencies) *Service {
	slot := xxhash.Sum64String(dependencies.Name) % uint64(config.Slots) //nolint:gosec // positive
	return &Service{
		Dependencies: dependencies, config: config, slot: fmt.Sprintf("%02d", slot), started: time.Now(),
		copies: make(map[string]*catalog.Copy), sourceLost: make(chan struct{}, 1), searchDone: make(chan struct{}), holderListing: make(chan struct{}),
		doubtedAt: make(map[string]time.Time),
	}
}

// Offer lets other nodes follow a table by a copy. It must be called before Run.
func (s *Service) Offer(table string, copied *catalog.Copy) { s.copies[table] = copied }

// SetSuspensionWatch registers the service with a suspension watch, by which it corrects its estimate of the
// source's clock. It must be called before Run.
func (s *Service) SetSuspensionWatch(watch *suspension.Watch) {
	s.watch = watch
	watch.OnResume(func(gap time.Duration) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.source != nil {
			s.source.clock.AdjustForSuspension(gap)
		}
	})
}

// ReadsStore returns this node's slot and reports whether the node reads the store for others.
func (s *Service) ReadsStore() (slot string, reads bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Zone + "/" + s.slot, s.mode == holding && s.source == nil
}

// Alone reports whether this node reads the store without holding a slot.
func (s *Service) Alone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode == alone || s.mode == searching
}

// Run follows a source, or serves as one for others, until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		next, from := s.search(ctx)
		s.setMode(next, from)
		switch next {
		case holding:
			s.holdSlot(ctx)
		case following:
			s.followSource(ctx, from)
		default:
			wait.For(ctx, s.config.RetryDelay/2+rand.N(s.config.RetryDelay))
		}
	}
	return nil
}

// setMode sets the mode and the source. The first call lets the delayed table reads proceed.
func (s *Service) setMode(next mode, from *source) {
	s.discardStaleClock(from)
	s.mu.Lock()
	former, previous := s.mode, s.source.name()
	s.mode, s.claiming, s.source = next, false, from
	s.mu.Unlock()
	s.discardStaleClock(from) // from now on suspensions correct this clock too
	if former == searching {
		close(s.searchDone)
	}
	if former != next || previous != from.name() {
		events.ReplicaChosen.Log(s.Logger, zap.Stringer("mode", next), zap.Stringer("before", former), zap.String("holder", from.name()), zap.String("slot", s.slot))
	}
}

// holdSlot serves as the holder until another node holds the slot or ctx ends.
func (s *Service) holdSlot(ctx context.Context) {
	for pause := s.config.RetryDelay; ; pause = s.config.CheckInterval {
		select {
		case <-ctx.Done():
			return
		case <-s.sourceLost:
		case <-time.After(pause):
		}
		rows, err := s.readSlots(ctx, "")
		if err != nil {
			continue
		}
		if own, found := findSlotRow(rows, s.slot); !found || own.holder.Life != s.Incarnation {
			return
		}
		s.setMode(holding, s.findLowerHolder(ctx, rows))
	}
}

// followSource follows a source until it is left, another node holds the slot or ctx ends.
func (s *Service) followSource(ctx context.Context, from *source) {
	for checked := time.Now(); ; {
		select {
		case <-ctx.Done():
			return
		case <-s.sourceLost:
			return
		case <-time.After(s.config.ProbeInterval):
		}
		row, found, err := s.readSlot(ctx)
		if err == nil && found && row.holder.Address != from.address {
			return
		}
		if time.Since(checked) >= s.config.CheckInterval {
			checked = time.Now()
			if status := s.queryHolder(ctx, from); status == noAnswer || status == noHolder {
				s.leaveSource(from, errNoAnswer)
			}
		}
	}
}

// slotRow is the decoded row of a slot.
type slotRow struct {
	slot    string
	holder  holderDocument
	version int64
}

// holderDocument is the stored value that names the holder of a slot.
type holderDocument struct {
	Address string `json:"address"`
	Life    string `json:"life"`
}

const slotCallTimeout = time.Second // of one call on the slot rows

// readSlot reads the row of this node's slot.
func (s *Service) readSlot(ctx context.Context) (row slotRow, found bool, err error) {
	rows, err := s.readSlots(ctx, s.slot)
	row, found = findSlotRow(rows, s.slot)
	return row, found, err
}

// readSlots reads the rows of the zone's slots, from the given one up to this node's own, lowest
// first.
func (s *Service) readSlots(ctx context.Context, from string) ([]slotRow, error) {
	call, cancel := context.WithTimeout(ctx, slotCallTimeout)
	defer cancel()
	sent, suspensions := time.Now(), s.watch.Count()
	snapshot, err := s.Rows.List(call, slotTable, s.Zone, from, s.slot+"\x00", s.config.Slots)
	if err != nil {
		return nil, err
	}
	if s.watch.Count() == suspensions {
		s.StoreTime.EarliestAnswerTime(sent, snapshot.StoreAt)
	}
	rows := make([]slotRow, 0, len(snapshot.Rows))
	for _, row := range snapshot.Rows {
		rows = append(rows, parseSlotRow(row))
	}
	return rows, nil
}

func findSlotRow(rows []slotRow, slot string) (row slotRow, found bool) {
	for _, row := range rows {
		if row.slot == slot {
			return row, true
		}
	}
	return slotRow{}, false
}

// parseSlotRow decodes a slot's row. A row that cannot be decoded names no holder.
func parseSlotRow(row passthrough.Row) slotRow {
	var holder holderDocument
	if json.Unmarshal(row.Value, &holder) != nil {
		holder = holderDocument{}
	}
	return slotRow{slot: row.Key, holder: holder, version: row.Version}
}
