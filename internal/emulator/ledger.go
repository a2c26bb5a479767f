package emulator

import (
	"time"

	"ringstream.example/ringstream/internal/backend"
)

// The values of LedgerEntry.End. The first two are also finish reasons.
const (
	endLength    = "length"
	endCancelled = "cancelled"
	endCrashed   = "crashed"
)

// LedgerEntry is the record of one attempt that was offered to an engine, for checkers.
type LedgerEntry struct {
	Engine     string           `json:"engine"`
	Attempt    string           `json:"attempt"`
	Model      string           `json:"model"`
	PromptHash uint64           `json:"prompt_hash"` // PromptHash(model, prompt)
	Priority   backend.Priority `json:"priority"`
	Kept       int              `json:"kept"` // output tokens that were sent with the request
	MaxTokens  int              `json:"max_tokens"`
	// From is the remote address of the request, without its port.
	From string `json:"from,omitempty"`
	// OfferedAt is the arrival time of the request. It is also set for refused requests.
	OfferedAt time.Time `json:"offered_at"`
	// Refused is the code of the refusal; empty when the engine accepted the attempt.
	Refused string `json:"refused,omitempty"`
	// BatchRunning and Queued are the numbers of running sequences of batch
	// priority and of waiting sequences when the engine refused the attempt.
	BatchRunning int `json:"batch_running,omitempty"`
	Queued       int `json:"queued,omitempty"`
	// LeavingFor is how long the engine had been leaving when it refused the attempt.
	LeavingFor time.Duration `json:"leaving_for,omitempty"`
	// Repeats counts later requests for the same attempt, which joined it.
	Repeats      int       `json:"repeats,omitempty"`
	StartedAt    time.Time `json:"started_at,omitzero"` // first entered the running batch
	FirstTokenAt time.Time `json:"first_token_at,omitzero"`
	EndedAt      time.Time `json:"ended_at,omitzero"` // zero while the attempt is queued or running
	CancelledAt  time.Time `json:"cancelled_at,omitzero"`
	// End is "length", "cancelled" or "crashed"; empty while the attempt is queued or running.
	End         string `json:"end,omitempty"`
	Tokens      int    `json:"tokens"` // generated here, without the kept tokens
	Preemptions int    `json:"preemptions,omitempty"`
}

// Ran reports whether the attempt entered the running batch.
func (e LedgerEntry) Ran() bool { return !e.StartedAt.IsZero() }

// ledger keeps the newest entries.
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

// Usage holds an engine's totals since it was created.
type Usage struct {
	Steps       int     `json:"steps"`
	BusySeconds float64 `json:"busy_seconds"`
	// Sequence seconds are the time in the running batch, summed over sequences.
	OnlineSequenceSeconds float64 `json:"online_sequence_seconds"`
	BatchSequenceSeconds  float64 `json:"batch_sequence_seconds"`
	OnlineTokens          int     `json:"online_tokens"`
	BatchTokens           int     `json:"batch_tokens"`
}
