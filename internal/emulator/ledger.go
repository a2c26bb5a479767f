package emulator

import (
	"time"

	"ringstream.example/ringstream/internal/backend"
)

// The ends of an attempt in a ledger. The first two are also finish reasons.
const (
	endLength    = "length"
	endCancelled = "cancelled"
	endCrashed   = "crashed"
)

// LedgerEntry is one attempt that was offered to an engine, for checkers.
type LedgerEntry struct {
	Engine     string           `json:"engine"`
	Attempt    string           `json:"attempt"`
	Model      string           `json:"model"`
	PromptHash uint64           `json:"prompt_hash"` // PromptHash(model, prompt)
	Priority   backend.Priority `json:"priority"`
	Kept       int              `json:"kept"` // tokens that came with the request
	MaxTokens  int              `json:"max_tokens"`
	// From is the address that the request came from, without its port.
	From string `json:"from,omitempty"`
	// OfferedAt is when the request came; it is set also for refused ones.
	OfferedAt time.Time `json:"offered_at"`
	// Refused is the code of the refusal; empty when the engine took it.
	Refused string `json:"refused,omitempty"`
	// BatchRunning and Queued are what the engine held when it refused:
	// batch sequences in the running batch, and sequences waiting.
	BatchRunning int `json:"batch_running,omitempty"`
	Queued       int `json:"queued,omitempty"`
	// LeavingFor is how long the engine had been leaving when it refused.
	LeavingFor time.Duration `json:"leaving_for,omitempty"`
	// Repeats counts later requests with the same attempt, which joined it.
	Repeats      int       `json:"repeats,omitempty"`
	StartedAt    time.Time `json:"started_at,omitzero"` // entered the batch
	FirstTokenAt time.Time `json:"first_token_at,omitzero"`
	EndedAt      time.Time `json:"ended_at,omitzero"` // zero: it still holds a place
	CancelledAt  time.Time `json:"cancelled_at,omitzero"`
	// End is "length", "cancelled" or "crashed"; empty while it holds a place.
	End         string `json:"end,omitempty"`
	Tokens      int    `json:"tokens"` // made here, kept ones excluded
	Preemptions int    `json:"preemptions,omitempty"`
}

// Ran says that the engine made at least one step for the attempt.
func (e LedgerEntry) Ran() bool { return !e.StartedAt.IsZero() }

// ledger remembers the newest entries.
type ledger struct {
	engine  string
	limit   int
	entries []*LedgerEntry
	dropped int
}

func (l *ledger) add(entry *LedgerEntry) {
	if len(l.entries) >= l.limit {
		half := l.limit / 2
		l.dropped += len(l.entries) - half
		l.entries = append(l.entries[:0], l.entries[len(l.entries)-half:]...)
	}
	entry.Engine = l.engine
	l.entries = append(l.entries, entry)
}

func (l *ledger) copy() []LedgerEntry {
	entries := make([]LedgerEntry, len(l.entries))
	for i, entry := range l.entries {
		entries[i] = *entry
	}
	return entries
}

// Usage is what an engine did since it was made.
type Usage struct {
	Steps       int     `json:"steps"`
	BusySeconds float64 `json:"busy_seconds"`
	// Sequence seconds: time in the batch, summed over sequences.
	OnlineSequenceSeconds float64 `json:"online_sequence_seconds"`
	BatchSequenceSeconds  float64 `json:"batch_sequence_seconds"`
	OnlineTokens          int     `json:"online_tokens"`
	BatchTokens           int     `json:"batch_tokens"`
}
