// Package guard keeps requests that crash engines from reaching more of them. It records which
// contents were in flight at engines that ended, reports them to the other nodes, writes to the
// store what must survive a restart of all nodes, and decides whether a request's content is
// blocked (by the rules of package core/quarantine). Its only contact with engines is a
// connection attempt to an engine that broke off a run, to find out whether it still listens.
package guard

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/grant"
	"ringstream.example/ringstream/internal/core/quarantine"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/passthrough/catalog"
	"ringstream.example/ringstream/internal/passthrough/engineconn"
)

// Transport sends crashes to other nodes. Messages may be lost.
type Transport interface {
	SendCrashes(to string, crashes []quarantine.Crash)
	// AskCrashes asks a node for its startup reports.
	AskCrashes(to string)
}

// Keeper stores what nodes must know after a restart. A write replaces the value stored under the
// same key.
type Keeper interface {
	KeepCrashes(ctx context.Context, key string, crashes []quarantine.Crash) error
}

// Dependencies are the components that the service uses.
type Dependencies struct {
	Engines *catalog.Engines
	Pool    *engineconn.Pool
	Logger  *zap.Logger
	Metrics *Metrics
	// Self identifies this incarnation of the node.
	Self string
	// Peers returns the addresses of the other nodes that may be alive.
	Peers func() []string
	// Seeds returns the addresses to ask while no other node is known.
	Seeds func() []string
}

// Service decides which contents are blocked. It is safe for concurrent use.
//
// Lock order: the engines' lock and Service.mu are never held together, and neither is held
// during a call.
type Service struct {
	Dependencies
	transport     Transport // nil: this node runs alone
	keeper        Keeper    // nil: nothing is stored
	onBlocked     func(quarantine.Digest)
	hasRecords    atomic.Bool   // whether the ledger holds any record
	sendSignal    chan struct{} // holds one token while there is something to send
	persistSignal chan struct{} // holds one token while there is something to store

	mu            sync.Mutex // guards the fields below
	ledger        *quarantine.Ledger
	loggedBlocked map[quarantine.Digest]bool // contents whose block has been logged
	unsent        []quarantine.Crash         // crashes to be sent to the other nodes
	unpersisted   map[quarantine.Digest]bool // contents whose crashes are to be written to the store
	resends       []resend
	ownCrashes    map[quarantine.Digest]map[uint64]bool // engines of the crashes that this node saw itself
	brokenRuns    []brokenRun                           // recent runs, oldest first
}

// New returns a service. Run does its periodic work.
func New(config quarantine.Config, dependencies Dependencies) *Service {
	return &Service{
		Dependencies: dependencies, sendSignal: make(chan struct{}, 1), persistSignal: make(chan struct{}, 1), onBlocked: func(quarantine.Digest) {}, ledger: quarantine.NewLedger(config),
		loggedBlocked: make(map[quarantine.Digest]bool), unpersisted: make(map[quarantine.Digest]bool), ownCrashes: make(map[quarantine.Digest]map[uint64]bool),
	}
}

// OnBlocked sets a function that is called with each content that becomes blocked. It must be
// called before Run.
func (s *Service) OnBlocked(notify func(quarantine.Digest)) { s.onBlocked = notify }

// UseTransport sets the transport by which crashes reach other nodes. It must be called before
// Run.
func (s *Service) UseTransport(transport Transport) { s.transport = transport }

// UseKeeper sets the keeper that stores crashes. It must be called before Run.
func (s *Service) UseKeeper(keeper Keeper) { s.keeper = keeper }

// Verdict returns the verdict on a request, and the digest of the content or part that it is on. While
// no crash and no operator's block is known it costs one atomic load.
func (s *Service) Verdict(identity quarantine.Identity) (verdict quarantine.Verdict, on quarantine.Digest) {
	if !s.hasRecords.Load() {
		return quarantine.Verdict{}, identity.Content
	}
	now := time.Now()
	s.mu.Lock()
	verdict, on = s.ledger.IdentityVerdict(identity, now)
	newlyBlocked := s.markBlocked(on, verdict) // a part is also blocked by what becomes known of other parts
	s.mu.Unlock()
	s.reportBlocked(newlyBlocked, on, verdict, "request")
	return verdict, on
}

