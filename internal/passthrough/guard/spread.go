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

// Intervals and bounds of sending. If one datagram in four to a node is lost, the three
// sendAttempts deliver a crash with a probability of 63/64. What is still missing arrives with
// the crashes of the contents with the most crashes.
const (
	// gatherDelay is how long crashes are gathered before they are sent. All requests of an
	// engine break within some milliseconds.
	gatherDelay = 5 * time.Millisecond
	// resendInterval and sendAttempts set how often a crash is sent to all nodes.
	resendInterval = 150 * time.Millisecond
	sendAttempts   = 3
	// maxCrashesPerMessage bounds the crashes of one message, about 40 bytes each.
	maxCrashesPerMessage = 200
	// frequentSendInterval is the interval at which the crashes of the contents with the most
	// crashes are sent to one node chosen at random. This takes at most 2 KB/s, and nothing while no
	// content has crashed two engines.
	frequentSendInterval = time.Second
	maxFrequentCrashes   = 50
	// frequentMaxAge is the maximum age of the newest crash of a content that is sent this way. A
	// node that has started since then reads the content from the store.
	frequentMaxAge = 2 * time.Minute
	expireInterval = 10 * time.Second
)

// A node that has just started asks some other nodes for their crashes every requestInterval,
// for requestPeriod. The nodes may have restarted while the store accepted no writes, and a node
// that did not restart still has the crashes.
const (
	requestInterval   = 200 * time.Millisecond
	requestPeriod     = 3 * time.Second
	maxRequestedPeers = 5
)

// requestCrashes asks some nodes for the crashes that this node must know.
func (s *Service) requestCrashes() {
	if s.transport == nil {
		return
	}
	peers := slices.Clone(s.Peers())
	if len(peers) == 0 {
		peers = slices.Clone(s.Seeds())
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, peer := range peers[:min(maxRequestedPeers, len(peers))] {
		s.transport.AskCrashes(peer)
	}
}

// resend is a crash that is still to be sent, for the first time or again.
type resend struct {
	crash        quarantine.Crash
	ageAsOf      time.Time // when crash.Age was correct
	nextSend     time.Time // when it is sent next
	attemptsLeft int
}

// Run sends and stores new crashes until ctx ends. Sending does not wait for the store, since a
// write may take long.
func (s *Service) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { s.runPersister(ctx) })
	s.runSender(ctx)
	group.Wait()
	return nil
}

// runSender sends new crashes to other nodes, gathered for gatherDelay after the first one, and
// does the periodic work.
func (s *Service) runSender(ctx context.Context) {
	started := time.Now()
	frequentAt, expireAt, requestAt := started.Add(frequentSendInterval), started.Add(expireInterval), started
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-s.sendSignal:
			if !wait.For(ctx, gatherDelay) {
				return
			}
		}
		now := time.Now()
		if now.Sub(started) < requestPeriod && !now.Before(requestAt) {
			s.requestCrashes()
			requestAt = now.Add(requestInterval)
		}
		s.sendDue(now)
		if now.After(frequentAt) {
			s.sendMostFrequent(now)
			frequentAt = now.Add(frequentSendInterval)
		}
		if now.After(expireAt) {
			s.expire(now)
			expireAt = now.Add(expireInterval)
		}
		next := s.nextSendTime(frequentAt)
		if now.Sub(started) < requestPeriod && requestAt.Before(next) {
			next = requestAt
		}
		timer.Reset(max(next.Sub(now), time.Millisecond))
	}
}

// nextSendTime returns when a crash is to be sent next, or the given time if that is earlier.
func (s *Service) nextSendTime(next time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, pending := range s.resends {
		if pending.nextSend.Before(next) {
			next = pending.nextSend
		}
	}
	return next
}

