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

// fault is one kind of trouble. It strikes, lasts, and is over when it returns.
type fault struct {
	name   string
	weight int
	strike func(s *soak, ctx context.Context, random *rand.Rand)
}

// faultKinds lists all kinds. The engine's failures that end an item for good
// are left out: each job that is taken must be done.
func faultKinds() []fault {
	return []fault{
		{"node_killed", 3, (*soak).killNode},
		{"all_nodes_killed", 1, (*soak).killAll},
		{"node_paused", 3, (*soak).pauseNode},
		{"node_stopped", 3, (*soak).stopNode},
		{"node_link", 3, (*soak).harmNodeLink},
		{"store_link", 3, (*soak).harmStoreLink},
		{"engine_link", 3, (*soak).harmEngineLink},
		{"store_refuses_one", 3, (*soak).harmDoor},
		{"store_refuses_all", 2, (*soak).harmStore},
		{"store_slow", 1, (*soak).slowStore},
		{"store_late_effect", 1, (*soak).lateEffect},
		{"store_history_dropped", 1, (*soak).dropHistory},
		{"engine_misbehaves", 4, (*soak).misbehave},
		{"engine_crashes", 1, (*soak).crashEngine},
		{"engine_drains", 2, (*soak).drainEngine},
		{"configuration", 4, (*soak).changeConfiguration},
		{"calm", 2, (*soak).calmStop},
	}
}

// atOnce bounds the faults that last at the same time.
const atOnce = 3

// strikeAtRandom strikes until the time is up, and returns when all is over.
func (s *soak) strikeAtRandom(ctx context.Context) {
	var lasting sync.WaitGroup
	room := make(chan struct{}, atOnce)
	s.draw(ctx, 0, faultKinds(), func(random, own *rand.Rand, kind fault) {
		if kind.name == "calm" {
			lasting.Wait() // a calm stop has no fault beside it
			s.note(kind.name)
			kind.strike(s, ctx, own)
			return
		}
		room <- struct{}{}
		s.note(kind.name)
		lasting.Go(func() {
			defer func() { <-room }()
			kind.strike(s, ctx, own)
		})
		wait.For(ctx, between(random, 100*time.Millisecond, 900*time.Millisecond))
	})
	lasting.Wait()
}

// draw draws kinds until the time is up, from a stream of the seed's draws; each strike gets
// that stream, and draws of its own.
func (s *soak) draw(ctx context.Context, stream uint64, kinds []fault, strike func(random, own *rand.Rand, kind fault)) {
	random := rand.New(rand.NewPCG(s.options.Seed, stream))
	total := 0
	for _, kind := range kinds {
		total += kind.weight
	}
	until := time.Now().Add(s.options.For)
	for time.Now().Before(until) && ctx.Err() == nil {
		kind := drawKind(kinds, random.IntN(total))
		strike(random, rand.New(rand.NewPCG(s.options.Seed, random.Uint64())), kind)
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

func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)+1))
}

func (s *soak) note(name string) {
	s.mu.Lock()
	s.counts[name]++
	s.mu.Unlock()
	if s.options.Said != nil {
		s.options.Said(fmt.Sprintf("%8.2fs %s", time.Since(s.judge.started).Seconds(), name))
	}
}

func (s *soak) anyNode(random *rand.Rand) *nodeProcess { return s.nodes[random.IntN(len(s.nodes))] }

const restartDelay = 300 * time.Millisecond

// again starts a node that has ended, as the platform does.
func (s *soak) again(ctx context.Context, node *nodeProcess) {
	wait.For(ctx, restartDelay)
	if node.condition().state != nodeDead {
		return
	}
	if err := node.start(); err != nil {
		s.judge.violate("starts", node.name, err.Error())
	}
}

func (s *soak) killNode(ctx context.Context, random *rand.Rand) {
	s.killAndStart(ctx, s.anyNode(random))
}

