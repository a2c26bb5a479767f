package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"ringstream.example/ringstream/internal/wait"
	"ringstream.example/ringstream/platform/platformtest"
)

// fault is one kind of fault. inject starts the fault and returns when the fault has ended.
type fault struct {
	name   string
	weight int
	inject func(s *soak, ctx context.Context, random *rand.Rand)
}

// faultKinds lists the kinds of single faults. It leaves out engine failures that end an item for
// good, because every accepted job must be done.
func faultKinds() []fault {
	return []fault{
		{"node_killed", 3, (*soak).killNode},
		{"all_nodes_killed", 1, (*soak).killAllNodes},
		{"node_paused", 3, (*soak).pauseNode},
		{"node_stopped", 3, (*soak).stopNode},
		{"node_link", 3, (*soak).disturbNodeLink},
		{"store_link", 3, (*soak).disturbStoreLink},
		{"engine_link", 3, (*soak).disturbEngineLink},
		{"store_refuses_one", 3, (*soak).disturbStoreForNode},
		{"store_refuses_all", 2, (*soak).disturbStoreForAll},
		{"store_slow", 1, (*soak).slowStore},
		{"store_late_effect", 1, (*soak).delayTransactions},
		{"store_history_dropped", 1, (*soak).dropHistory},
		{"engine_misbehaves", 4, (*soak).makeEngineMisbehave},
		{"engine_crashes", 1, (*soak).crashEngine},
		{"engine_drains", 2, (*soak).drainEngine},
		{"configuration", 4, (*soak).changeConfiguration},
		{"calm", 2, (*soak).stopUndisturbed},
	}
}

// maxConcurrentFaults bounds the faults that are active at the same time.
const maxConcurrentFaults = 3

// injectRandomFaults injects single faults until the time is up, and returns when all of them have
// ended.
func (s *soak) injectRandomFaults(ctx context.Context) {
	var running sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentFaults)
	s.drawFaults(ctx, 0, faultKinds(), func(random, own *rand.Rand, kind fault) {
		if kind.name == "calm" {
			running.Wait() // a calm stop must not overlap with another fault
			s.recordKind(kind.name)
			kind.inject(s, ctx, own)
			return
		}
		slots <- struct{}{}
		s.recordKind(kind.name)
		running.Go(func() {
			defer func() { <-slots }()
			kind.inject(s, ctx, own)
		})
		wait.For(ctx, randomDuration(random, 100*time.Millisecond, 900*time.Millisecond))
	})
	running.Wait()
}

// drawFaults draws kinds until the time is up from the given random stream of the seed. It passes
// each injection that stream and a random generator of its own.
func (s *soak) drawFaults(ctx context.Context, stream uint64, kinds []fault, inject func(random, own *rand.Rand, kind fault)) {
	random := rand.New(rand.NewPCG(s.options.Seed, stream))
	total := 0
	for _, kind := range kinds {
		total += kind.weight
	}
	deadline := time.Now().Add(s.options.FaultDuration)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		kind := drawKind(kinds, random.IntN(total))
		inject(random, rand.New(rand.NewPCG(s.options.Seed, random.Uint64())), kind)
	}
}

func drawKind(kinds []fault, at int) fault {
	for _, kind := range kinds {
		if at < kind.weight {
			return kind
		}
		at -= kind.weight
	}
	return kinds[0]
}

func randomDuration(random *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(random.Int64N(int64(longest-shortest)+1))
}

func (s *soak) recordKind(name string) {
	s.mu.Lock()
	s.counts[name]++
	s.mu.Unlock()
	if s.options.OnFault != nil {
		s.options.OnFault(fmt.Sprintf("%8.2fs %s", time.Since(s.judge.started).Seconds(), name))
	}
}

func (s *soak) anyNode(random *rand.Rand) *nodeProcess { return s.nodes[random.IntN(len(s.nodes))] }

const restartDelay = 300 * time.Millisecond

// restartNode starts a node that has ended, as the platform does.
func (s *soak) restartNode(ctx context.Context, node *nodeProcess) {
	wait.For(ctx, restartDelay)
	if node.condition().state != nodeDead {
		return
	}
	if err := node.start(); err != nil {
		s.judge.recordViolation("starts", node.name, err.Error())
	}
}

func (s *soak) killNode(ctx context.Context, random *rand.Rand) {
	s.killAndRestart(ctx, s.anyNode(random))
}

