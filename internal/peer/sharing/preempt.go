package sharing

import (
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/loadsum"
	"ringstream.example/ringstream/internal/events"
)

// Preempt asks the node that runs the most batch requests at an engine to stop
// one; false when none is known. The message is a hint: where it is lost, the
// engine is relieved when its excess is seen in the reports.
func (s *Share) Preempt(engine, request string) bool {
	hash := loadsum.EngineHash(engine)
	s.mu.Lock()
	address, age, found := s.tree.Preempt(hash, time.Now())
	s.mu.Unlock()
	datagrams := s.datagrams.Load()
	if !found || datagrams == nil {
		return false
	}
	events.PreemptionAsked.Log(s.logger, zap.String("request", request), zap.String("engine", engine), zap.String("peer", address), zap.Duration("report_age", age))
	s.send(*datagrams, message{Kind: kindPreempt, Engine: hash}, address)
	return true
}
