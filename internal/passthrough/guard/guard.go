// Package guard keeps requests that end engines from reaching more of them. It notes
// which contents were under way at engines that ended, tells the other nodes, keeps in the
// store what all nodes must still know when they have all been restarted, and says of a
// request whether its content is blocked (package core/quarantine judges). It sends nothing
// to engines but the question whether one that broke off still listens.
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

// Transport sends crashes to other nodes. What is sent may be lost.
type Transport interface {
	SendCrashes(to string, crashes []quarantine.Crash)
	// AskCrashes asks a node for its gravest crashes.
	AskCrashes(to string)
}

// Keeper keeps what nodes must know after a restart. A value replaces what was kept
// under its key.
type Keeper interface {
	KeepCrashes(ctx context.Context, key string, crashes []quarantine.Crash) error
}

// Dependencies are the parts that the service works with.
type Dependencies struct {
	Engines *catalog.Engines
	Pool    *engineconn.Pool
	Logger  *zap.Logger
	Metrics *Metrics
	// Self names this life of the node.
	Self string
	// Peers gives the addresses of the other nodes that may be alive.
	Peers func() []string
	// Seeds gives addresses to turn to while no other node is known.
	Seeds func() []string
}

// Service judges contents. It is safe for concurrent use.
//
// Lock order: the engines' lock is not held with Service.mu, and neither during a call.
type Service struct {
	Dependencies
	transport Transport // nil: this node is alone
	keeper    Keeper    // nil: nothing is kept
	onBlocked func(quarantine.Digest)
	known     atomic.Int64
	wake      chan struct{} // has one token when there is something to tell
	toKeep    chan struct{} // has one token when there is something to keep

	mu      sync.Mutex // guards the rest
	ledger  *quarantine.Ledger
	blocked map[quarantine.Digest]bool // as far as was logged
	fresh   []quarantine.Crash         // to be told to the other nodes
	unkept  map[quarantine.Digest]bool // to be written to the store
	repeat  []repeated
	own     map[quarantine.Digest]map[uint64]bool // engines of the crashes that this node saw
	broken  []brokenRun                           // of late, the oldest first
}

// New makes a service; Run does its periodic work.
func New(config quarantine.Config, dependencies Dependencies) *Service {
	return &Service{
		Dependencies: dependencies, wake: make(chan struct{}, 1), toKeep: make(chan struct{}, 1), onBlocked: func(quarantine.Digest) {}, ledger: quarantine.NewLedger(config),
		blocked: make(map[quarantine.Digest]bool), unkept: make(map[quarantine.Digest]bool), own: make(map[quarantine.Digest]map[uint64]bool),
	}
}

// OnBlocked has a function hear of each content that is blocked; called before Run.
func (s *Service) OnBlocked(hear func(quarantine.Digest)) { s.onBlocked = hear }

// UseTransport has the service tell other nodes; called before Run.
func (s *Service) UseTransport(transport Transport) { s.transport = transport }

// KeepBy has the service keep crashes; called before Run.
func (s *Service) KeepBy(keeper Keeper) { s.keeper = keeper }

