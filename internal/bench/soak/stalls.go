package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"ringstream.example/ringstream/internal/wait"
)

// stallKinds lists the troubles that make what nodes know old without a failure: answers that
// come late, processes that stand still in between, and a feed that tells nothing. Their draws
// are their own, as those of seriesKinds.
func stallKinds() []fault {
	return []fault{
		{"answers_held", 4, (*soak).holdAnswers},
		{"stalls_in_series", 2, (*soak).stallInSeries},
		{"feed_silent", 1, (*soak).silenceFeed},
	}
}

// stallStream tells the draws of the stalls from those of single faults and of series.
const stallStream = 1 << 41

// strikeWithStalls strikes until the time is up, and returns when all is over.
func (s *soak) strikeWithStalls(ctx context.Context) {
	s.strikeBeside(ctx, stallStream, stallKinds(), 500*time.Millisecond, 3*time.Second)
}

// holdAnswers has what the store says to one node come late, in order.
func (s *soak) holdAnswers(ctx context.Context, random *rand.Rand) {
	node := s.anyNode(random)
	node.beginFault()
	defer node.endFault()
	node.store.hold(between(random, 300*time.Millisecond, 1500*time.Millisecond))
	wait.For(ctx, between(random, time.Second, 6*time.Second))
	node.store.set(linkWell)
}

// stallInSeries stops processes and lets them go on, over and over, several nodes at the same
// time, as a quota of processor time does that has run out.
func (s *soak) stallInSeries(ctx context.Context, random *rand.Rand) {
	var stalled sync.WaitGroup
	for _, number := range random.Perm(len(s.nodes))[:1+random.IntN(len(s.nodes)/3+1)] {
		node := s.nodes[number]
		own := rand.New(rand.NewPCG(s.options.Seed, random.Uint64()))
		stalled.Go(func() { stallNode(ctx, node, own) })
	}
	stalled.Wait()
}

func stallNode(ctx context.Context, node *nodeProcess, random *rand.Rand) {
	node.control.Lock()
	defer node.control.Unlock()
	pauseRepeatedly(ctx, node, random, 50*time.Millisecond, 20*time.Millisecond, 400*time.Millisecond)
}

// silenceFeed has the store's feed tell nothing while changes are made, and then go on, in
// half of the cases without the history of that time.
func (s *soak) silenceFeed(ctx context.Context, random *rand.Rand) {
	s.silence.Lock()
	defer s.silence.Unlock()
	s.beginStoreFault()
	defer s.endStoreFault()
	s.store.Hush()
	whole := between(random, 800*time.Millisecond, 2500*time.Millisecond)
	before := between(random, 0, whole)
	wait.For(ctx, before)
	s.writeVersion()
	wait.For(ctx, whole-before)
	if random.IntN(2) == 0 {
		s.store.DropHistory()
	}
	s.store.Speak()
}
