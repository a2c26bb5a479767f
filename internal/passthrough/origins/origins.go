// Package origins finds out which software version began a stream that a client takes up. The node
// that begins a stream tells a few other nodes its version while engines of several versions serve.
// The node at which the stream is taken up asks for it. Package core/streamorigin decides; this
// package keeps the records and exchanges datagrams, which may be lost.
package origins

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/streamorigin"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/passthrough/catalog"
	"ringstream.example/ringstream/internal/wait"
)

// Transport sends datagrams to other nodes. Datagrams may be lost.
type Transport interface {
	SendOrigins(to string, message streamorigin.Message)
}

// Dependencies are the components that the service uses.
type Dependencies struct {
	Engines *catalog.Engines
	Logger  *zap.Logger
	// Peers returns the other nodes that may be alive.
	Peers func() []streamorigin.Node
	// Seeds returns the addresses to ask while no other node is known.
	Seeds func() []string
	// PeersKnown reports whether Peers covers the whole fleet.
	PeersKnown func() bool
	// EnginesAge returns the time since the list of engines was last known to be complete.
	EnginesAge func() time.Duration
	// Served returns the versions that may have begun a stream of a pool within
	// streamorigin.Retention, as nodes have kept them in the store. It returns false until they are
	// read.
	Served func(pool string) (versions []string, known bool)
	// Recorded returns the versions of which the store tells that they serve a pool; nil if that is
	// not known.
	Recorded func(pool string) []string
}

const (
	// answerTimeout is how long answers are awaited before the nodes that owe one are asked again.
	answerTimeout = 60 * time.Millisecond
	// lookupTimeout bounds a lookup. A client that is refused can try another node.
	lookupTimeout = 4 * answerTimeout
	// maxEnginesAge is the age of the list of engines up to which a node that no other node answers
	// relies on it.
	maxEnginesAge = time.Second
	// versionsInterval is the interval at which the pools' versions are looked at.
	versionsInterval = 100 * time.Millisecond
	// maxRecordsPerMessage bounds the records of one message, about 30 bytes each.
	maxRecordsPerMessage = 200
)

// ErrNotFound is returned if no node knows which of several versions began a stream.
var ErrNotFound = errors.New("origins: no node knows which software version began the stream")

// Service keeps the origins of streams. It is safe for concurrent use.
type Service struct {
	Dependencies
	transport Transport // nil: this node runs alone
	started   time.Time

	mu       sync.Mutex // guards the fields below
	records  *streamorigin.Records
	versions map[string][]string // by pool: software versions of its engines
	lookups  map[uint64]pendingLookup
	lastID   uint64
}

// pendingLookup is a lookup that awaits answers.
type pendingLookup struct {
	key     streamorigin.Key
	replies chan reply
}

// reply is the answer of a node to a lookup.
type reply struct {
	from     string
	evidence streamorigin.Evidence
}

// New returns a service. Run does its periodic work.
func New(dependencies Dependencies) *Service {
	now := time.Now()
	return &Service{
		Dependencies: dependencies, started: now, records: streamorigin.NewRecords(now),
		versions: make(map[string][]string), lookups: make(map[uint64]pendingLookup),
	}
}

// UseTransport sets the transport by which the service reaches other nodes. It must be called
// before Run.
func (s *Service) UseTransport(transport Transport) { s.transport = transport }

// Run looks for pools whose engines begin to run several versions, until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	for wait.For(ctx, versionsInterval) {
		s.lookAtVersions()
	}
	return nil
}

// lookAtVersions updates the pools' versions. While a pool has one version, its streams are recorded
// at this node only; the records are sent once it has several.
func (s *Service) lookAtVersions() {
	current := make(map[string][]string)
	s.Engines.Use(func(set *enginechoice.Set, _ time.Time) {
		for _, pool := range set.Pools() {
			current[pool] = set.SoftwareVersions(pool)
		}
	})
	var mixed string
	s.mu.Lock()
	for pool, versions := range current {
		if len(versions) > 1 && len(s.versions[pool]) <= 1 {
			mixed = pool
		}
	}
	s.versions = current
	var records []streamorigin.Record
	if mixed != "" {
		records = s.records.All()
	}
	s.mu.Unlock()
	if mixed != "" {
		events.OriginsRepeated.Log(s.Logger, zap.String("pool", mixed), zap.Strings("versions", current[mixed]), zap.Int("records", len(records)))
		s.tellHolders(records)
	}
}

