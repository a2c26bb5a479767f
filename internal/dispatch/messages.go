package dispatch

import (
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/fleet"
	"ringstream.example/ringstream/internal/peer"
)

// onlineArrived is sent to the other dispatchers of an engine when the engine has
// received online work, so that they preempt their batch work there before the
// next load report. If it is lost, the load report carries the same information
// later.
type onlineArrived struct{ Engine string }

func init() { peer.Register(onlineArrived{}) }

// notifyDispatchers sends onlineArrived to the engine's other dispatchers.
func (s *Service) notifyDispatchers(engine *fleet.Engine) {
	for _, node := range engine.Dispatchers() {
		if node != s.bus.Self() {
			_ = s.bus.Send(node, onlineArrived{Engine: string(engine.ID)})
		}
	}
}

// handleOnlineArrived applies an onlineArrived message from another node.
func (s *Service) handleOnlineArrived(_ identity.NodeID, message any) any {
	arrived, ok := message.(onlineArrived)
	if !ok {
		return nil
	}
	if engine, known := s.fleet.Snapshot().Engines()[identity.EngineID(arrived.Engine)]; known {
		s.fleet.OnlineArrived(engine)
	}
	return nil
}
