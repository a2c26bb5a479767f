// Package soak runs nodes as real processes before stand-ins of the platform,
// strikes them with faults from outside at random, and judges the promises by
// what callers and engines see: links are delayed, reset, cut one way or
// silenced by loopback proxies; processes are stopped, paused, killed and
// started by signals; the store and the engines misbehave. The seed decides
// the order of faults and calls, not the exact times.
//
// It ends only processes that it started, by their ids, and keeps their logs.
package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"ringstream.example/ringstream/internal/wait"
	"ringstream.example/ringstream/platform/platformtest"
)

// Options says what is run.
type Options struct {
	Binary  string        // of ringstream
	Former  string        // an older build that the nodes begin with, and are rolled from; empty: none
	Folder  string        // for settings and logs; it exists
	Seed    uint64        // of faults and calls
	For     time.Duration // how long faults strike
	Nodes   int
	Engines int
	Callers int
	// Said hears each fault; nil: nobody.
	Said func(string)
}

// Bounds of the sizes: what a machine of 16 GB and a few hundred processes bears.
const (
	mostNodes   = 100
	mostEngines = 128
	mostCallers = 256
)

// Validate checks the sizes.
func (o Options) Validate() error {
	var problems []error
	for _, bound := range []struct {
		name               string
		value, least, most int
	}{{"nodes", o.Nodes, 1, mostNodes}, {"engines", o.Engines, 1, mostEngines}, {"callers", o.Callers, 1, mostCallers}} {
		if bound.value < bound.least || bound.value > bound.most {
			problems = append(problems, fmt.Errorf("%s: %d given, allowed is %d to %d", bound.name, bound.value, bound.least, bound.most))
		}
	}
	if o.For <= 0 {
		problems = append(problems, fmt.Errorf("for: %v given, allowed is more than 0", o.For))
	}
	return errors.Join(problems...)
}

// Report is what a soak found.
type Report struct {
	Seed       uint64         `json:"seed"`
	Faults     map[string]int `json:"faults"`
	Requests   int            `json:"requests"`
	Statuses   map[string]int `json:"statuses"`
	Jobs       int            `json:"jobs"`
	Taken      int            `json:"jobs_taken"`
	Runs       int            `json:"engine_runs"`
	Lives      int            `json:"process_lives"`
	Recovery   time.Duration  `json:"recovery_ns"` // until all nodes were ready after the last fault
	Deadly     DeadlyReport   `json:"deadly"`
	Stays      StaysReport    `json:"read_again"`
	Tenants    TenantsReport  `json:"tenants"`
	Restarts   RestartsReport `json:"engine_restarts"`
	Broken     map[string]int `json:"broken"`     // violations by promise
	Violations []Violation    `json:"violations"` // the first ones of each promise
}

// events is the length of each engine's answer, and pace its pause before each
// of them.
const (
	events = 12
	pace   = 5 * time.Millisecond
)

// soak is one run.
type soak struct {
	options Options
	store   *platformtest.Store
	engines []*engineLink
	nodes   []*nodeProcess
	judge   *judge
	ids     numbers
	keys    *keyring

	addresses addresses // used by build alone

	// calm is held by a fault that must be alone, and for reading by those of a series.
	calm sync.RWMutex
	// silence is held by a fault that has the store's feed tell nothing.
	silence sync.Mutex
	// replacing counts the engines that are to be replaced.
	replacing sync.WaitGroup
	// jumps counts the reads that are still to be made of what has just been read.
	jumps sync.WaitGroup

	mu           sync.Mutex // guards the rest
	version      int
	written      time.Time // when version was
	struck       time.Time // when a fault last struck what all nodes share
	lasting      int       // faults of what all nodes share that are not over
	storeStruck  time.Time // when one last struck the store
	storeLasting int       // those of the store that are not over
	counts       map[string]int
	engineNo     int
}

// engineLink is an engine behind a link.
type engineLink struct {
	*platformtest.Engine
	link  *proxy
	zone  string
	taken bool // a fault ends it; guarded by soak.mu
}

// Run runs a soak. An error says that it could not be run.
func Run(ctx context.Context, options Options) (Report, error) {
	if err := options.Validate(); err != nil {
		return Report{}, err
	}
	s := &soak{
		options: options, store: platformtest.NewStore(), judge: newJudge(events), keys: newKeyring(),
		addresses: addresses{given: make(map[string]bool)}, counts: make(map[string]int),
	}
	defer s.close()
	if err := s.build(); err != nil {
		return Report{}, err
	}
	if !s.awaitReady(ctx, startTime) {
		return Report{}, errors.New("not all nodes became ready at the start; see their logs")
	}
	s.load(ctx)
	if err := s.judge.concludeRestarts(s.logs()); err != nil {
		return Report{}, err
	}
	report := s.report()
	return report, ctx.Err()
}

const startTime = 20 * time.Second

// nodesPerJobCaller is how many nodes have one more caller that hands jobs in, and two more
// that read, beside the first ones.
const nodesPerJobCaller = 20

// callersPerKeyed is how many callers have one more beside them that sends requests under keys.
const callersPerKeyed = 5

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
		seed = s.nodes[0].peer
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

