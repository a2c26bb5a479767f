package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"ringstream.example/ringstream/internal/wait"
)

// stallKinds lists the faults that make the data of nodes stale without a failure: late answers,
// processes that stop for short times, and a silent feed. They are drawn from their own stream,
// like those of seriesKinds.
func stallKinds() []fault {
	return []fault{
		{"answers_held", 4, (*soak).delayStoreAnswers},
		{"stalls_in_series", 2, (*soak).stallNodes},
		{"feed_silent", 1, (*soak).silenceFeed},
	}
}

// stallStream is the random stream of the stalls, which is separate from those of the other faults.
const stallStream = 1 << 41

// injectStalls injects stalls until the time is up, and returns when all of them have ended.
func (s *soak) injectStalls(ctx context.Context) {
	s.injectKinds(ctx, stallStream, stallKinds(), 500*time.Millisecond, 3*time.Second)
}

// delayStoreAnswers delays what the store sends to one node, in order.
func (s *soak) delayStoreAnswers(ctx context.Context, random *rand.Rand) {
	node := s.anyNode(random)
	node.beginFault()
	defer node.endFault()
	node.storeLink.delayAnswers(randomDuration(random, 300*time.Millisecond, 1500*time.Millisecond))
	wait.For(ctx, randomDuration(random, time.Second, 6*time.Second))
	node.storeLink.set(linkHealthy)
}

// stallNodes pauses and resumes several nodes at the same time, over and over, as an exhausted CPU
// quota does.
func (s *soak) stallNodes(ctx context.Context, random *rand.Rand) {
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

// silenceFeed stops the events of the store's feed while changes are made, and then resumes it. In
// half of the cases the history of that time is dropped.
func (s *soak) silenceFeed(ctx context.Context, random *rand.Rand) {
	s.feedControl.Lock()
	defer s.feedControl.Unlock()
	s.beginStoreFault()
	defer s.endStoreFault()
	s.store.MuteFeeds()
	total := randomDuration(random, 800*time.Millisecond, 2500*time.Millisecond)
	before := randomDuration(random, 0, total)
	wait.For(ctx, before)
	s.writeVersion()
	wait.For(ctx, total-before)
	if random.IntN(2) == 0 {
		s.store.DropHistory()
	}
	s.store.UnmuteFeeds()
}
