package batch

import (
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/passjob"
	"ringstream.example/ringstream/internal/events"
)

// softwareOf returns the software version at which an item that has text goes on, or an empty string
// if it may start at any. The item starts anew if its last event or its version is not known, or if no engine of it
// accepts work while one of another version does. It is not waiting if a run has begun meanwhile.
func (s *Service) softwareOf(next candidate, pool string) (software string, waiting bool) {
	s.mu.Lock()
	text := next.job.work[next.index].text
	s.mu.Unlock()
	if text.events == 0 {
		return "", true
	}
	if text.lastEvent == "" { // the event to go on after is not known
		return "", s.startAnew(next, text.software)
	}
	software = text.software // empty in rows of a build that saved none
	var goesOn, startsElsewhere bool
	s.Engines.Use(func(set *enginechoice.Set, now time.Time) {
		goesOn = software != "" && set.CanPick(enginechoice.Query{Pool: pool, Software: software}, now)
		startsElsewhere = set.CanPick(enginechoice.Query{Pool: pool}, now)
	})
	if goesOn || (software != "" && !startsElsewhere) {
		return software, true
	}
	return "", s.startAnew(next, software)
}

// startAnew discards the text of an item, unless a run has begun since the item was selected.
func (s *Service) startAnew(next candidate, software string) (waiting bool) {
	s.mu.Lock()
	work := &next.job.work[next.index]
	if work.running || work.finished != passjob.Open {
		s.mu.Unlock()
		return false
	}
	discarded := work.discardText()
	s.mu.Unlock()
	s.logStartedAnew(next, software, discarded)
	return true
}

// discardUnsoundText discards the text of an item whose run has ended and has brought events of no sound answer. The
// item does not run elsewhere yet.
func (s *Service) discardUnsoundText(r itemRun) {
	s.mu.Lock()
	discarded := r.job.work[r.index].discardText()
	s.mu.Unlock()
	s.logStartedAnew(candidate{job: r.job, index: r.index}, r.decision.Choice.Entry.Software, discarded)
}

// discardText discards the text, and returns its number of events. The caller holds Service.mu.
func (w *itemWork) discardText() (discarded int) {
	discarded = w.text.events
	w.text = progress{restarts: w.text.restarts + 1}
	w.savedEvents, w.slotRequestID, w.slotPool = 0, 0, ""
	return discarded
}

func (s *Service) logStartedAnew(item candidate, software string, discarded int) {
	events.ItemStartedAnew.Log(s.Logger, zap.String("job", item.job.id), zap.String("request", item.job.items[item.index].ID), zap.Int64("epoch", item.job.epoch),
		zap.String("software", software), zap.Int("events_discarded", discarded))
}

// mayGoOnAt reports whether a run may add to the text at an engine of a software version.
func (p *progress) mayGoOnAt(software string) bool {
	return p.events == 0 || (p.software != "" && p.software == software)
}
