package idempotency

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/site"
	_ "ringstream.example/ringstream/internal/seedtest" // the same values at every run
)

// event is one committed change of a key. The reference model decides from the
// whole history of events.
type event struct {
	what   string  // claim, intent, complete, release, settle, redirect
	ask    Request // of a claim
	intent Intent
}

// referenceDecide decides by the history alone.
func referenceDecide(history []event, ask Request) (action Action, first bool) {
	kept := keptPart(history, ask.Now)
	if len(kept) == 0 {
		if ask.Site == site.Other && !ask.FromOtherSite {
			return Forward, true
		}
		return Run, false
	}
	if kept[0].ask.Digest != ask.Digest {
		return RejectReused, false
	}
	at, intent, lastClaim, open := referenceState(kept)
	age := 2 * time.Second
	for range claimsInARow(kept) - 1 {
		age *= 2
	}
	ownerPresumedDead := ask.OwnerDead && !ask.Now.Before(lastClaim.Now.Add(min(age, 512*time.Second)))
	for _, step := range kept {
		switch {
		case step.what == "complete":
			return Read, false
		case step.what == "settle" && ask.FromOtherSite:
			return RejectOtherSite, false
		case step.what == "settle":
			return Pass, false
		}
	}
	if open && ask.Now.Before(lastClaim.Expiry) && !ownerPresumedDead && lastClaim.Node != ask.Node {
		return Wait, false
	}
	switch {
	case at == site.Other && ask.FromOtherSite:
		return RejectOtherSite, false
	case at == site.Other:
		return Forward, false
	case intent != Intent{}:
		return Resume, false
	}
	return Run, false
}

// keptPart returns the events of the record that is still kept. Events of records
// whose retention has ended are left out.
func keptPart(history []event, now time.Time) (kept []event) {
	var keepUntil time.Time
	for _, step := range history {
		if step.what == "claim" {
			if !step.ask.Now.Before(keepUntil) {
				kept = nil
			}
			keepUntil = step.ask.KeepUntil
		}
		kept = append(kept, step)
	}
	if !now.Before(keepUntil) {
		return nil
	}
	return kept
}

func referenceState(kept []event) (at site.Site, intent Intent, lastClaim Request, open bool) {
	at = kept[0].ask.Site
	if kept[0].ask.FromOtherSite {
		at = site.Here
	}
	for _, step := range kept {
		switch step.what {
		case "claim":
			lastClaim, open = step.ask, true
		case "redirect":
			at = site.Here
		case "intent":
			intent = step.intent
		case "release":
			intent, open = Intent{}, false
		}
	}
	return at, intent, lastClaim, open
}

// claimsInARow returns the number of claims since the last release.
func claimsInARow(kept []event) (count int) {
	for _, step := range kept {
		switch step.what {
		case "claim":
			count++
		case "release":
			count = 0
		}
	}
	return count
}

// claimHolder is a node's local state of its own claim. It may be stale.
type claimHolder struct {
	action  Action
	record  Record
	version int
	first   bool
	sent    bool // this claim has sent the request to an engine
}

type simulation struct {
	record  Record
	version int
	now     time.Time
	holders map[identity.NodeID]*claimHolder
	history []event
	// The actual effects of the key's requests since the current record was created.
	attempts        int
	unresolvedSends int // sends that may have run and were not proven otherwise
	forwarded       bool
	results         []string
}

// commit replaces the record if the version matches, like the store.
func (s *simulation) commit(version int, record Record) bool {
	if version != s.version {
		return false
	}
	s.record, s.version = record, s.version+1
	return true
}