func (s *soak) killAndRestart(ctx context.Context, node *nodeProcess) {
	node.control.Lock()
	defer node.control.Unlock()
	node.kill()
	s.restartNode(ctx, node)
}

func (s *soak) killAllNodes(ctx context.Context, _ *rand.Rand) {
	s.recordFault()
	var all sync.WaitGroup
	for _, node := range s.nodes {
		all.Go(func() { s.killAndRestart(ctx, node) })
	}
	all.Wait()
	s.recordFault()
}

func (s *soak) pauseNode(ctx context.Context, random *rand.Rand) {
	node := s.anyNode(random)
	node.control.Lock()
	defer node.control.Unlock()
	node.signal(syscall.SIGSTOP, nodePaused)
	wait.For(ctx, randomDuration(random, 300*time.Millisecond, 5*time.Second))
	node.signal(syscall.SIGCONT, nodeRunning)
}

func (s *soak) stopNode(ctx context.Context, random *rand.Rand) {
	node := s.anyNode(random)
	node.control.Lock()
	defer node.control.Unlock()
	node.stop()
	s.restartNode(ctx, node)
}

// stopUndisturbed performs a planned stop of a node while no other fault is active. Such a stop may
// not cut any request.
func (s *soak) stopUndisturbed(ctx context.Context, random *rand.Rand) {
	s.exclusive.Lock()
	defer s.exclusive.Unlock()
	if wait.For(ctx, quietPeriod+time.Second) {
		s.stopNode(ctx, random)
	}
}

func (s *soak) disturbNodeLink(ctx context.Context, random *rand.Rand) {
	node := s.anyNode(random)
	disturbLink(ctx, node.callerLink, random, node.beginFault, node.endFault)
}

func (s *soak) disturbStoreLink(ctx context.Context, random *rand.Rand) {
	node := s.anyNode(random)
	disturbLink(ctx, node.storeLink, random, node.beginFault, node.endFault)
}

func (s *soak) disturbEngineLink(ctx context.Context, random *rand.Rand) {
	engines := s.engineList()
	disturbLink(ctx, engines[random.IntN(len(engines))].link, random, s.beginFault, s.endFault)
}

func disturbLink(ctx context.Context, link *proxy, random *rand.Rand, begin, end func()) {
	kinds := []linkFault{linkDelayed, linkReset, linkCutOut, linkCutIn, linkSilenced}
	begin()
	link.set(kinds[random.IntN(len(kinds))])
	wait.For(ctx, randomDuration(random, 200*time.Millisecond, 4*time.Second))
	link.set(linkHealthy)
	end()
}

var storeEndpointFaults = []platformtest.Fault{
	platformtest.Busy, platformtest.Unavailable, platformtest.Silent, platformtest.Reset, platformtest.LostAnswer,
}

func (s *soak) disturbStoreForNode(ctx context.Context, random *rand.Rand) {
	node := s.anyNode(random)
	node.beginFault()
	node.storeEndpoint.Set(storeEndpointFaults[random.IntN(len(storeEndpointFaults))], random.IntN(2) == 0)
	wait.For(ctx, randomDuration(random, 300*time.Millisecond, 5*time.Second))
	node.storeEndpoint.Set(platformtest.NoFault, false)
	node.endFault()
}

func (s *soak) disturbStoreForAll(ctx context.Context, random *rand.Rand) {
	kind, writes := storeEndpointFaults[random.IntN(len(storeEndpointFaults))], random.IntN(2) == 0
	s.disturbAllStoreEndpoints(ctx, randomDuration(random, 300*time.Millisecond, 4*time.Second), func(endpoint *platformtest.Endpoint) { endpoint.Set(kind, writes) },
		func(endpoint *platformtest.Endpoint) { endpoint.Set(platformtest.NoFault, false) })
}

func (s *soak) slowStore(ctx context.Context, random *rand.Rand) {
	delay := randomDuration(random, 50*time.Millisecond, 400*time.Millisecond)
	s.disturbAllStoreEndpoints(ctx, randomDuration(random, time.Second, 5*time.Second), func(endpoint *platformtest.Endpoint) { endpoint.Slow(delay) },
		func(endpoint *platformtest.Endpoint) { endpoint.Slow(0) })
}

