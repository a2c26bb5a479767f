// Package grant holds the messages about slots in the form in which earlier builds
// send and read them. A datagram begins with a digest of its types, so that a build reads
// only the forms that it knows (package sharing). Nodes of this build use this form with
// nodes that have not yet sent a message of the current one.
//
// The names, the order and the types of the fields are part of the form, and so is the name
// of the package, because gob describes a list by it. Fields that only
// the current form has are lost: they are zero in a message that was read.
package grant

import (
	"time"

	"ringstream.example/ringstream/internal/core/enginechoice"
	current "ringstream.example/ringstream/internal/core/grant"
	"ringstream.example/ringstream/internal/core/quarantine"
	"ringstream.example/ringstream/internal/core/quota"
)

// message is the content of one datagram. Exactly one of the last four fields is set; Lane
// belongs to State and Reply.
type message struct {
	Lane       current.Lane
	State      *State
	Reply      *Reply
	Crashes    []quarantine.Crash
	AskCrashes bool
}

// Message is the content of one datagram. The type is an alias because the name of the
// type itself is part of the form.
type Message = message

// State is the released form of the current State.
type State struct {
	Life      uint64
	Sequence  uint64
	Zone      string
	Held      []current.Held
	Waiting   []Ask
	Ended     []current.Ended
	Loads     []Load
	Firsts    []FirstToken
	Connected []uint64
	Attached  bool
}

// Ask is the released form of the current Ask.
type Ask struct {
	ID                        uint64
	Batch                     bool
	Late                      bool
	Queued                    bool
	Place                     bool
	TenantRank, Rank          int
	Tenant                    uint64
	AdmitOnly                 bool
	DueIn                     time.Duration
	Shared                    []enginechoice.Part
	OwnTokens                 int
	MemoryTokens              int
	Former                    uint64
	Exclude                   []uint64
	Suspect                   current.Suspect
	BatchPercent, RoomPercent int
}

// FirstToken is the released form of the current FirstToken.
type FirstToken struct {
	PromptTokens int
	Elapsed      time.Duration
}

// Load is the released form of the current Load.
type Load struct {
	Engine           uint64
	Running, Waiting int
}

// Reply is the released form of the current Reply.
type Reply struct {
	Life     uint64
	Sequence uint64
	Grants   []Grant
	Refused  []Refusal
	Stops    []uint64
	Queued   int
}

// Grant is the released form of the current Grant.
type Grant struct {
	ID            uint64
	Engine        uint64
	PrefillTokens int
	InFlight      int
	Score         float64
	Preempts      bool
	Waited        time.Duration
}

// Refusal is the released form of the current Refusal.
type Refusal struct {
	ID      uint64
	Verdict quota.Verdict
}

// FromState returns the released form of a State.
func FromState(state current.State) *State {
	return &State{
		Life: state.Life, Sequence: state.Sequence, Zone: state.Zone, Held: state.Held,
		Waiting: convert(state.Waiting, fromAsk), Ended: state.Ended, Loads: convert(state.Loads, fromLoad), Firsts: convert(state.Firsts, fromFirstToken),
		Connected: state.Connected, Attached: state.Attached,
	}
}

// Current returns the State that the released form stands for.
func (s *State) Current() current.State {
	return current.State{
		Life: s.Life, Sequence: s.Sequence, Zone: s.Zone, Held: s.Held,
		Waiting: convert(s.Waiting, Ask.toCurrent), Ended: s.Ended, Loads: convert(s.Loads, Load.toCurrent), Firsts: convert(s.Firsts, FirstToken.toCurrent),
		Connected: s.Connected, Attached: s.Attached,
	}
}

// FromReply returns the released form of a Reply. Earlier builds know only refusals by a
// tenant's limit; the others are left out.
func FromReply(reply current.Reply) *Reply {
	released := &Reply{Life: reply.Life, Sequence: reply.Sequence, Grants: convert(reply.Grants, fromGrant), Stops: reply.Stops, Queued: reply.Queued}
	for _, refusal := range reply.Refused {
		if refusal.Reason == current.RefusedByLimit {
			released.Refused = append(released.Refused, Refusal{ID: refusal.ID, Verdict: refusal.Verdict})
		}
	}
	return released
}

// Current returns the Reply that the released form stands for.
func (r *Reply) Current() current.Reply {
	return current.Reply{
		Life: r.Life, Sequence: r.Sequence, Grants: convert(r.Grants, Grant.toCurrent), Refused: convert(r.Refused, Refusal.toCurrent),
		Stops: r.Stops, Queued: r.Queued,
	}
}

func fromAsk(ask current.Ask) Ask {
	return Ask{
		ID: ask.ID, Batch: ask.Batch, Late: ask.Late, Queued: ask.Queued, Place: ask.Place, TenantRank: ask.TenantRank, Rank: ask.Rank,
		Tenant: ask.Tenant, AdmitOnly: ask.AdmitOnly, DueIn: ask.DueIn, Shared: ask.Shared, OwnTokens: ask.OwnTokens, MemoryTokens: ask.MemoryTokens,
		Former: ask.Former, Exclude: ask.Exclude, Suspect: ask.Suspect, BatchPercent: ask.BatchPercent, RoomPercent: ask.RoomPercent,
	}
}

func (a Ask) toCurrent() current.Ask {
	return current.Ask{
		ID: a.ID, Batch: a.Batch, Late: a.Late, Queued: a.Queued, Place: a.Place, TenantRank: a.TenantRank, Rank: a.Rank,
		Tenant: a.Tenant, AdmitOnly: a.AdmitOnly, DueIn: a.DueIn, Shared: a.Shared, OwnTokens: a.OwnTokens, MemoryTokens: a.MemoryTokens,
		Former: a.Former, Exclude: a.Exclude, Suspect: a.Suspect, BatchPercent: a.BatchPercent, RoomPercent: a.RoomPercent,
	}
}

func fromLoad(load current.Load) Load {
	return Load{Engine: load.Engine, Running: load.Running, Waiting: load.Waiting}
}

func (l Load) toCurrent() current.Load {
	return current.Load{Engine: l.Engine, Running: l.Running, Waiting: l.Waiting}
}

func fromFirstToken(first current.FirstToken) FirstToken {
	return FirstToken{PromptTokens: first.PromptTokens, Elapsed: first.Elapsed}
}

func (f FirstToken) toCurrent() current.FirstToken {
	return current.FirstToken{PromptTokens: f.PromptTokens, Elapsed: f.Elapsed}
}

func fromGrant(granted current.Grant) Grant {
	return Grant{
		ID: granted.ID, Engine: granted.Engine, PrefillTokens: granted.PrefillTokens, InFlight: granted.InFlight,
		Score: granted.Score, Preempts: granted.Preempts, Waited: granted.Waited,
	}
}

func (g Grant) toCurrent() current.Grant {
	return current.Grant{
		ID: g.ID, Engine: g.Engine, PrefillTokens: g.PrefillTokens, InFlight: g.InFlight,
		Score: g.Score, Preempts: g.Preempts, Waited: g.Waited,
	}
}

func (r Refusal) toCurrent() current.Refusal { return current.Refusal{ID: r.ID, Verdict: r.Verdict} }

// convert returns the converted elements of a list. An empty list gives nil, as gob does.
func convert[From, To any](list []From, convertOne func(From) To) []To {
	var converted []To
	for _, element := range list {
		converted = append(converted, convertOne(element))
	}
	return converted
}
