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

var errNoAnswer = errors.New("replicas: the holder does not answer or no longer holds the slot")

// source is a node whose copies are followed or may be followed. Service.mu guards clock and
// completeAsOf once the service follows the source.
type source struct {
	address      string
	clock        storeclock.Clock
	completeAsOf map[string]time.Duration // by table: as of when the source's copy is known to be complete
	// suspensions is this node's suspension count when it began to query the source.
	suspensions uint64
}

func (s *Service) newSource(address string) *source {
	return &source{address: address, completeAsOf: make(map[string]time.Duration), suspensions: s.watch.Count()}
}

// name returns the source's address, or an empty string for the store, which is represented by a
// nil source.
func (from *source) name() string {
	if from == nil {
		return ""
	}
	return from.address
}

// discardStaleClock discards the estimate of a source's clock if this node was suspended during
// the search for the source. Only the clock of the followed source is corrected after a
// suspension. The caller must not hold mu, because a suspension that watch.Count detects makes
// the service correct its state under mu.
func (s *Service) discardStaleClock(from *source) {
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

// currentSource returns the followed source if it has the given address, and nil otherwise.
func (s *Service) currentSource(address string) *source {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.source.name() != address {
		return nil
	}
	return s.source
}

// leaveSource stops following a source.
func (s *Service) leaveSource(from *source, reason error) {
	s.mu.Lock()
	wasCurrent := s.source == from
	if wasCurrent {
		s.source = nil
		if s.mode == following {
			s.mode = alone
		}
	}
	s.mu.Unlock()
	if !wasCurrent {
		return
	}
	s.Peers.CloseIdleConnections(from.address)
	events.ReplicaLeft.Log(s.Logger, zap.String("holder", from.address), zap.Error(reason))
	select {
	case s.sourceLost <- struct{}{}:
	default:
	}
}

// findLowerHolder returns the holder of the lowest slot below this node's slot that can be
// followed, or nil if there is none and the store is to be read. When each holder read the store,
// a zone read each row eight times.
func (s *Service) findLowerHolder(ctx context.Context, rows []slotRow) *source {
	for _, row := range rows {
		if row.slot >= s.slot {
			return nil
		}
		if from := s.waitForHolder(ctx, row.holder.Address); from != nil {
			return from
		}
	}
	return nil
}

// waitForHolder returns a holder as a source if it can be followed, and nil otherwise. It waits
// for a holder that is still listing the tables.
func (s *Service) waitForHolder(ctx context.Context, holder string) *source {
	if holder == "" || holder == s.Address {
		return nil
	}
	from := s.currentSource(holder)
	if from == nil {
		from = s.newSource(holder)
	}
	silent, patience := 0, s.config.SearchTimeout
	for began := time.Now(); ctx.Err() == nil && time.Since(began) < patience; {
		switch s.queryHolder(ctx, from) {
		case canFollow:
			return from
		case noHolder:
			return nil
		case noAnswer:
			if silent++; silent > maxSilentRetries {
				return nil
			}
		case staleCopy:
			if s.currentSource(holder) == from {
				return from
			}
		case notListed:
			patience = s.config.ListTimeout
			s.signalHolderListing()
		}
		wait.For(ctx, s.config.PollInterval)
	}
	return nil
}

// signalHolderListing records that a holder is listing its tables.
func (s *Service) signalHolderListing() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.holderListingClosed {
		s.holderListingClosed = true
		close(s.holderListing)
	}
}

// maxSilentRetries is how often a holder that does not answer is queried again. A holder that has
// just taken its slot may not accept calls yet.
const maxSilentRetries = 2

// holderStatus is the result of a query whether a node can be followed.
type holderStatus uint8

const (
	noAnswer holderStatus = iota
	noHolder
	notListed
	staleCopy // a copy is too old to be followed
	canFollow
)

// queryHolder asks a node whether all its copies can be followed. The node answers at once, which
// shows its clock.
func (s *Service) queryHolder(ctx context.Context, from *source) holderStatus {
	for table := range s.copies {
		sent, suspensions := time.Now(), s.watch.Count()
		answer, _, err := s.Peers.Follow(ctx, from.address, sharing.FollowCall{Table: table, Since: versionBeyondAll})
		switch {
		case err != nil:
			return noAnswer
		case answer.Refusal == sharing.NotListed:
			return notListed
		case answer.Refusal == sharing.TooStale && s.hasFreshCopy(table):
			return noHolder
		case answer.Refusal == sharing.TooStale:
			return staleCopy
		case answer.Refusal != sharing.NotRefused:
			return noHolder
		}
		if s.watch.Count() == suspensions {
			s.mu.Lock()
			from.clock.Observe(sent, answer.At)
			s.mu.Unlock()
		}
	}
	return canFollow
}

// hasFreshCopy reports whether this node's own copy of a table is fresh. If it is and the
// source's copy is not, the source is cut off or slow and is to be left. If the store sends
// changes to no node, leaving the source does not help: 980 nodes once left their sources at the
// same moment, found their history gone at the store, and listed tables 166 times.
func (s *Service) hasFreshCopy(table string) bool {
	return time.Since(s.copies[table].AsOf()) <= s.config.MaxCopyAge
}

// versionBeyondAll is a version after which nothing has changed.
const versionBeyondAll = int64(1) << 62
