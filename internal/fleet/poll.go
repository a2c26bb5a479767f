package fleet

import (
	"context"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/health"
	"ringstream.example/ringstream/internal/core/routing"
	"ringstream.example/ringstream/internal/events"
)

// scheduleInterval is the interval of the search for due polls.
const scheduleInterval = 20 * time.Millisecond

// schedulePolls passes engines whose load report is due to the poll workers.
func (s *Service) schedulePolls(ctx context.Context) {
	ticker := time.NewTicker(scheduleInterval)
	defer ticker.Stop()
	for {
		now := time.Now()
		for _, engine := range s.Snapshot().byID {
			if !engine.claimPoll(now) {
				continue
			}
			select {
			case s.duePolls <- engine:
			case <-ctx.Done():
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// claimPoll marks the engine as being polled if its report is due, and reports
// whether it did.
func (e *Engine) claimPoll(now time.Time) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.polling || now.Before(e.nextPoll) {
		return false
	}
	e.polling = true
	return true
}

func (s *Service) pollWorker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case engine := <-s.duePolls:
			s.poll(ctx, engine)
		}
	}
}

// poll requests the load report of one engine and, when due, its cache events.
func (s *Service) poll(ctx context.Context, engine *Engine) {
	callCtx, cancel := context.WithTimeout(ctx, s.config.PollTimeout)
	defer cancel()
	load, err := engine.Client.Load(callCtx)
	now := time.Now()
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		s.metrics.pollFailures.Inc()
		s.transition(engine, "no load report: "+err.Error(), func(m *health.Machine) health.State { return m.Unreachable(now) })
		engine.finishPoll(now, s.pollInterval(engine))
		return
	}
	s.metrics.polls.Inc()
	if load.Leaving && !engine.leaving.Load() {
		events.EngineLeaving.Log(s.logger, zap.String("engine", string(engine.ID)), zap.String("source", "load report"))
	}
	engine.applyReport(now, load)
	before := health.State(engine.state.Load())
	s.transition(engine, "", func(m *health.Machine) health.State { return m.RecordAnswer(now) })
	if before == health.Ejected {
		s.resetPrefixes(engine) // a restarted engine has an empty cache and new event numbers
	}
	s.readCacheEvents(callCtx, engine, now)
	engine.finishPoll(now, s.pollInterval(engine))
	s.Notify()
}

func (e *Engine) finishPoll(now time.Time, interval time.Duration) {
	e.mutex.Lock()
	e.polling = false
	e.nextPoll = now.Add(interval)
	e.mutex.Unlock()
}

// pollInterval returns the pause until an engine's next load report. It is short
// while this node has work on the engine or online work was seen there recently,
// and never so short that the polls exceed PollsPerSecond.
func (s *Service) pollInterval(engine *Engine) time.Duration {
	wanted := s.config.IdleLoadInterval
	seen := time.Unix(0, engine.lastOnline.Load())
	if online, batch := engine.OwnSequences(); online+batch > 0 || time.Since(seen) < s.config.IdleLoadInterval {
		wanted = s.config.LoadInterval
	}
	count := len(s.Snapshot().byID)
	budget := time.Duration(float64(count) / s.config.PollsPerSecond * float64(time.Second))
	return max(wanted, budget)
}

func (s *Service) readCacheEvents(ctx context.Context, engine *Engine, now time.Time) {
	if engine.slot < 0 || now.Before(engine.nextEvents) {
		return
	}
	engine.nextEvents = now.Add(s.config.CacheEventInterval)
	s.prefixMutex.RLock()
	since := s.prefixes.LastSequence(engine.slot)
	s.prefixMutex.RUnlock()
	published, err := engine.Client.CacheEvents(ctx, since)
	if err != nil {
		return // the events are only hints, and the next call returns them
	}
	s.prefixMutex.Lock()
	defer s.prefixMutex.Unlock()
	for _, event := range published {
		s.prefixes.Event(engine.slot, event.Sequence, event.Prefix, event.Stored)
	}
}

func (s *Service) resetPrefixes(engine *Engine) {
	if engine.slot < 0 {
		return
	}
	s.prefixMutex.Lock()
	s.prefixes.Reset(engine.slot)
	s.prefixMutex.Unlock()
}

// WithPrefixes calls decide with the prefix index, under its read lock.
func (s *Service) WithPrefixes(decide func(*routing.PrefixIndex)) {
	s.prefixMutex.RLock()
	defer s.prefixMutex.RUnlock()
	decide(s.prefixes)
}

// RecordPrompt records that a prompt was sent to an engine, whose cache will hold it.
func (s *Service) RecordPrompt(engine *Engine, prefix []uint64) {
	s.prefixMutex.Lock()
	s.prefixes.Expect(engine.slot, prefix)
	s.prefixMutex.Unlock()
}

// RecordToken records a first token, which shows that the engine makes progress.
func (s *Service) RecordToken(engine *Engine) {
	if health.State(engine.state.Load()) == health.Healthy {
		return
	}
	s.transition(engine, "", func(m *health.Machine) health.State { return m.RecordToken() })
}

// RecordTimeout records that a stream stalled for longer than its limit.
func (s *Service) RecordTimeout(engine *Engine, cause string) {
	s.transition(engine, cause, func(m *health.Machine) health.State { return m.RecordTimeout(time.Now()) })
}

// Unreachable records a call without a response.
func (s *Service) Unreachable(engine *Engine, cause string) {
	s.transition(engine, cause, func(m *health.Machine) health.State { return m.Unreachable(time.Now()) })
}

// OnlineArrived records that another node has sent online work to the engine.
func (s *Service) OnlineArrived(engine *Engine) {
	engine.recordOnline(time.Now(), s.config.LoadInterval)
	s.Notify()
}

// RecordLeaving records that an engine refused work because it is leaving.
func (s *Service) RecordLeaving(engine *Engine) {
	if !engine.leaving.Swap(true) {
		events.EngineLeaving.Log(s.logger, zap.String("engine", string(engine.ID)), zap.String("source", "refusal"))
	}
}
