package guard

import (
	"time"

	"ringstream.example/ringstream/internal/core/grant"
	"ringstream.example/ringstream/internal/core/quarantine"
)

// suspects returns the digests under which the end of the run's engine is recorded.
func (r Run) suspects() []quarantine.Digest {
	switch {
	case r.Item:
		return []quarantine.Digest{r.Identity.Content.Item()}
	case r.Wrote >= quarantine.HarmlessAfter:
		return []quarantine.Digest{r.Identity.Content}
	default:
		return r.Identity.Digests()
	}
}

// harmlessParts returns the parts of a run's prompt that the run has shown not to crash engines. The caller
// holds mu.
func (s *Service) harmlessParts(run Run, now time.Time) []quarantine.Digest {
	switch {
	case run.Wrote < quarantine.HarmlessAfter:
		return nil
	case run.Item:
		return s.unblocked(run.Identity.Parts, now)
	default:
		return run.Identity.Parts
	}
}

// unblocked returns the contents and parts that are not blocked. The caller holds mu.
func (s *Service) unblocked(digests []quarantine.Digest, now time.Time) []quarantine.Digest {
	var unblocked []quarantine.Digest
	for _, digest := range digests {
		if !s.ledger.Verdict(digest, now).Blocked {
			unblocked = append(unblocked, digest)
		}
	}
	return unblocked
}

// ItemState is what the crashes and the operators' orders known here mean for an item of a job.
type ItemState struct {
	// Order is the operators' verdict on the item. On is the content or part that they have blocked.
	Order quarantine.Verdict
	On    quarantine.Digest
	// Crashes is the number of engines that ended under the item since it was last complete.
	Crashes int
	// NotBefore is the earliest time of the next run; zero if no engine has ended under the item.
	NotBefore time.Time
	Suspect   grant.Suspect
}

// Item returns the state of an item. Crashes under requests do not count, nor do those of the parts of its
// prompt.
func (s *Service) Item(identity quarantine.Identity) ItemState {
	if !s.hasRecords.Load() {
		return ItemState{}
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	state := ItemState{}
	state.Order, state.On = s.ledger.OrderVerdict(identity, now)
	crashes, last := s.ledger.ItemCrashes(identity.Content)
	if crashes == 0 {
		return state
	}
	state.Crashes, state.NotBefore = crashes, last.Add(quarantine.ItemPause(crashes))
	state.Suspect = grant.Suspect{Content: identity.Content.Item().Hash(), Crashes: crashes}
	return state
}

// RecordItemSuccess records that a run of an item completed. It does not end the block of a request with
// the same content or of a part of its prompt: blocked requests do not run, but items do.
func (s *Service) RecordItemSuccess(item string, identity quarantine.Identity) {
	if len(identity.Parts) == 0 && !s.hasRecords.Load() {
		return
	}
	s.mu.Lock()
	complete := append(s.unblocked(identity.Digests(), time.Now()), identity.Content.Item())
	s.mu.Unlock()
	s.recordComplete(item, complete)
}
