// Package soak runs nodes as separate processes against stand-ins of the platform, injects random
// faults from outside, and checks the promises of the service by what callers and engines observe.
// Loopback proxies delay, reset, silence or cut links in one direction; signals stop, pause, kill
// and restart processes; the store and the engines misbehave. The seed determines the order of
// faults and calls, not their exact times.
//
// The package ends only processes that it started, by their ids, and keeps their logs.
package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"ringstream.example/ringstream/internal/wait"
	"ringstream.example/ringstream/platform/platformtest"
)

// Options configures a soak.
type Options struct {
	Binary         string        // path of the ringstream binary
	PreviousBinary string        // path of an older build that the nodes start with and are upgraded from; empty: none
	Folder         string        // for settings and logs; it must exist
	Seed           uint64        // of the faults and calls
	FaultDuration  time.Duration // how long faults are injected
	Nodes          int
	Engines        int
	Callers        int
	// OnFault is called with a line for each fault; nil discards the lines.
	OnFault func(string)
}

// Size limits, which fit a machine with 16 GB of memory and a few hundred processes.
const (
	maxNodes   = 100
	maxEngines = 128
	maxCallers = 256
)

// Validate checks the sizes and the duration.
func (o Options) Validate() error {
	var problems []error
	for _, bound := range []struct {
		name                    string
		value, minimum, maximum int
	}{{"nodes", o.Nodes, 1, maxNodes}, {"engines", o.Engines, 1, maxEngines}, {"callers", o.Callers, 1, maxCallers}} {
		if bound.value < bound.minimum || bound.value > bound.maximum {
			problems = append(problems, fmt.Errorf("%s: %d given, allowed is %d to %d", bound.name, bound.value, bound.minimum, bound.maximum))
		}
	}
	if o.FaultDuration <= 0 {
		problems = append(problems, fmt.Errorf("for: %v given, allowed is more than 0", o.FaultDuration))
	}
	return errors.Join(problems...)
}

// Report is the result of a soak.
type Report struct {
	Seed          uint64         `json:"seed"`
	Faults        map[string]int `json:"faults"`
	Requests      int            `json:"requests"`
	Statuses      map[string]int `json:"statuses"`
	Jobs          int            `json:"jobs"`
	JobsAccepted  int            `json:"jobs_taken"`
	Runs          int            `json:"engine_runs"`
	ProcessStarts int            `json:"process_lives"`
	Recovery      time.Duration  `json:"recovery_ns"` // from the last fault until all nodes were ready
	Deadly        DeadlyReport   `json:"deadly"`
	Rereads       RereadsReport  `json:"read_again"`
	Tenants       TenantsReport  `json:"tenants"`
	Restarts      RestartsReport `json:"engine_restarts"`
	Streams       StreamsReport  `json:"streams"`
	Parts         PartsReport    `json:"prompt_parts"`
	// Concentration counts the requests while most new connections go to one node.
	Concentration ConcentrationReport `json:"connections_to_one"`
	// Framing counts the answers that end with their connection.
	Framing         FramingReport  `json:"ends_with_connection"`
	ViolationCounts map[string]int `json:"broken"`     // number of violations by promise
	Violations      []Violation    `json:"violations"` // the first violations of each promise
}

// eventsPerAnswer is the number of events in each engine's answer, and eventInterval is the delay
// before each event.
const (
	eventsPerAnswer = 12
	eventInterval   = 5 * time.Millisecond
)

// soak is the state of one run.
type soak struct {
	options Options
	store   *platformtest.Store
	engines []*engineLink
	nodes   []*nodeProcess
	judge   *judge
	ids     idGenerator
	keys    *keyring

	addresses addresses // used only by build

	// exclusive is write-locked by a fault that must not overlap with others, and read-locked by
	// the faults of the additional kinds (see injectKinds).
	exclusive sync.RWMutex
	// feedControl is held by a fault that stops the events of the store's feed.
	feedControl sync.Mutex
	// replacements waits for the engines that are about to be replaced.
	replacements sync.WaitGroup
	// rereads waits for the scheduled reads of results that were just read for the first time.
	rereads sync.WaitGroup

	mu               sync.Mutex // guards the rest
	version          int
	versionWritten   time.Time // when version was written
	sharedFaultAt    time.Time // when a fault last affected a resource that all nodes share
	sharedFaults     int       // number of active faults of shared resources
	storeFaultAt     time.Time // when a fault last affected the store
	storeFaults      int       // number of active faults of the store
	counts           map[string]int
	lastEngineNumber int
	concentratedOn   *nodeProcess // node that most new connections go to; nil if none
	concentratedAt   time.Time
}

// engineLink is an engine behind a proxy.
type engineLink struct {
	*platformtest.Engine
	link     *proxy
	zone     string
	reserved bool // a fault is ending or draining it; guarded by soak.mu
}

