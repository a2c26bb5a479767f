package slots

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/grant"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/passthrough"
)

// paceInterval is how long the events of a request are counted before their pace is reported.
// The node's next message to the dispatcher may be that much later.
const paceInterval = grant.RefreshInterval / 2

// paceWindow counts the events of a request since its pace was last reported. It is safe for
// concurrent use.
type paceWindow struct {
	mu      sync.Mutex // guards the rest
	started bool       // the first event has arrived
	events  int
	waited  time.Duration // for these events
}

// add counts events. It reports whether their pace is due to be reported.
func (w *paceWindow) add(count int, waited time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.started {
		w.started = true
		return false
	}
	w.events += count
	w.waited += waited
	return w.waited >= paceInterval
}

// take returns the events counted so far and starts a new count.
func (w *paceWindow) take() (events int, waited time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	events, waited = w.events, w.waited
	w.events, w.waited = 0, 0
	return events, waited
}

// RecordEvents records the arrival of events of the request, and how long the engine was waited
// for before them.
func (s *Slot) RecordEvents(count int, waited time.Duration) {
	if s.service.LearnsSpeeds(s.lane.Pool) && s.pace.add(count, waited) {
		s.reportPace()
	}
}

// reportPace tells the lane's dispatcher the pace of the events that were counted.
func (s *Slot) reportPace() {
	events, waited := s.pace.take()
	if events == 0 {
		return
	}
	pace := grant.Pace{Engine: grant.EngineHash(s.engine), Events: events, Elapsed: waited}
	s.service.mu.Lock()
	defer s.service.mu.Unlock()
	if requester := s.service.requesters[s.lane]; requester != nil {
		requester.RecordPace(pace)
	}
}

// RecordLoad records the load that an engine states in the headers of its answer.
func (s *Slot) RecordLoad(answer passthrough.EngineAnswer) {
	if answer.LoadUnreadable {
		s.service.logUnreadableLoad(s.engine)
	}
	if !answer.LoadKnown {
		return
	}
	load := answer.Load
	s.service.Engines.Use(func(set *enginechoice.Set, now time.Time) {
		set.RecordReport(s.engine, load.Running, load.Waiting, now)
	})
	s.service.mu.Lock()
	defer s.service.mu.Unlock()
	if requester := s.service.requesters[s.lane]; requester != nil {
		requester.RecordReport(grant.Load{Engine: grant.EngineHash(s.engine), Running: load.Running, Waiting: load.Waiting, WorkPercent: load.WorkPercent})
	}
}

// maxUnreadableLoads bounds the engines whose unreadable load is remembered as logged.
const maxUnreadableLoads = 1024

// logUnreadableLoad logs, once for each engine, that its load cannot be read.
func (s *Service) logUnreadableLoad(engine enginechoice.Incarnation) {
	s.mu.Lock()
	logged := s.unreadableLoads[engine] || len(s.unreadableLoads) >= maxUnreadableLoads
	if !logged {
		s.unreadableLoads[engine] = true
	}
	s.mu.Unlock()
	if !logged {
		events.EngineLoadUnreadable.Log(s.Logger, zap.Stringer("engine", engine))
	}
}

// speedChange is an engine of a lane that is taken for slow, or no longer is.
type speedChange struct {
	lane   grant.Lane
	change grant.SpeedChange
}

// logSpeedChange logs that an engine is taken for slow, or no longer is.
func (s *Service) logSpeedChange(known speedChange) {
	fields := []zap.Field{
		zap.String("pool", known.lane.Pool), zap.Uint32("part", known.lane.Part), zap.Stringer("engine", known.change.Engine),
		zap.Int("observations", known.change.Observations), zap.Duration("newest", known.change.Newest), zap.Duration("oldest", known.change.Oldest),
	}
	if known.change.Slowness > 1 {
		events.EngineSlow.Log(s.Logger, append(fields, zap.Float64("slowness", known.change.Slowness))...)
		return
	}
	events.EngineUsualSpeed.Log(s.Logger, append(fields, zap.Duration("slow_for", known.change.SlowFor))...)
}

// updateSpeedMetrics counts the slow engines of the lanes for which this node is the dispatcher.
// The caller holds mu.
func (s *Service) updateSpeedMetrics() {
	if !s.config.Scheduling.EngineSpeeds {
		return
	}
	var all []float64
	for _, dispatcher := range s.dispatchers {
		for _, slowness := range dispatcher.Slowness() {
			all = append(all, slowness)
		}
	}
	s.Metrics.setSlowness(all)
}

// LearnsSpeeds reports whether the engines of a pool are chosen by the speed that was observed.
// Where the streaming routes of a pool have several objectives, their prompts differ, and the long
// ones slow down an engine for the others, so that its pace tells little of its speed.
func (s *Service) LearnsSpeeds(pool string) bool {
	return s.config.Scheduling.EngineSpeeds && s.hasOneObjective(pool)
}

// policies returns the policies of a lane's new dispatcher, but for the overload control.
func (s *Service) policies(lane grant.Lane) grant.Policies {
	policies := s.config.Scheduling.policies()
	if !s.LearnsSpeeds(lane.Pool) {
		policies.Speeds = nil
	}
	return policies
}

// LaneHasQueue reports whether online requests of the slot's lane waited for an engine when this
// node last heard from the lane's dispatcher.
func (s *Slot) LaneHasQueue() bool {
	s.service.mu.Lock()
	defer s.service.mu.Unlock()
	requester := s.service.requesters[s.lane]
	return requester != nil && requester.Queued() > 0
}
