package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"ringstream.example/ringstream/internal/wait"
)

// callGroup waits for concurrent calls.
type callGroup = sync.WaitGroup

// seriesKinds lists the faults that come several in a row, in addition to those of faultKinds. They
// are drawn from their own stream, so that the single faults of a seed stay the same.
func seriesKinds() []fault {
	return []fault{
		{"deadly_request", 3, (*soak).sendDeadly},
		{"deadly_item", 1, (*soak).submitUnluckyJob},
		{"pauses_in_series", 2, (*soak).pauseNodeRepeatedly},
		{"hang_ups_in_series", 2, (*soak).reloadSettingsRepeatedly},
		{"stops_in_series", 2, (*soak).stopOverlapping},
		{"configurations_in_series", 2, (*soak).configureRapidly},
	}
}

// seriesStream is the random stream of the series, which is separate from that of single faults.
const seriesStream = 1 << 40

// injectSeries injects series of faults until the time is up, and returns when all of them have
// ended.
func (s *soak) injectSeries(ctx context.Context) {
	s.injectKinds(ctx, seriesStream, seriesKinds(), 300*time.Millisecond, 2*time.Second)
}

// injectKinds injects faults of the given kinds alongside the single faults, with a pause after
// each start, and returns when all of them have ended.
func (s *soak) injectKinds(ctx context.Context, stream uint64, kinds []fault, minPause, maxPause time.Duration) {
	var running sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentFaults)
	s.drawFaults(ctx, stream, kinds, func(random, own *rand.Rand, kind fault) {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			s.exclusive.RLock()
			defer s.exclusive.RUnlock()
			s.recordKind(kind.name)
			kind.inject(s, ctx, own)
		})
		wait.For(ctx, randomDuration(random, minPause, maxPause))
	})
	running.Wait()
}

const seriesSpread = 6

// pauseNodeRepeatedly pauses and resumes a node several times within seconds.
func (s *soak) pauseNodeRepeatedly(ctx context.Context, random *rand.Rand) {
	node := s.anyNode(random)
	node.control.Lock()
	defer node.control.Unlock()
	pauseRepeatedly(ctx, node, random, 20*time.Millisecond, 10*time.Millisecond, 300*time.Millisecond)
}

// longestPause is the longest single pause of a series.
const longestPause = 900 * time.Millisecond

// pauseRepeatedly pauses and resumes a node's process several times. The caller holds node.control.
func pauseRepeatedly(ctx context.Context, node *nodeProcess, random *rand.Rand, minPause, minRun, maxRun time.Duration) {
	for range 2 + random.IntN(seriesSpread) {
		node.signal(syscall.SIGSTOP, nodePaused)
		wait.For(ctx, randomDuration(random, minPause, longestPause))
		node.signal(syscall.SIGCONT, nodeRunning)
		wait.For(ctx, randomDuration(random, minRun, maxRun))
	}
}

// reloadSettingsRepeatedly sends SIGHUP, which reloads the settings, several times. It first waits
// until the process answers, because a process cannot handle signals before it runs, and on a busy
// machine this takes more than half a second.
func (s *soak) reloadSettingsRepeatedly(ctx context.Context, random *rand.Rand) {
	node := s.anyNode(random)
	node.control.Lock()
	defer node.control.Unlock()
	if !node.awaitResponding(ctx) {
		return
	}
	for range 2 + random.IntN(seriesSpread) {
		node.signal(syscall.SIGHUP, nodeRunning)
		wait.For(ctx, randomDuration(random, time.Millisecond, 200*time.Millisecond))
	}
}

// maxStops bounds the nodes that a series stops. A longer series would outlast the soak.
const maxStops = 12

// stopOverlapping performs planned stops of some nodes. Each stop begins while the previous one may
// still be in progress, with a configuration change in between. A node may be sent SIGTERM twice.
func (s *soak) stopOverlapping(ctx context.Context, random *rand.Rand) {
	var stops sync.WaitGroup
	first := random.IntN(len(s.nodes))
	for number := range 1 + random.IntN(min(max(len(s.nodes)/2, 1), maxStops)) {
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
			s.restartNode(ctx, node)
		})
		wait.For(ctx, randomDuration(random, 100*time.Millisecond, 1500*time.Millisecond))
		s.writeVersion()
	}
	stops.Wait()
}

// configureRapidly writes configuration versions in quick succession.
func (s *soak) configureRapidly(ctx context.Context, random *rand.Rand) {
	for range 2 + random.IntN(seriesSpread) {
		s.writeVersion()
		wait.For(ctx, randomDuration(random, 5*time.Millisecond, 300*time.Millisecond))
	}
}