func (s *soak) addEngine() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engineNo++
	engine := platformtest.NewEngine(fmt.Sprintf("e%d", s.engineNo), events)
	engine.Pace(pace)
	engine.Born = time.Now().UnixMilli()
	link, err := newProxy(engine.Address())
	if err != nil {
		return err
	}
	engine.Front = link.address()
	linked := &engineLink{Engine: engine, link: link, zone: fmt.Sprintf("z%d", s.engineNo%2)}
	engine.EndUnder(deadlyBody, func() { s.engineEnded(linked) })
	s.engines = append(s.engines, linked)
	s.store.List(engine, linked.zone, "ready")
	return nil
}

// engineList gives the engines, the ended ones too.
func (s *soak) engineList() []*engineLink {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*engineLink(nil), s.engines...)
}

// keptProbes is how many versions' routes stay.
const keptProbes = 3

// writeVersion has the operator write the next configuration.
func (s *soak) writeVersion() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	var probes []int
	for version := max(s.version-keptProbes+1, 1); version <= s.version; version++ {
		probes = append(probes, version)
	}
	s.store.Configure(s.version, probes, s.keys.tenants())
	s.written = time.Now()
	s.keys.written(s.written)
}

func (s *soak) newest() (version int, written time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version, s.written
}

func (s *soak) awaitReady(ctx context.Context, limit time.Duration) bool {
	until := time.Now().Add(limit)
	for time.Now().Before(until) {
		var ready atomic.Int32
		atATime(asksAtATime, len(s.nodes), func(number int) {
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

// Times after the last fault.
const (
	recoveryTime = 12 * time.Second
	finishTime   = 25 * time.Second
)

// load runs callers and faults, then waits for what was taken to be done.
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
		begin(s.callOnKept)
	}
	begin(s.handIn)
	begin(s.read)
	begin(s.read)
	for _, node := range s.nodes {
		begin(func(ctx context.Context, _ *rand.Rand) { s.probe(ctx, node) })
	}
	for range s.options.Nodes / nodesPerJobCaller {
		begin(s.handIn)
		begin(s.read)
		begin(s.read)
	}
	for range s.options.Callers/callersPerKeyed + 1 {
		begin(s.callWithKeys)
	}
	var series sync.WaitGroup
	series.Go(func() { s.strikeInSeries(ctx) })
	series.Go(func() { s.strikeWithStalls(ctx) })
	series.Go(func() { s.strikeTenants(ctx) })
	series.Go(func() { s.strikeWithRestarts(ctx) })
	series.Go(func() { s.rollBuilds(ctx) })
	s.strikeAtRandom(ctx)
	series.Wait()
	s.replacing.Wait()
	s.recover(ctx)
	stop()
	callers.Wait()
	s.finish(ctx)
	s.jumps.Wait()
	s.sweep(ctx)
	s.jumps.Wait()
	var runs []engineRun
	for _, engine := range s.engineList() {
		for _, run := range engine.Runs() {
			if len(run.ID) > 0 && run.ID[0] != 'p' { // probes are not kept
				runs = append(runs, engineRun{engine: engine.ID, run: run})
			}
		}
	}
	s.counts["engine_runs"] = len(runs)
	s.judge.conclude(s.judge.concludeKeyed(s.judge.concludeDeadly(runs), s.keys))
}

// recover has all nodes ready in time once no fault strikes.
func (s *soak) recover(ctx context.Context) {
	begun := time.Now()
	if !s.awaitReady(ctx, recoveryTime) && ctx.Err() == nil {
		s.judge.violate("recovers", "fleet", "not all nodes were ready in time: "+recoveryTime.String())
	}
	s.counts["recovery_ms"] = int(time.Since(begun).Milliseconds())
	wait.For(ctx, settled)
}

// finish reads the jobs that are not done until all are, or the time is up.
func (s *soak) finish(ctx context.Context) {
	until := time.Now().Add(finishTime)
	for round := 0; time.Now().Before(until) && wait.For(ctx, readPause); round++ {
		undone := s.judge.undone()
		if len(undone) == 0 {
			return
		}
		atATime(asksAtATime, len(undone), func(number int) {
			s.readJob(ctx, undone[number], s.nodes[(round+number)%len(s.nodes)], 0, 0)
		})
	}
}

// asksAtATime is how many questions to nodes are under way at the same time, beside those of callers.
const asksAtATime = 8

// atATime does numbered work, so much of it at the same time, and returns when all is done.
func atATime(most, count int, work func(number int)) {
	var working sync.WaitGroup
	room := make(chan struct{}, most)
	for number := range count {
		room <- struct{}{}
		working.Go(func() {
			defer func() { <-room }()
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
		Runs: s.counts["engine_runs"], Recovery: time.Duration(s.counts["recovery_ms"]) * time.Millisecond, Broken: j.broken, Violations: j.violations,
		Deadly: j.deadly.report, Stays: j.stays, Tenants: j.tenants, Restarts: j.restartsReport,
	}
	for name, count := range s.counts {
		if name != "engine_runs" && name != "recovery_ms" {
			report.Faults[name] = count
		}
	}
	for _, job := range j.jobs {
		if job.taken {
			report.Taken++
		}
	}
	for _, node := range s.nodes {
		report.Lives += node.condition().life
	}
	return report
}

// logs gives the files of the nodes' logs.
func (s *soak) logs() []string {
	var names []string
	for _, node := range s.nodes {
		names = append(names, node.logFile())
	}
	return names
}
