package guard

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/quarantine"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/wait"
)

// Times and bounds of telling. A crash reaches a node that one datagram in four is lost to
// with 63 in 64 of its first three tries; what is still missing comes with the gravest.
const (
	// gatherFor is how long crashes are gathered before they are told: all requests of an
	// engine break within some milliseconds.
	gatherFor = 5 * time.Millisecond
	// againEvery and tries say how often a crash is told to all.
	againEvery = 150 * time.Millisecond
	tries      = 3
	// perMessage bounds the crashes of one message, some 40 bytes each.
	perMessage = 200
	// gravestEvery is the pause between two tellings of the gravest crashes to one node
	// by chance: 2 KB/s at the most, none while no content has ended two engines.
	gravestEvery = time.Second
	gravest      = 50
	// gravestOldest is how old the newest crash of a content that is told so may be: a
	// node that started since has it from the store.
	gravestOldest = 2 * time.Minute
	expireEvery   = 10 * time.Second
)

// A node that has just started asks some others each askEvery, for askFor: all may have been
// restarted while the store took no writes, and one of them may have been spared.
const (
	askEvery = 200 * time.Millisecond
	askFor   = 3 * time.Second
	asked    = 5
)

// ask asks some nodes for what this one must know.
func (s *Service) ask() {
	if s.transport == nil {
		return
	}
	peers := slices.Clone(s.Peers())
	if len(peers) == 0 {
		peers = slices.Clone(s.Seeds())
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, peer := range peers[:min(asked, len(peers))] {
		s.transport.AskCrashes(peer)
	}
}

// repeated is a crash that is told again.
type repeated struct {
	crash quarantine.Crash
	from  time.Time // Age is as of then
	at    time.Time // of the next telling
	left  int
}

// Run tells and keeps what is new until ctx ends. The two do not wait for each other: a
// write to the store may take long.
func (s *Service) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { s.keepAll(ctx) })
	s.tellAll(ctx)
	group.Wait()
	return nil
}

// tellAll tells other nodes what is new, gathered for a moment from the first news on, and
// does what is due now and then.
func (s *Service) tellAll(ctx context.Context) {
	begun := time.Now()
	gravestAt, expireAt, askAt := begun.Add(gravestEvery), begun.Add(expireEvery), begun
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-s.wake:
			if !wait.For(ctx, gatherFor) {
				return
			}
		}
		now := time.Now()
		if now.Sub(begun) < askFor && !now.Before(askAt) {
			s.ask()
			askAt = now.Add(askEvery)
		}
		s.tellFresh(now)
		if now.After(gravestAt) {
			s.tellGravest(now)
			gravestAt = now.Add(gravestEvery)
		}
		if now.After(expireAt) {
			s.expire(now)
			expireAt = now.Add(expireEvery)
		}
		next := s.nextRepeat(gravestAt)
		if now.Sub(begun) < askFor && askAt.Before(next) {
			next = askAt
		}
		timer.Reset(max(next.Sub(now), time.Millisecond))
	}
}

// nextRepeat gives when a crash is next told again, or a later time.
func (s *Service) nextRepeat(next time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, known := range s.repeat {
		if known.at.Before(next) {
			next = known.at
		}
	}
	return next
}

// tellFresh tells all nodes what is new, and again what was new a moment ago.
func (s *Service) tellFresh(now time.Time) {
	if s.transport == nil {
		s.mu.Lock()
		s.fresh = nil
		s.mu.Unlock()
		return
	}
	s.mu.Lock()
	for _, crash := range s.fresh {
		s.repeat = append(s.repeat, repeated{crash: crash, from: now, at: now, left: tries})
	}
	s.fresh = nil
	var due []quarantine.Crash
	for i := range s.repeat {
		known := &s.repeat[i]
		if known.at.After(now) {
			continue
		}
		crash := known.crash
		crash.Age += now.Sub(known.from)
		due = append(due, crash)
		known.at = now.Add(againEvery)
		known.left--
	}
	s.repeat = slices.DeleteFunc(s.repeat, func(known repeated) bool { return known.left == 0 })
	s.mu.Unlock()
	if len(due) == 0 {
		return
	}
	for _, peer := range s.Peers() {
		s.tell(peer, due)
	}
}

func (s *Service) tell(peer string, crashes []quarantine.Crash) {
	for part := range slices.Chunk(crashes, perMessage) {
		s.transport.SendCrashes(peer, part)
	}
}

// tellGravest tells one node what all must know in the end.
func (s *Service) tellGravest(now time.Time) {
	if s.transport == nil || !s.known.Load() {
		return
	}
	s.mu.Lock()
	crashes := s.ledger.Gravest(gravest, gravestOldest, now)
	s.mu.Unlock()
	peers := s.Peers()
	if len(crashes) > 0 && len(peers) > 0 {
		s.tell(peers[rand.IntN(len(peers))], crashes)
	}
}

// expire forgets what is too old.
func (s *Service) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Expire(now)
	for content := range s.own {
		if !s.ledger.Knows(content) {
			delete(s.own, content)
		}
	}
	for content := range s.blocked {
		if !s.ledger.Verdict(content, now).Blocked {
			delete(s.blocked, content)
		}
	}
	s.countKnown()
}

// keptFrom is how many engines end under a content before its crashes are kept in the
// store. Of each engine's requests some end under one engine only, for which nothing
// needs to outlive a restart.
const keptFrom = 2

// keepTime bounds one write; what fails is tried again.
const keepTime = 1500 * time.Millisecond

// keepAgain is the pause after a write that failed: the store may be down for long, and
// prices each call.
const keepAgain = 500 * time.Millisecond

// keepAll writes the crashes that this node saw until ctx ends, one row a content.
func (s *Service) keepAll(ctx context.Context) {
	if s.keeper == nil {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.toKeep:
		}
		for content, found := s.nextUnkept(); found && ctx.Err() == nil; content, found = s.nextUnkept() {
			if !s.keep(ctx, content) {
				wait.For(ctx, keepAgain)
			}
		}
	}
}

// nextUnkept takes a content whose crashes are to be written.
func (s *Service) nextUnkept() (quarantine.Digest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for content := range s.unkept {
		delete(s.unkept, content)
		return content, true
	}
	return quarantine.Digest{}, false
}

// keep writes what is known of a content; false when that failed.
func (s *Service) keep(ctx context.Context, content quarantine.Digest) bool {
	s.mu.Lock()
	crashes := s.ledger.Crashes(content, time.Now())
	s.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, keepTime)
	defer cancel()
	err := s.keeper.KeepCrashes(call, content.Key()+"/"+s.Self, crashes)
	events.CrashesKept.Log(s.Logger, zap.Stringer("content", content), zap.Int("crashes", len(crashes)), zap.Error(err))
	if err != nil {
		s.mu.Lock()
		s.unkept[content] = true
		s.mu.Unlock()
	}
	return err == nil
}