// delayTransactions leaves transactions unanswered and applies them seconds later.
func (s *soak) delayTransactions(ctx context.Context, random *rand.Rand) {
	s.beginStoreFault()
	s.disturbAllStoreEndpoints(ctx, randomDuration(random, 100*time.Millisecond, 600*time.Millisecond), func(endpoint *platformtest.Endpoint) { endpoint.Set(platformtest.LateEffect, true) },
		func(endpoint *platformtest.Endpoint) { endpoint.Set(platformtest.NoFault, false) })
	wait.For(ctx, randomDuration(random, 100*time.Millisecond, 4*time.Second))
	s.store.ApplyHeldTransactions()
	s.endStoreFault()
}

func (s *soak) disturbAllStoreEndpoints(ctx context.Context, duration time.Duration, begin, end func(*platformtest.Endpoint)) {
	s.beginStoreFault()
	for _, node := range s.nodes {
		begin(node.storeEndpoint)
	}
	wait.For(ctx, duration)
	for _, node := range s.nodes {
		end(node.storeEndpoint)
	}
	s.endStoreFault()
}

func (s *soak) dropHistory(context.Context, *rand.Rand) {
	s.beginStoreFault()
	s.store.DropHistory()
	s.endStoreFault()
}

func (s *soak) makeEngineMisbehave(_ context.Context, random *rand.Rand) {
	// Answers that end early without an error are left out: on a route that does not stream they
	// cannot be told from whole answers.
	kinds := []platformtest.Behavior{
		platformtest.Shed, platformtest.CutMidway, platformtest.CutBefore, platformtest.Unsealed, platformtest.Hang,
	}
	s.recordFault()
	engines := s.engineList()
	engine := engines[random.IntN(len(engines))]
	for range 1 + random.IntN(4) {
		engine.Do(kinds[random.IntN(len(kinds))])
	}
}

// crashEngine ends an engine and starts another one. The entry of the old engine is removed from
// the store later.
func (s *soak) crashEngine(ctx context.Context, random *rand.Rand) {
	s.recordFault()
	engine := s.reserveEngine(random)
	if engine == nil {
		return
	}
	engine.link.close()
	_ = s.addEngine() // after an error, the next fault of this kind adds an engine
	wait.For(ctx, randomDuration(random, 500*time.Millisecond, 3*time.Second))
	s.store.Unlist(engine.Engine)
	s.recordFault()
}

// drainEngine lists an engine as draining, lets it serve for drainDuration, and removes it.
func (s *soak) drainEngine(ctx context.Context, random *rand.Rand) {
	engine := s.reserveEngine(random)
	if engine == nil {
		return
	}
	_ = s.addEngine() // after an error, the next fault of this kind adds an engine
	s.store.List(engine.Engine, "z0", "draining")
	announced := time.Now()
	wait.For(ctx, drainDuration)
	s.judgeDrain(engine, announced)
	s.store.Unlist(engine.Engine)
	wait.For(ctx, time.Second)
	engine.link.close()
}

const drainDuration = 7 * time.Second

// judgeDrain checks that no run began on a draining engine long after the announcement. It checks
// nothing if a fault happened in the meantime.
func (s *soak) judgeDrain(engine *engineLink, announced time.Time) {
	const grace = 2 * time.Second
	quiet := announced.Add(-quietPeriod)
	for _, node := range s.nodes {
		if node.condition().disturbed.After(quiet) {
			return
		}
	}
	if s.lastFault().After(quiet) {
		return
	}
	for _, run := range engine.Runs() {
		if run.Began.Sub(announced) > grace {
			s.judge.recordViolation("leaving_engines_get_nothing", run.ID, fmt.Sprintf("%s, %v after it said so", engine.ID, run.Began.Sub(announced)))
		}
	}
}

// reserveEngine reserves an engine that no other fault has reserved. It returns nil if half of the
// engines or fewer are available.
func (s *soak) reserveEngine(random *rand.Rand) *engineLink {
	s.mu.Lock()
	defer s.mu.Unlock()
	var available []*engineLink
	for _, engine := range s.engines {
		if !engine.reserved {
			available = append(available, engine)
		}
	}
	if len(available) <= s.options.Engines/2 {
		return nil
	}
	engine := available[random.IntN(len(available))]
	engine.reserved = true
	return engine
}

func (s *soak) changeConfiguration(context.Context, *rand.Rand) { s.writeVersion() }