func (s *simulation) ask(t *rapid.T) {
	node := identity.NodeID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "node"))
	ask := Request{
		Node: node, Digest: rapid.SampledFrom([]string{"d", "d", "d", "other"}).Draw(t, "digest"),
		Site: site.Site(rapid.IntRange(0, 1).Draw(t, "site")), FromOtherSite: rapid.IntRange(0, 4).Draw(t, "hopped") == 0,
		OwnerDead: rapid.IntRange(0, 5).Draw(t, "dead") == 0, Now: s.now,
		Expiry: s.now.Add(10 * time.Second), KeepUntil: s.now.Add(100 * time.Second),
	}
	if s.holders[node] != nil {
		return // a node that runs the key itself does not ask
	}
	decision := Decide(s.record, ask)
	action, first := referenceDecide(s.history, ask)
	if decision.Action != action || decision.First != first {
		t.Fatalf("decided %d (first %v), reference model %d (first %v), for %+v with record %+v", decision.Action, decision.First, action, first, ask, s.record)
	}
	switch decision.Action {
	case Run, Resume, Forward:
	case Read:
		if len(s.results) != 1 || string(decision.Record.Result) != s.results[0] {
			t.Fatalf("read result %q, but the results are %q", decision.Record.Result, s.results)
		}
		return
	default:
		return
	}
	if !s.record.Kept(s.now) {
		s.attempts, s.unresolvedSends, s.results, s.forwarded = 0, 0, nil, false
	}
	if !s.commit(s.version, decision.Record) {
		t.Fatal("a commit against the current version failed")
	}
	s.history = append(s.history, event{what: "claim", ask: ask})
	if rapid.IntRange(0, 5).Draw(t, "answer lost") != 0 {
		s.holders[node] = &claimHolder{action: decision.Action, record: decision.Record, version: s.version, first: decision.First}
	}
}

// step lets one holder execute its next step, which may be arbitrarily late.
func (s *simulation) step(t *rapid.T) {
	if len(s.holders) == 0 {
		return
	}
	for _, node := range []identity.NodeID{"a", "b", "c"} {
		held := s.holders[node]
		if held == nil || rapid.Bool().Draw(t, "skip") {
			continue
		}
		if held.action == Forward {
			s.stepForward(t, node, held)
			return
		}
		s.stepRun(t, node, held)
		return
	}
}

func (s *simulation) stepForward(t *rapid.T, node identity.NodeID, held *claimHolder) {
	delete(s.holders, node)
	if rapid.Bool().Draw(t, "arrived") {
		s.forwarded = true
		if s.commit(held.version, held.record.Settle()) {
			s.history = append(s.history, event{what: "settle"})
		}
		return
	}
	if held.first && s.commit(held.version, held.record.Redirect()) {
		s.history = append(s.history, event{what: "redirect"})
		s.holders[node] = &claimHolder{action: Run, record: held.record.Redirect(), version: s.version}
	}
}

// stepRun executes the next step of a request that may run only once: commit the
// intent and send, then end the run.
func (s *simulation) stepRun(t *rapid.T, node identity.NodeID, held *claimHolder) {
	if held.action == Run && !held.sent {
		s.attempts++
		intent := Intent{Attempt: identity.AttemptID(fmt.Sprint(node, s.attempts)), Engine: "e"}
		if !s.commit(held.version, held.record.RecordIntent(intent)) {
			delete(s.holders, node)
			return
		}
		s.history = append(s.history, event{what: "intent", intent: intent})
		if s.forwarded {
			t.Fatal("sent on this site after a forward had arrived at the other site")
		}
		held.record, held.version, held.sent = held.record.RecordIntent(intent), s.version, true
		s.unresolvedSends++
		if s.unresolvedSends > 1 {
			t.Fatal("a request that may run only once was sent twice")
		}
		return
	}
	delete(s.holders, node)
	if held.sent && rapid.IntRange(0, 3).Draw(t, "refused") == 0 {
		if s.commit(held.version, held.record.Release()) { // the engine proved that the request did not run
			s.unresolvedSends--
			s.history = append(s.history, event{what: "release"})
		}
		return
	}
	result := fmt.Sprint(node, held.record.Epoch)
	if s.commit(held.version, held.record.Complete([]byte(result), "")) {
		s.results = append(s.results, result)
		s.history = append(s.history, event{what: "complete"})
		if len(s.results) > 1 {
			t.Fatalf("two results: %q", s.results)
		}
	}
}

func TestDecisionsAgreeWithTheNaiveTwinAndRunOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{now: time.Unix(1000, 0), holders: map[identity.NodeID]*claimHolder{}}
		t.Repeat(map[string]func(*rapid.T){
			"ask":  s.ask,
			"step": s.step,
			"wait": func(t *rapid.T) {
				s.now = s.now.Add(time.Duration(rapid.SampledFrom([]int{1, 4, 10, 120}).Draw(t, "seconds")) * time.Second)
				if !s.record.Kept(s.now) {
					clear(s.holders) // Config.Validate ensures that no run outlasts the retention
				}
			},
			"crash": func(t *rapid.T) {
				delete(s.holders, identity.NodeID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "node")))
			},
		})
	})
}