// Began records the version whose engine wrote a stream's first event, and tells other nodes while
// the pool has several versions.
func (s *Service) Began(pool, requestID, software string) {
	record := streamorigin.Record{Key: streamorigin.KeyOf(requestID), Software: software}
	s.mu.Lock()
	s.records.Add(record, time.Now())
	versions := s.versions[pool]
	single := len(versions) == 1 && versions[0] == software
	s.mu.Unlock()
	if !single {
		s.tellHolders([]streamorigin.Record{record})
	}
}

// BeginsAmong returns the software versions at whose engines a stream that clients can take up should
// begin, or nil if any will do. A version that has just come is left out until the store tells that it
// serves: if all nodes ended, the next ones would not know that it began streams. It is not left out if no
// engine of another version accepts the request.
func (s *Service) BeginsAmong(query enginechoice.Query) (versions []string) {
	recorded := s.Recorded(query.Pool)
	if len(recorded) == 0 {
		return nil
	}
	s.Engines.Use(func(set *enginechoice.Set, now time.Time) {
		if set.RunsOnly(query.Pool, recorded) {
			return
		}
		query.SoftwareAmong = recorded
		if set.CanPick(query, now) {
			versions = recorded
		}
	})
	return versions
}

// tellHolders sends records to the nodes that hold them.
func (s *Service) tellHolders(records []streamorigin.Record) {
	if s.transport == nil || len(records) == 0 {
		return
	}
	nodes := s.Peers()
	byHolder := make(map[string][]streamorigin.Record)
	for _, record := range records {
		for _, holder := range streamorigin.HoldersOf(record.Key, nodes) {
			byHolder[holder] = append(byHolder[holder], record)
		}
	}
	for holder, held := range byHolder {
		for part := range slices.Chunk(held, maxRecordsPerMessage) {
			s.transport.SendOrigins(holder, streamorigin.Message{Records: part})
		}
	}
}

// HandleMessage handles another node's message.
func (s *Service) HandleMessage(from string, message streamorigin.Message) {
	switch {
	case len(message.Records) > 0:
		s.addRecords(message.Records)
	case message.Question != nil:
		s.answer(from, *message.Question)
	case message.Answer != nil:
		s.deliver(from, *message.Answer)
	}
}

func (s *Service) addRecords(records []streamorigin.Record) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, record := range records {
		s.records.Add(record, now)
	}
}

// answer answers a node's question. Nodes of earlier builds take an answer without a record for one
// that covers the versions of the last Retention, so this node gives none while it may know of one
// version only because it has just started.
func (s *Service) answer(to string, question streamorigin.Question) {
	covered := s.coversVersions(question.Pool) // before the evidence, which may come to cover them meanwhile
	evidence := s.evidence(question.Pool, question.Key)
	if evidence.Software == "" && len(evidence.Versions) <= 1 && !covered {
		return
	}
	answer := streamorigin.Answer{ID: question.ID, Key: question.Key, Evidence: evidence}
	s.transport.SendOrigins(to, streamorigin.Message{Answer: &answer})
}

// coversVersions reports whether this node knows all versions of a pool's engines that may have begun
// a stream within Retention: as kept in the store, or since it has listed the engines for that long.
func (s *Service) coversVersions(pool string) bool {
	_, known := s.Served(pool)
	return known || (s.EnginesAge() <= maxEnginesAge && time.Since(s.started) >= streamorigin.Retention)
}

// evidence returns what this node knows about a stream of a pool.
func (s *Service) evidence(pool string, key streamorigin.Key) streamorigin.Evidence {
	versions, _ := s.Served(pool)
	s.Engines.Use(func(set *enginechoice.Set, _ time.Time) { versions = append(versions, set.SoftwareVersions(pool)...) })
	slices.Sort(versions)
	s.mu.Lock()
	defer s.mu.Unlock()
	software, _ := s.records.Software(key, time.Now())
	return streamorigin.NewEvidence(software, slices.Compact(versions))
}

// deliver passes an answer to the lookup that asked for it. An answer to a question of an earlier
// process of this node may have the id of a lookup, but another key.
func (s *Service) deliver(from string, answer streamorigin.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if pending, found := s.lookups[answer.ID]; found && pending.key == answer.Key {
		select {
		case pending.replies <- reply{from: from, evidence: answer.Evidence}:
		default: // a repeated answer
		}
	}
}