// Run runs a soak and returns its report. It returns an error if the soak could not be run or ctx
// ended.
func Run(ctx context.Context, options Options) (Report, error) {
	if err := options.Validate(); err != nil {
		return Report{}, err
	}
	s := &soak{
		options: options, store: platformtest.NewStore(), judge: newJudge(eventsPerAnswer), keys: newKeyring(),
		addresses: addresses{used: make(map[string]bool)}, counts: make(map[string]int),
	}
	s.judge.judgeItemVersions = options.PreviousBinary == ""
	defer s.close()
	if err := s.build(); err != nil {
		return Report{}, err
	}
	if !s.awaitReady(ctx, startTimeout) {
		return Report{}, errors.New("not all nodes became ready at the start; see their logs")
	}
	s.load(ctx)
	if err := s.judge.concludeRestarts(s.logs()); err != nil {
		return Report{}, err
	}
	report := s.report()
	return report, ctx.Err()
}

const startTimeout = 20 * time.Second

// nodesPerJobCaller is the number of nodes for which one more caller submits jobs and two more read
// results, in addition to the first ones.
const nodesPerJobCaller = 20

// callersPerKeyedCaller is the number of callers for which one more sends requests with API keys.
const callersPerKeyedCaller = 5

func (s *soak) build() error {
	s.writeVersion()
	for range s.options.Engines {
		if err := s.addEngine(); err != nil {
			return err
		}
	}
	seed := ""
	for number := range s.options.Nodes {
		node, err := s.newNode(number, seed)
		if err != nil {
			return err
		}
		s.nodes = append(s.nodes, node)
		seed = s.nodes[0].peerAddress
		if err := node.start(); err != nil {
			return err
		}
	}
	return nil
}

func (s *soak) close() {
	for _, node := range s.nodes {
		node.kill()
		node.close()
	}
	for _, engine := range s.engines {
		engine.link.close()
		engine.Close()
	}
}

// engineID returns an id that no engine of another process or soak has. One of those may listen at an address
// that was free for a moment.
func (s *soak) engineID(number int) string {
	return fmt.Sprintf("e%d-%d-%d", number, os.Getpid(), s.options.Seed)
}

func (s *soak) addEngine() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastEngineNumber++
	engine := platformtest.NewEngine(s.engineID(s.lastEngineNumber), eventsPerAnswer)
	engine.Pace(eventInterval)
	engine.SignsEvents = true
	engine.EventsOf = s.judge.eventsOf
	engine.Frame(s.framing(uint64(s.lastEngineNumber))) //nolint:gosec // counts from 1
	engine.Software = s.softwareVersion(s.lastEngineNumber)
	engine.StartedAtMs = time.Now().UnixMilli()
	link, err := newProxy(engine.Address())
	if err != nil {
		return err
	}
	engine.AdvertisedAddress = link.address()
	linked := &engineLink{Engine: engine, link: link, zone: fmt.Sprintf("z%d", s.lastEngineNumber%2)}
	s.setCrashes(engine, linked)
	s.engines = append(s.engines, linked)
	s.store.List(engine, linked.zone, "ready")
	return nil
}

// engineList returns all engines, including those that have ended.
func (s *soak) engineList() []*engineLink {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*engineLink(nil), s.engines...)
}

// keptProbeRoutes is the number of configuration versions whose probe routes are kept.
const keptProbeRoutes = 3

// writeVersion writes the next version of the configuration, as an operator does.
func (s *soak) writeVersion() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	var probes []int
	for version := max(s.version-keptProbeRoutes+1, 1); version <= s.version; version++ {
		probes = append(probes, version)
	}
	s.store.Configure(s.version, probes, s.keys.tenants())
	s.versionWritten = time.Now()
	s.keys.recordWritten(s.versionWritten)
}

func (s *soak) newestVersion() (version int, written time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version, s.versionWritten
}

func (s *soak) awaitReady(ctx context.Context, limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		var ready atomic.Int32
		runConcurrently(maxConcurrentProbes, len(s.nodes), func(number int) {
			if s.nodes[number].isReady() {
				ready.Add(1)
			}
		})
		if int(ready.Load()) == len(s.nodes) {
			return true
		}
		if !wait.For(ctx, readPause) {
			return false
		}
	}
	return false
}

// Timeouts after the last fault.
const (
	recoveryTimeout = 12 * time.Second
	finishTimeout   = 25 * time.Second
)