func (s *soak) killAndStart(ctx context.Context, node *nodeProcess) {
	node.control.Lock()
	defer node.control.Unlock()
	node.kill()
	s.again(ctx, node)
}

func (s *soak) killAll(ctx context.Context, _ *rand.Rand) {
	s.strike()
	var all sync.WaitGroup
	for _, node := range s.nodes {
		all.Go(func() { s.killAndStart(ctx, node) })
	}
	all.Wait()
	s.strike()
}

func (s *soak) pauseNode(ctx context.Context, random *rand.Rand) {
	node := s.anyNode(random)
	node.control.Lock()
	defer node.control.Unlock()
	node.signal(syscall.SIGSTOP, nodePaused)
	wait.For(ctx, between(random, 300*time.Millisecond, 5*time.Second))
	node.signal(syscall.SIGCONT, nodeRunning)
}

func (s *soak) stopNode(ctx context.Context, random *rand.Rand) {
	node := s.anyNode(random)
	node.control.Lock()
	defer node.control.Unlock()
	node.stop()
	s.again(ctx, node)
}

// calmStop stops a node as planned with no other fault near: nothing may be
// cut.
func (s *soak) calmStop(ctx context.Context, random *rand.Rand) {
	s.calm.Lock()
	defer s.calm.Unlock()
	if wait.For(ctx, quietBefore+time.Second) {
		s.stopNode(ctx, random)
	}
}

func (s *soak) harmNodeLink(ctx context.Context, random *rand.Rand) {
	node := s.anyNode(random)
	harmLink(ctx, node.link, random, node.beginFault, node.endFault)
}

func (s *soak) harmStoreLink(ctx context.Context, random *rand.Rand) {
	node := s.anyNode(random)
	harmLink(ctx, node.store, random, node.beginFault, node.endFault)
}

func (s *soak) harmEngineLink(ctx context.Context, random *rand.Rand) {
	engines := s.engineList()
	harmLink(ctx, engines[random.IntN(len(engines))].link, random, s.beginFault, s.endFault)
}

func harmLink(ctx context.Context, link *proxy, random *rand.Rand, begin, end func()) {
	kinds := []linkFault{linkDelayed, linkReset, linkCutOut, linkCutIn, linkSilenced}
	begin()
	link.set(kinds[random.IntN(len(kinds))])
	wait.For(ctx, between(random, 200*time.Millisecond, 4*time.Second))
	link.set(linkWell)
	end()
}

var doorFaults = []platformtest.Fault{
	platformtest.Busy, platformtest.Unavailable, platformtest.Silent, platformtest.Reset, platformtest.LostAnswer,
}

func (s *soak) harmDoor(ctx context.Context, random *rand.Rand) {
	node := s.anyNode(random)
	node.beginFault()
	node.door.Set(doorFaults[random.IntN(len(doorFaults))], random.IntN(2) == 0)
	wait.For(ctx, between(random, 300*time.Millisecond, 5*time.Second))
	node.door.Set(platformtest.Well, false)
	node.endFault()
}

func (s *soak) harmStore(ctx context.Context, random *rand.Rand) {
	kind, writes := doorFaults[random.IntN(len(doorFaults))], random.IntN(2) == 0
	s.atAllDoors(ctx, between(random, 300*time.Millisecond, 4*time.Second), func(door *platformtest.Door) { door.Set(kind, writes) },
		func(door *platformtest.Door) { door.Set(platformtest.Well, false) })
}

func (s *soak) slowStore(ctx context.Context, random *rand.Rand) {
	delay := between(random, 50*time.Millisecond, 400*time.Millisecond)
	s.atAllDoors(ctx, between(random, time.Second, 5*time.Second), func(door *platformtest.Door) { door.Slow(delay) },
		func(door *platformtest.Door) { door.Slow(0) })
}