// Suspect returns what a dispatcher must know about a request: the part of its prompt, or else the
// content, that may crash engines.
func (s *Service) Suspect(identity quarantine.Identity) grant.Suspect {
	if !s.hasRecords.Load() {
		return grant.Suspect{}
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if part, crashes, found := s.ledger.SuspectPart(identity, now); found {
		return grant.Suspect{Content: part.Hash(), Crashes: crashes}
	}
	verdict := s.ledger.Verdict(identity.Content, now)
	if verdict.Crashes == 0 {
		return grant.Suspect{}
	}
	return grant.Suspect{Content: identity.Content.Hash(), Crashes: verdict.Crashes}
}

// Run is one run of a request at an engine.
type Run struct {
	Request  string
	Identity quarantine.Identity
	Item     bool // an item of a job, under which crashes block nothing
	Engine   engineconn.Key
	// Wrote is the time from the run's first event until it broke; 0 if there was none.
	Wrote time.Duration
}

// CheckBrokenRun checks whether the engine of a broken run has ended, and if so records the end as a crash
// of the run's content and of the parts of its prompt, or of the item. An engine that still listens may have restarted; its next entry shows
// this (see Restarted).
func (s *Service) CheckBrokenRun(ctx context.Context, run Run) (ended bool) {
	if s.Pool.ProcessEnded(ctx, run.Engine) {
		s.recordEngineEnd(run)
		return true
	}
	s.addBrokenRun(run)
	if s.engineState(run.Engine.Engine) != enginechoice.Ended {
		return false
	}
	s.Restarted(run.Engine.Engine)
	return true
}

// recordEngineEnd records that an engine ended during a run. An engine that was leaving ended as
// planned, and no crash is recorded.
func (s *Service) recordEngineEnd(run Run) {
	if s.engineState(run.Engine.Engine) == enginechoice.Leaving {
		events.EngineLeft.Log(s.Logger, zap.String("request", run.Request), zap.Stringer("content", run.Identity.Content), zap.Stringer("engine", run.Engine.Engine))
		return
	}
	now := time.Now()
	newlyBlocked := make(map[quarantine.Digest]quarantine.Verdict)
	s.mu.Lock()
	suspects := run.suspects()
	for _, part := range s.harmlessParts(run, now) {
		s.excuse(part, now)
	}
	for _, digest := range suspects {
		crash := quarantine.Crash{Content: digest, Engine: grant.EngineHash(run.Engine.Engine)}
		if s.recordCrash(crash, now) {
			s.unsent = append(s.unsent, crash)
		}
		s.recordOwnCrash(crash)
	}
	for _, digest := range suspects {
		known := s.ledger.Verdict(digest, now)
		if known.Crashes >= minPersisted(digest) {
			s.unpersisted[digest] = true
		}
		if s.markBlocked(digest, known) {
			newlyBlocked[digest] = known
		}
	}
	verdict := s.ledger.Verdict(suspects[0], now)
	s.mu.Unlock()
	s.signalBoth()
	s.Metrics.crashed()
	events.EngineEnded.Log(s.Logger, zap.String("request", run.Request), zap.Stringer("content", run.Identity.Content), zap.Stringer("engine", run.Engine.Engine), zap.Stringers("parts", run.Identity.Parts), zap.Bool("item", run.Item),
		zap.Int("crashes", verdict.Crashes), zap.Float64("evidence", verdict.Evidence), zap.Bool("blocked", verdict.Blocked))
	for digest, known := range newlyBlocked {
		s.reportBlocked(true, digest, known, "own run")
	}
}

// RecordSuccess records that a run of a request completed.
func (s *Service) RecordSuccess(request string, identity quarantine.Identity) {
	if len(identity.Parts) == 0 && !s.hasRecords.Load() {
		return
	}
	s.recordComplete(request, identity.Digests())
}

// recordComplete excuses the crashes of contents and parts.
func (s *Service) recordComplete(request string, digests []quarantine.Digest) {
	now := time.Now()
	cleared := make(map[quarantine.Digest]int)
	s.mu.Lock()
	for _, digest := range digests {
		if crashes := s.excuse(digest, now); crashes > 0 {
			cleared[digest] = crashes
		}
	}
	s.mu.Unlock()
	if len(cleared) > 0 {
		s.signalBoth()
	}
	for digest, crashes := range cleared {
		events.ContentExcused.Log(s.Logger, zap.String("request", request), zap.Stringer("content", digest), zap.Bool("part", digest.IsPart()), zap.Int("crashes", crashes))
	}
}

// excuse excuses the crashes of a content or part. It returns their number if other nodes are told. The
// caller holds mu.
func (s *Service) excuse(digest quarantine.Digest, now time.Time) (told int) {
	excused := s.ledger.Excuse(digest, now)
	if len(excused) >= minPersisted(digest) {
		s.unpersisted[digest] = true
	}
	delete(s.loggedBlocked, digest)
	if len(excused) < minToldExcuses(digest) {
		return 0
	}
	s.unsent = append(s.unsent, excused...)
	return len(excused)
}

// minToldExcuses returns the least number of crashes of which the other nodes are told that they are
// excused. A part that many requests share completes at each node after each crash.
func minToldExcuses(digest quarantine.Digest) int {
	if digest.IsPart() {
		return 2
	}
	return 1
}

// AddPeerCrashes records crashes that another node reports.
func (s *Service) AddPeerCrashes(from string, crashes []quarantine.Crash) {
	s.applyCrashes(crashes, "peer "+from)
	now := time.Now()
	s.mu.Lock()
	excused := s.ledger.ExcusedHere(crashes, now)
	s.mu.Unlock()
	if len(excused) > 0 {
		s.sendCrashes(from, excused)
	}
}

// StartupReports returns the crashes that a node must know after its start.
func (s *Service) StartupReports() []quarantine.Crash {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.MostFrequentCrashes(maxFrequentCrashes, frequentMaxAge, now)
}

// AddStoredCrashes records crashes that were read from the store.
func (s *Service) AddStoredCrashes(crashes []quarantine.Crash) { s.applyCrashes(crashes, "store") }

func (s *Service) applyCrashes(crashes []quarantine.Crash, source string) {
	now := time.Now()
	changed := make(map[quarantine.Digest]bool)
	s.mu.Lock()
	for _, crash := range crashes {
		if s.recordCrash(crash, now) {
			changed[crash.Content] = true
		}
	}
	newlyBlocked := make(map[quarantine.Digest]quarantine.Verdict)
	for content := range changed {
		verdict := s.ledger.Verdict(content, now)
		if verdict.Crashes >= minPersisted(content) && len(s.ownCrashes[content]) > 0 {
			s.unpersisted[content] = true
		}
		if s.markBlocked(content, verdict) {
			newlyBlocked[content] = verdict
		}
	}
	s.mu.Unlock()
	if len(changed) > 0 {
		notify(s.persistSignal)
		events.CrashesLearned.Log(s.Logger, zap.String("source", source), zap.Int("crashes", len(crashes)), zap.Int("contents", len(changed)))
	}
	for content, verdict := range newlyBlocked {
		s.reportBlocked(true, content, verdict, source)
	}
}

// ApplyOrders applies operators' orders that were read from the store.
func (s *Service) ApplyOrders(orders []quarantine.Order) {
	now := time.Now()
	newlyBlocked := make(map[quarantine.Digest]quarantine.Verdict)
	s.mu.Lock()
	for _, order := range orders {
		if !s.ledger.Order(order, now) {
			continue
		}
		verdict := s.ledger.Verdict(order.Content, now)
		if !verdict.Blocked {
			delete(s.loggedBlocked, order.Content)
		}
		if s.markBlocked(order.Content, verdict) {
			newlyBlocked[order.Content] = verdict
		}
	}
	s.updateHasRecords()
	s.mu.Unlock()
	for content, verdict := range newlyBlocked {
		s.reportBlocked(true, content, verdict, "operator")
	}
}

// updateHasRecords makes Verdict consult the ledger if it holds any record. The caller holds mu.
func (s *Service) updateHasRecords() { s.hasRecords.Store(!s.ledger.Empty()) }

// recordCrash adds a crash to the ledger and reports whether it was new. The caller holds mu.
func (s *Service) recordCrash(crash quarantine.Crash, now time.Time) bool {
	isNew := s.ledger.RecordCrash(crash, now)
	s.updateHasRecords()
	return isNew
}

// recordOwnCrash records that this node saw a crash itself. The caller holds mu.
func (s *Service) recordOwnCrash(crash quarantine.Crash) {
	if s.ownCrashes[crash.Content] == nil {
		s.ownCrashes[crash.Content] = make(map[uint64]bool)
	}
	s.ownCrashes[crash.Content][crash.Engine] = true
}

// markBlocked reports whether a content has just become blocked. The caller holds mu.
func (s *Service) markBlocked(content quarantine.Digest, verdict quarantine.Verdict) bool {
	if !verdict.Blocked || s.loggedBlocked[content] {
		return false
	}
	s.loggedBlocked[content] = true
	return true
}

func (s *Service) reportBlocked(newlyBlocked bool, content quarantine.Digest, verdict quarantine.Verdict, source string) {
	if newlyBlocked {
		defer s.onBlocked(content)
		events.ContentBlocked.Log(s.Logger, zap.Stringer("content", content), zap.Bool("part", content.IsPart()), zap.Int("crashes", verdict.Crashes), zap.Float64("evidence", verdict.Evidence),
			zap.Duration("for", time.Until(verdict.Until)), zap.String("source", source))
	}
}

// Blocked returns the contents that are blocked.
func (s *Service) Blocked() []quarantine.BlockedContent {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Blocked(now)
}

// signalBoth wakes the sender and the persister.
func (s *Service) signalBoth() {
	notify(s.sendSignal)
	notify(s.persistSignal)
}

func notify(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default: // a token is pending already
	}
}