// sendDue sends new crashes to all nodes, and resends earlier ones that are due.
func (s *Service) sendDue(now time.Time) {
	if s.transport == nil {
		s.mu.Lock()
		s.unsent = nil
		s.mu.Unlock()
		return
	}
	s.mu.Lock()
	for _, crash := range s.unsent {
		s.resends = append(s.resends, resend{crash: crash, ageAsOf: now, nextSend: now, attemptsLeft: sendAttempts})
	}
	s.unsent = nil
	var due []quarantine.Crash
	for i := range s.resends {
		pending := &s.resends[i]
		if pending.nextSend.After(now) {
			continue
		}
		crash := pending.crash
		crash.Age += now.Sub(pending.ageAsOf)
		due = append(due, crash)
		pending.nextSend = now.Add(resendInterval)
		pending.attemptsLeft--
	}
	s.resends = slices.DeleteFunc(s.resends, func(pending resend) bool { return pending.attemptsLeft == 0 })
	s.mu.Unlock()
	if len(due) == 0 {
		return
	}
	for _, peer := range s.Peers() {
		s.sendCrashes(peer, due)
	}
}

func (s *Service) sendCrashes(peer string, crashes []quarantine.Crash) {
	for part := range slices.Chunk(crashes, maxCrashesPerMessage) {
		s.transport.SendCrashes(peer, part)
	}
}

// sendMostFrequent sends the crashes of the contents with the most crashes to one node chosen at
// random, so that all nodes learn of them eventually.
func (s *Service) sendMostFrequent(now time.Time) {
	if s.transport == nil || !s.hasRecords.Load() {
		return
	}
	s.mu.Lock()
	crashes := s.ledger.MostFrequentCrashes(maxFrequentCrashes, frequentMaxAge, now)
	s.mu.Unlock()
	peers := s.Peers()
	if len(crashes) > 0 && len(peers) > 0 {
		s.sendCrashes(peers[rand.IntN(len(peers))], crashes)
	}
}

// expire removes records that are too old.
func (s *Service) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Expire(now)
	for content := range s.ownCrashes {
		if !s.ledger.Knows(content) {
			delete(s.ownCrashes, content)
		}
	}
	for content := range s.loggedBlocked {
		if !s.ledger.Verdict(content, now).Blocked {
			delete(s.loggedBlocked, content)
		}
	}
	s.updateHasRecords()
}

// minPersistedCrashes is the number of crashes of a content from which on they are written to the
// store. Of the requests at an engine that ended, some have only this one crash, which need not
// survive a restart.
const minPersistedCrashes = 2

// minPersistedPartCrashes is the same for the parts of prompts, of which there are more.
const minPersistedPartCrashes = 3

func minPersisted(digest quarantine.Digest) int {
	if digest.IsPart() {
		return minPersistedPartCrashes
	}
	return minPersistedCrashes
}

// persistTimeout bounds one write. A failed write is retried.
const persistTimeout = 1500 * time.Millisecond

// persistRetryDelay is the delay after a failed write. The store may be down for a long time, and
// each call has a cost.
const persistRetryDelay = 500 * time.Millisecond

// runPersister writes the crashes that this node saw until ctx ends, one row per content.
func (s *Service) runPersister(ctx context.Context) {
	if s.keeper == nil {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.persistSignal:
		}
		for content, found := s.takeUnpersisted(); found && ctx.Err() == nil; content, found = s.takeUnpersisted() {
			if !s.persist(ctx, content) {
				wait.For(ctx, persistRetryDelay)
			}
		}
	}
}

// takeUnpersisted removes and returns a content whose crashes are to be written.
func (s *Service) takeUnpersisted() (quarantine.Digest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for content := range s.unpersisted {
		delete(s.unpersisted, content)
		return content, true
	}
	return quarantine.Digest{}, false
}

// persist writes the crashes of a content to the store. It returns false if the write failed.
func (s *Service) persist(ctx context.Context, content quarantine.Digest) bool {
	s.mu.Lock()
	crashes := s.ledger.Crashes(content, time.Now())
	s.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, persistTimeout)
	defer cancel()
	err := s.keeper.KeepCrashes(call, content.Key()+"/"+s.Self, crashes)
	events.CrashesKept.Log(s.Logger, zap.Stringer("content", content), zap.Int("crashes", len(crashes)), zap.Error(err))
	if err != nil {
		s.mu.Lock()
		s.unpersisted[content] = true
		s.mu.Unlock()
	}
	return err == nil
}