// lateEffect has transactions go unanswered, and land seconds later.
func (s *soak) lateEffect(ctx context.Context, random *rand.Rand) {
	s.beginStoreFault()
	s.atAllDoors(ctx, between(random, 100*time.Millisecond, 600*time.Millisecond), func(door *platformtest.Door) { door.Set(platformtest.LateEffect, true) },
		func(door *platformtest.Door) { door.Set(platformtest.Well, false) })
	wait.For(ctx, between(random, 100*time.Millisecond, 4*time.Second))
	s.store.Land()
	s.endStoreFault()
}

func (s *soak) atAllDoors(ctx context.Context, length time.Duration, begin, end func(*platformtest.Door)) {
	s.beginStoreFault()
	for _, node := range s.nodes {
		begin(node.door)
	}
	wait.For(ctx, length)
	for _, node := range s.nodes {
		end(node.door)
	}
	s.endStoreFault()
}

func (s *soak) dropHistory(context.Context, *rand.Rand) {
	s.beginStoreFault()
	s.store.DropHistory()
	s.endStoreFault()
}

func (s *soak) misbehave(_ context.Context, random *rand.Rand) {
	// An answer that ends early and cleanly is not among them: on a route that is
	// no stream nobody can tell it from a whole one.
	kinds := []platformtest.Misbehaviour{
		platformtest.Shed, platformtest.CutMidway, platformtest.CutBefore, platformtest.Unsealed, platformtest.Hang,
	}
	s.strike()
	engines := s.engineList()
	engine := engines[random.IntN(len(engines))]
	for range 1 + random.IntN(4) {
		engine.Do(kinds[random.IntN(len(kinds))])
	}
}

// crashEngine ends an engine; another comes, and the entry of the old one goes
// later.
func (s *soak) crashEngine(ctx context.Context, random *rand.Rand) {
	s.strike()
	engine := s.takeEngine(random)
	if engine == nil {
		return
	}
	engine.link.close()
	_ = s.addEngine() // the next try brings one
	wait.For(ctx, between(random, 500*time.Millisecond, 3*time.Second))
	s.store.Unlist(engine.Engine)
	s.strike()
}

// drainEngine has an engine say that it leaves, serve on, and go.
func (s *soak) drainEngine(ctx context.Context, random *rand.Rand) {
	engine := s.takeEngine(random)
	if engine == nil {
		return
	}
	_ = s.addEngine() // the next try brings one
	s.store.List(engine.Engine, "z0", "draining")
	said := time.Now()
	wait.For(ctx, drainTime)
	s.judgeDrain(engine, said)
	s.store.Unlist(engine.Engine)
	wait.For(ctx, time.Second)
	engine.link.close()
}

const drainTime = 7 * time.Second

// judgeDrain asks that nothing reached an engine long after it had said that it
// leaves, where no fault struck meanwhile.
func (s *soak) judgeDrain(engine *engineLink, said time.Time) {
	const late = 2 * time.Second
	quiet := said.Add(-quietBefore)
	for _, node := range s.nodes {
		if node.condition().disturbed.After(quiet) {
			return
		}
	}
	if s.lastFault().After(quiet) {
		return
	}
	for _, run := range engine.Runs() {
		if run.Began.Sub(said) > late {
			s.judge.violate("leaving_engines_get_nothing", run.ID, fmt.Sprintf("%s, %v after it said so", engine.ID, run.Began.Sub(said)))
		}
	}
}

// takeEngine gives an engine that no fault has taken, unless few are left.
func (s *soak) takeEngine(random *rand.Rand) *engineLink {
	s.mu.Lock()
	defer s.mu.Unlock()
	var sound []*engineLink
	for _, engine := range s.engines {
		if !engine.taken {
			sound = append(sound, engine)
		}
	}
	if len(sound) <= s.options.Engines/2 {
		return nil
	}
	engine := sound[random.IntN(len(sound))]
	engine.taken = true
	return engine
}

func (s *soak) changeConfiguration(context.Context, *rand.Rand) { s.writeVersion() }
