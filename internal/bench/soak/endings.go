package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"ringstream.example/ringstream/internal/wait"
	"ringstream.example/ringstream/platform/platformtest"
)

// endingsStream is the random stream of engines that end between answers that end with their connections.
const endingsStream = 1 << 46

// framingStream is the first random stream of the framings of engines' answers.
const framingStream = 1 << 47

// framing returns a function that draws how an engine frames its answers. Beside nodes of an earlier build, which
// may take the end of a connection for that of an answer, all are sent in chunks.
func (s *soak) framing(number uint64) func() platformtest.Framing {
	random := rand.New(rand.NewPCG(s.options.Seed, framingStream+number))
	var mu sync.Mutex
	return func() platformtest.Framing {
		mu.Lock()
		defer mu.Unlock()
		framing := platformtest.Framing{ByConnection: random.IntN(3) == 0, InParts: random.IntN(3) == 0}
		framing.ByConnection = framing.ByConnection && s.options.PreviousBinary == ""
		return framing
	}
}

// injectEndings has engines end as processes do until the time is up.
func (s *soak) injectEndings(ctx context.Context) {
	kinds := []fault{{"engine_ends", 3, (*soak).endEngine}, {"engine_leaves_with_answers", 1, (*soak).leaveWithAnswers}}
	s.injectKinds(ctx, endingsStream, kinds, 300*time.Millisecond, 1500*time.Millisecond)
}

// endEngine ends an engine under the answers that it is writing, and starts another one. Its connections end
// with an ordinary end of file. Its entry goes some time later.
func (s *soak) endEngine(ctx context.Context, random *rand.Rand) {
	engine := s.reserveEngine(random)
	if engine == nil {
		return
	}
	s.recordFault()
	awaitAnswer(ctx, engine)
	wait.For(ctx, randomDuration(random, 0, eventsPerAnswer*eventInterval))
	engine.link.refuse()
	engine.End()
	_ = s.addEngine() // after an error, the next engine that ends adds one
	wait.For(ctx, randomDuration(random, 0, 3*time.Second))
	s.store.Unlist(engine.Engine)
	s.recordFault()
}

// maxAnswerWait bounds the wait for an answer under which an engine ends.
const maxAnswerWait = 300 * time.Millisecond

func awaitAnswer(ctx context.Context, engine *engineLink) {
	for begun := time.Now(); engine.Working() == 0 && time.Since(begun) < maxAnswerWait; {
		wait.For(ctx, time.Millisecond)
	}
}

const (
	// leavingPace makes the last answers of an engine that leaves outlast leavingDelay.
	leavingPace = 200 * time.Millisecond
	// leavingDelay is the time from the entry that says that an engine leaves until it refuses connections.
	leavingDelay = 1500 * time.Millisecond
)

// leaveWithAnswers has an engine leave as planned. It ends when its last answers are whole, which its slow pace
// has last longer than it listens.
func (s *soak) leaveWithAnswers(ctx context.Context, random *rand.Rand) {
	engine := s.reserveEngine(random)
	if engine == nil {
		return
	}
	s.recordFault()
	_ = s.addEngine() // after an error, the next engine that ends adds one
	engine.Pace(leavingPace)
	s.store.List(engine.Engine, engine.zone, "draining")
	wait.For(ctx, leavingDelay)
	engine.link.refuse()
	limited, cancel := context.WithTimeout(ctx, onlineDeadline)
	defer cancel()
	_ = engine.Leave(limited) // what still runs then is cut
	engine.End()              // under the items that outlast it
	s.store.Unlist(engine.Engine)
	s.recordFault()
}

// FramingReport counts the runs whose answers ended with their connections.
type FramingReport struct {
	Answers int `json:"answers"`
	// Short counts those that ended before their last event.
	Short int `json:"short"`
}

func (j *judge) reportFraming(byID map[string][]engineRun) FramingReport {
	var report FramingReport
	for _, runs := range byID {
		for _, run := range runs {
			if !run.run.Framing.ByConnection {
				continue
			}
			report.Answers++
			if run.run.Wrote < j.eventsOf(run.run.ID) {
				report.Short++
			}
		}
	}
	return report
}
