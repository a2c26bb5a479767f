package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"ringstream.example/ringstream/internal/wait"
)

// concurrent is calls that run beside each other.
type concurrent = sync.WaitGroup

// seriesKinds lists the troubles that come several in a row, beside those of faultKinds:
// their draws are their own, so that a seed's single faults stay as they were.
func seriesKinds() []fault {
	return []fault{
		{"deadly_request", 3, (*soak).sendDeadly},
		{"deadly_item", 1, (*soak).handInDeadly},
		{"pauses_in_series", 2, (*soak).pauseInSeries},
		{"hang_ups_in_series", 2, (*soak).hangUpInSeries},
		{"stops_in_series", 2, (*soak).stopInSeries},
		{"configurations_in_series", 2, (*soak).configureInSeries},
	}
}

// seriesStream tells the draws of the series from those of single faults.
const seriesStream = 1 << 40

// strikeInSeries strikes until the time is up, and returns when all is over.
func (s *soak) strikeInSeries(ctx context.Context) {
	s.strikeBeside(ctx, seriesStream, seriesKinds(), 300*time.Millisecond, 2*time.Second)
}

// strikeBeside strikes beside the single faults, with a pause after each strike's begin.
func (s *soak) strikeBeside(ctx context.Context, stream uint64, kinds []fault, leastPause, mostPause time.Duration) {
	var lasting sync.WaitGroup
	room := make(chan struct{}, atOnce)
	s.draw(ctx, stream, kinds, func(random, own *rand.Rand, kind fault) {
		room <- struct{}{}
		lasting.Go(func() {
			defer func() { <-room }()
			s.calm.RLock()
			defer s.calm.RUnlock()
			s.note(kind.name)
			kind.strike(s, ctx, own)
		})
		wait.For(ctx, between(random, leastPause, mostPause))
	})
	lasting.Wait()
}

const seriesMost = 6

// pauseInSeries stops a process and lets it go on, some times within seconds.
func (s *soak) pauseInSeries(ctx context.Context, random *rand.Rand) {
	node := s.anyNode(random)
	node.control.Lock()
	defer node.control.Unlock()
	pauseRepeatedly(ctx, node, random, 20*time.Millisecond, 10*time.Millisecond, 300*time.Millisecond)
}

// mostPause is the longest single pause of a series.
const mostPause = 900 * time.Millisecond

// pauseRepeatedly stops a process and lets it go on, over and over; the caller holds its control.
func pauseRepeatedly(ctx context.Context, node *nodeProcess, random *rand.Rand, leastPause, leastRun, mostRun time.Duration) {
	for range 2 + random.IntN(seriesMost) {
		node.signal(syscall.SIGSTOP, nodePaused)
		wait.For(ctx, between(random, leastPause, mostPause))
		node.signal(syscall.SIGCONT, nodeRunning)
		wait.For(ctx, between(random, leastRun, mostRun))
	}
}

// hangUpInSeries says that the settings have changed, over and over. No program hears a
// signal before it runs, and on a busy machine one takes over half a second until then.
func (s *soak) hangUpInSeries(ctx context.Context, random *rand.Rand) {
	node := s.anyNode(random)
	node.control.Lock()
	defer node.control.Unlock()
	if !node.awaitRunning(ctx) {
		return
	}
	for range 2 + random.IntN(seriesMost) {
		node.signal(syscall.SIGHUP, nodeRunning)
		wait.For(ctx, between(random, time.Millisecond, 200*time.Millisecond))
	}
}

// mostStops bounds the nodes that a series stops: a longer one would outlive the soak's time.
const mostStops = 12

// stopInSeries stops some nodes as planned, each while the one before still ends, with a
// change of the configuration in between; a stop may be asked for twice.
func (s *soak) stopInSeries(ctx context.Context, random *rand.Rand) {
	var stops sync.WaitGroup
	first := random.IntN(len(s.nodes))
	for number := range 1 + random.IntN(min(max(len(s.nodes)/2, 1), mostStops)) {
		node := s.nodes[(first+number)%len(s.nodes)]
		twice := random.IntN(2) == 0
		stops.Go(func() {
			node.control.Lock()
			defer node.control.Unlock()
			if twice {
				node.signal(syscall.SIGTERM, nodeStopping)
				wait.For(ctx, restartDelay)
			}
			node.stop()
			s.again(ctx, node)
		})
		wait.For(ctx, between(random, 100*time.Millisecond, 1500*time.Millisecond))
		s.writeVersion()
	}
	stops.Wait()
}

// configureInSeries writes versions in quick succession.
func (s *soak) configureInSeries(ctx context.Context, random *rand.Rand) {
	for range 2 + random.IntN(seriesMost) {
		s.writeVersion()
		wait.For(ctx, between(random, 5*time.Millisecond, 300*time.Millisecond))
	}
}