// load runs callers and faults, then waits until the accepted jobs are done.
func (s *soak) load(ctx context.Context) {
	calling, stop := context.WithCancel(ctx)
	var callers sync.WaitGroup
	stream := uint64(0)
	begin := func(work func(context.Context, *rand.Rand)) {
		stream++
		random := rand.New(rand.NewPCG(s.options.Seed, stream))
		callers.Go(func() { work(calling, random) })
	}
	for range s.options.Callers {
		begin(s.call)
	}
	for range s.options.Callers/2 + 1 {
		begin(s.callKeepAlive)
	}
	begin(s.submitJobs)
	begin(s.readJobs)
	begin(s.readJobs)
	for _, node := range s.nodes {
		begin(func(ctx context.Context, _ *rand.Rand) { s.probeConfiguration(ctx, node) })
	}
	for range s.options.Nodes / nodesPerJobCaller {
		begin(s.submitJobs)
		begin(s.readJobs)
		begin(s.readJobs)
	}
	for range s.options.Callers/callersPerKeyedCaller + 1 {
		begin(s.callWithKeys)
	}
	var series sync.WaitGroup
	series.Go(func() { s.injectSeries(ctx) })
	series.Go(func() { s.injectStalls(ctx) })
	series.Go(func() { s.injectTenantFaults(ctx) })
	series.Go(func() { s.injectRestarts(ctx) })
	series.Go(func() { s.injectBrokenStreams(ctx) })
	series.Go(func() { s.injectEndings(ctx) })
	series.Go(func() { s.injectDeadlyParts(ctx) })
	series.Go(func() { s.injectConcentration(ctx) })
	series.Go(func() { s.rollBuilds(ctx) })
	s.injectRandomFaults(ctx)
	series.Wait()
	s.replacements.Wait()
	s.awaitRecovery(ctx)
	stop()
	callers.Wait()
	s.finishJobs(ctx)
	s.rereads.Wait()
	s.sweep(ctx)
	s.rereads.Wait()
	var runs []engineRun
	for _, engine := range s.engineList() {
		for _, run := range engine.Runs() {
			if len(run.ID) > 0 && run.ID[0] != 'p' { // runs of probes are ignored
				runs = append(runs, engineRun{engine: engine.ID, software: engine.Software, run: run})
			}
		}
	}
	s.counts["engine_runs"] = len(runs)
	s.judge.concludeWriters(runs)
	s.judge.concludeStreams()
	s.judge.concludeConcentration()
	s.judge.conclude(s.judge.concludeKeyed(s.judge.concludeDeadly(s.judge.concludeParts(runs)), s.keys))
}

// awaitRecovery waits until all nodes are ready after the last fault, and records a violation if
// they are not ready in time.
func (s *soak) awaitRecovery(ctx context.Context) {
	begun := time.Now()
	if !s.awaitReady(ctx, recoveryTimeout) && ctx.Err() == nil {
		s.judge.recordViolation("recovers", "fleet", "not all nodes were ready in time: "+recoveryTimeout.String())
	}
	s.counts["recovery_ms"] = int(time.Since(begun).Milliseconds())
	wait.For(ctx, settleTime)
}

// finishJobs reads the unfinished jobs until all of them are done or the time is up.
func (s *soak) finishJobs(ctx context.Context) {
	deadline := time.Now().Add(finishTimeout)
	for round := 0; time.Now().Before(deadline) && wait.For(ctx, readPause); round++ {
		undone := s.judge.unfinishedJobs()
		if len(undone) == 0 {
			return
		}
		runConcurrently(maxConcurrentProbes, len(undone), func(number int) {
			s.readJob(ctx, undone[number], s.nodes[(round+number)%len(s.nodes)], 0, 0)
		})
	}
}

// maxConcurrentProbes bounds the readiness checks and reads in flight at the same time, not
// counting those of callers.
const maxConcurrentProbes = 8

// runConcurrently calls work for each number below count, at most limit at a time, and returns when
// all calls have ended.
func runConcurrently(limit, count int, work func(number int)) {
	var working sync.WaitGroup
	slots := make(chan struct{}, limit)
	for number := range count {
		slots <- struct{}{}
		working.Go(func() {
			defer func() { <-slots }()
			work(number)
		})
	}
	working.Wait()
}

func (s *soak) report() Report {
	j := s.judge
	j.mu.Lock()
	defer j.mu.Unlock()
	report := Report{
		Seed: s.options.Seed, Faults: make(map[string]int), Requests: len(j.requests), Statuses: j.statuses, Jobs: len(j.jobs),
		Runs: s.counts["engine_runs"], Recovery: time.Duration(s.counts["recovery_ms"]) * time.Millisecond, ViolationCounts: j.violationCounts, Violations: j.violations,
		Deadly: j.deadly.report, Rereads: j.rereads, Tenants: j.tenants, Restarts: j.restartsReport, Streams: j.streams, Parts: j.partsReport, Concentration: j.concentration, Framing: j.framing,
	}
	for name, count := range s.counts {
		if name != "engine_runs" && name != "recovery_ms" {
			report.Faults[name] = count
		}
	}
	for _, job := range j.jobs {
		if job.accepted {
			report.JobsAccepted++
		}
	}
	for _, node := range s.nodes {
		report.ProcessStarts += node.condition().incarnation
	}
	return report
}

// logs returns the paths of the nodes' log files.
func (s *soak) logs() []string {
	var names []string
	for _, node := range s.nodes {
		names = append(names, node.logFile())
	}
	return names
}