// Verdict judges a content. While no engine has ended under any request it costs one
// atomic load.
func (s *Service) Verdict(content quarantine.Digest) quarantine.Verdict {
	if s.known.Load() == 0 {
		return quarantine.Verdict{}
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Verdict(content, now)
}

// Suspect gives what a dispatcher is to know of a content.
func (s *Service) Suspect(content quarantine.Digest) grant.Suspect {
	verdict := s.Verdict(content)
	if verdict.Crashes == 0 {
		return grant.Suspect{}
	}
	return grant.Suspect{Content: content.Hash(), Crashes: verdict.Crashes}
}

// Run is one run of a request at an engine.
type Run struct {
	Request string
	Content quarantine.Digest
	Engine  engineconn.Key
}

// Broke looks whether the engine of a run that broke has ended, and if so notes that it
// did under the run's content. One that listens may have started again; its next entry
// tells (Restarted).
func (s *Service) Broke(ctx context.Context, run Run) (ended bool) {
	if s.Pool.Ended(ctx, run.Engine) {
		s.noteEnd(run)
		return true
	}
	s.awaitRestart(run)
	if s.stateOf(run.Engine.Engine) != enginechoice.Ended {
		return false
	}
	s.Restarted(run.Engine.Engine)
	return true
}

// noteEnd notes that an engine ended under a run. One that was leaving ends as planned, and
// nothing is noted.
func (s *Service) noteEnd(run Run) {
	if s.stateOf(run.Engine.Engine) == enginechoice.Leaving {
		events.EngineLeft.Log(s.Logger, zap.String("request", run.Request), zap.Stringer("content", run.Content), zap.Stringer("engine", run.Engine.Engine))
		return
	}
	crash := quarantine.Crash{Content: run.Content, Engine: grant.EngineHash(run.Engine.Engine)}
	now := time.Now()
	s.mu.Lock()
	news := s.note(crash, now)
	if news {
		s.fresh = append(s.fresh, crash)
	}
	s.noteOwn(crash)
	verdict := s.ledger.Verdict(run.Content, now)
	if verdict.Crashes >= keptFrom {
		s.unkept[run.Content] = true
	}
	newly := s.noteBlocked(run.Content, verdict)
	s.mu.Unlock()
	s.signal()
	s.Metrics.crashed()
	events.EngineEnded.Log(s.Logger, zap.String("request", run.Request), zap.Stringer("content", run.Content), zap.Stringer("engine", run.Engine.Engine),
		zap.Int("crashes", verdict.Crashes), zap.Float64("evidence", verdict.Evidence), zap.Bool("blocked", verdict.Blocked))
	s.logBlocked(newly, run.Content, verdict, "own run")
}

// Served takes word that a run of a content was whole.
func (s *Service) Served(request string, content quarantine.Digest) {
	if s.known.Load() == 0 {
		return
	}
	now := time.Now()
	s.mu.Lock()
	excused := s.ledger.Excuse(content, now)
	s.fresh = append(s.fresh, excused...)
	if len(excused) >= keptFrom {
		s.unkept[content] = true
	}
	delete(s.blocked, content)
	s.mu.Unlock()
	if len(excused) > 0 {
		s.signal()
		events.ContentExcused.Log(s.Logger, zap.String("request", request), zap.Stringer("content", content), zap.Int("crashes", len(excused)))
	}
}

// Hear takes crashes that another node tells of.
func (s *Service) Hear(from string, crashes []quarantine.Crash) {
	s.learn(crashes, "peer "+from)
}

// Gravest gives what a node that has just started must know.
func (s *Service) Gravest() []quarantine.Crash {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Gravest(gravest, gravestOldest, now)
}

// Learn takes crashes that were kept in the store.
func (s *Service) Learn(crashes []quarantine.Crash) { s.learn(crashes, "store") }

func (s *Service) learn(crashes []quarantine.Crash, source string) {
	now := time.Now()
	changed := make(map[quarantine.Digest]bool)
	s.mu.Lock()
	for _, crash := range crashes {
		if s.note(crash, now) {
			changed[crash.Content] = true
		}
	}
	newly := make(map[quarantine.Digest]quarantine.Verdict)
	for content := range changed {
		verdict := s.ledger.Verdict(content, now)
		if verdict.Crashes >= keptFrom && len(s.own[content]) > 0 {
			s.unkept[content] = true
		}
		if s.noteBlocked(content, verdict) {
			newly[content] = verdict
		}
	}
	s.mu.Unlock()
	if len(changed) > 0 {
		signalOne(s.toKeep)
		events.CrashesTold.Log(s.Logger, zap.String("source", source), zap.Int("crashes", len(crashes)), zap.Int("contents", len(changed)))
	}
	for content, verdict := range newly {
		s.logBlocked(true, content, verdict, source)
	}
}

// note puts a crash into the ledger; the caller holds mu.
func (s *Service) note(crash quarantine.Crash, now time.Time) bool {
	news := s.ledger.Note(crash, now)
	contents, _ := s.ledger.Sizes()
	s.known.Store(int64(contents))
	return news
}

// noteOwn takes note that this node itself saw a crash; the caller holds mu.
func (s *Service) noteOwn(crash quarantine.Crash) {
	if s.own[crash.Content] == nil {
		s.own[crash.Content] = make(map[uint64]bool)
	}
	s.own[crash.Content][crash.Engine] = true
}

// noteBlocked reports whether a content has just become blocked; the caller holds mu.
func (s *Service) noteBlocked(content quarantine.Digest, verdict quarantine.Verdict) bool {
	if !verdict.Blocked || s.blocked[content] {
		return false
	}
	s.blocked[content] = true
	return true
}

func (s *Service) logBlocked(newly bool, content quarantine.Digest, verdict quarantine.Verdict, source string) {
	if newly {
		defer s.onBlocked(content)
		events.ContentBlocked.Log(s.Logger, zap.Stringer("content", content), zap.Int("crashes", verdict.Crashes), zap.Float64("evidence", verdict.Evidence),
			zap.Duration("for", time.Until(verdict.Until)), zap.String("source", source))
	}
}

// Blocked gives the contents that are blocked.
func (s *Service) Blocked() []quarantine.BlockedContent {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Blocked(now)
}

// signal has what is new told and kept.
func (s *Service) signal() {
	signalOne(s.wake)
	signalOne(s.toKeep)
}

func signalOne(work chan struct{}) {
	select {
	case work <- struct{}{}:
	default: // it is on its way
	}
}
