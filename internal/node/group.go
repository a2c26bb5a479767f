package node

import (
	"context"
	"sync"

	"github.com/oklog/run"
	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/events"
)

// phase orders the planned stop. The actors of a phase are interrupted once all
// actors of earlier phases have returned.
type phase int

// The phases of the planned stop. Components that serve callers and jobs stop
// first, then the components that they depend on, and last the components through
// which other nodes and operators reach this node.
const (
	phaseServing phase = iota
	phaseSupport
	phaseFleet
	phaseCount
)

// group is a run.Group whose actors stop in phases.
type group struct {
	group   run.Group
	logger  *zap.Logger
	running [phaseCount]sync.WaitGroup
}

// add adds a long-running component that stops in stopPhase.
func (g *group) add(name string, stopPhase phase, work func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	g.running[stopPhase].Add(1)
	execute := func() error {
		defer g.running[stopPhase].Done()
		err := work(ctx)
		if err != nil {
			events.ComponentFailed.Log(g.logger, zap.String("component", name), zap.Error(err))
		}
		return err
	}
	interrupt := func(error) {
		for earlier := range stopPhase {
			g.running[earlier].Wait()
		}
		cancel()
	}
	g.group.Add(execute, interrupt)
}

// run starts all actors. When the first returns, it interrupts the others, waits
// for them and returns the error of the first.
func (g *group) run() error { return g.group.Run() }
