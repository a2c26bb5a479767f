package replicas

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/storeclock"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/peer/sharing"
	"ringstream.example/ringstream/internal/wait"
)

var errNoAnswer = errors.New("replicas: the holder does not answer, or is none any more")

// source is a node whose copies are followed, or may be. Service.mu guards clock and after once
// the service follows it.
type source struct {
	address string
	clock   storeclock.Clock
	after   map[string]time.Duration // by table: as of when its copy is known to be complete
	// suspensions is how many this node had gone through when it began to ask the source.
	suspensions uint64
}

func (s *Service) newSource(address string) *source {
	return &source{address: address, after: make(map[string]time.Duration), suspensions: s.watch.Count()}
}

// name gives the address; that of the store, which is no source, is empty.
func (from *source) name() string {
	if from == nil {
		return ""
	}
	return from.address
}

// trust forgets what is known of a source's clock when a suspension fell into the search for it, for
// which only the clock of the source that is followed is corrected. The caller does not hold mu:
// whoever asks for suspensions has this service's beliefs corrected.
func (s *Service) trust(from *source) {
	if from == nil {
		return
	}
	suspensions := s.watch.Count()
	s.mu.Lock()
	defer s.mu.Unlock()
	if from.suspensions != suspensions {
		from.suspensions = suspensions
		from.clock.Forget()
	}
}

// current gives the source that is followed where it has an address; else nil.
func (s *Service) current(address string) *source {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.source.name() != address {
		return nil
	}
	return s.source
}

// leave stops following a source.
func (s *Service) leave(from *source, why error) {
	s.mu.Lock()
	left := s.source == from
	if left {
		s.source = nil
		if s.mode == following {
			s.mode = alone
		}
	}
	s.mu.Unlock()
	if !left {
		return
	}
	s.Peers.Forget(from.address)
	events.ReplicaLeft.Log(s.Logger, zap.String("holder", from.address), zap.Error(why))
	select {
	case s.lost <- struct{}{}:
	default:
	}
}

// lower gives the holder of the lowest slot below the own that can be followed; nil: none can, and
// the store is to be read. Where each holder read the store, a zone read each row eight times.
func (s *Service) lower(ctx context.Context, rows []slotRow) *source {
	for _, row := range rows {
		if row.slot >= s.slot {
			return nil
		}
		if from := s.awaitHolder(ctx, row.holder.Address); from != nil {
			return from
		}
	}
	return nil
}

// awaitHolder gives a holder as a source if it can be followed; one that is still listing the tables
// is waited for.
func (s *Service) awaitHolder(ctx context.Context, holder string) *source {
	if holder == "" || holder == s.Address {
		return nil
	}
	from := s.current(holder)
	if from == nil {
		from = s.newSource(holder)
	}
	silent, patience := 0, s.config.SearchFor
	for began := time.Now(); ctx.Err() == nil && time.Since(began) < patience; {
		switch s.ask(ctx, from) {
		case canFollow:
			return from
		case noHolder:
			return nil
		case noAnswer:
			if silent++; silent > silentTries {
				return nil
			}
		case tooOld:
			if s.current(holder) == from {
				return from
			}
		case notListed:
			patience = s.config.ListFor
			s.hearListing()
		}
		wait.For(ctx, s.config.AskEvery)
	}
	return nil
}

// hearListing takes note that a holder is listing its tables.
func (s *Service) hearListing() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.heard {
		s.heard = true
		close(s.listing)
	}
}

// silentTries is how often a holder that does not answer is asked again: one that has just taken
// its slot may not hear others yet.
const silentTries = 2

// word is what a node said when it was asked whether it can be followed.
type word uint8

const (
	noAnswer word = iota
	noHolder
	notListed
	tooOld // a copy is
	canFollow
)

// ask asks a node whether all its copies can be followed. The quick answers show its clock.
func (s *Service) ask(ctx context.Context, from *source) word {
	for table := range s.copies {
		sent, suspensions := time.Now(), s.watch.Count()
		answered, _, err := s.Peers.Follow(ctx, from.address, sharing.FollowCall{Table: table, Since: everything})
		switch {
		case err != nil:
			return noAnswer
		case answered.Refusal == sharing.NotYet:
			return notListed
		case answered.Refusal == sharing.TooOld && s.knowsBetter(table):
			return noHolder
		case answered.Refusal == sharing.TooOld:
			return tooOld
		case answered.Refusal != sharing.NotRefused:
			return noHolder
		}
		if s.watch.Count() == suspensions {
			s.mu.Lock()
			from.clock.Observe(sent, answered.At)
			s.mu.Unlock()
		}
	}
	return canFollow
}

// knowsBetter says whether this node's own copy of a table is fresh, by what the store tells it. A
// source whose copy is not is to be left: it is cut off, or slow. Where the store tells
// nobody of changes, leaving it helps nobody: 980 nodes did so at one moment, found their
// history gone at the store, and listed tables 166 times.
func (s *Service) knowsBetter(table string) bool {
	return time.Since(s.copies[table].AsOf()) <= s.config.FreshFor
}

// everything is a version after which nothing has changed.
const everything = int64(1) << 62
