package idempotency

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/oklog/ulid/v2"

	"ringstream.example/ringstream/internal/backend"
	core "ringstream.example/ringstream/internal/core/idempotency"
	"ringstream.example/ringstream/internal/store"
)

// UncertainError is returned for a write with an unknown outcome: a response was
// lost, and the write may have taken effect or may still do so.
type UncertainError struct {
	Cause error

	name        string
	transaction string
	before      core.Record // the record that the write replaces; zero if there is none
}

// Error implements error.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("idempotency record perhaps written: %v", e.Cause)
}

// Unwrap returns the last error of the store.
func (e *UncertainError) Unwrap() error { return e.Cause }

// Withdraw undoes the claim of a call of Claim that failed with an UncertainError, if the
// claim took effect. Nothing ran under it, and others would wait until it expires.
// A claim that takes effect after Withdraw has read the record stays until then.
func (s *Store) Withdraw(ctx context.Context, claim *UncertainError) error {
	stored, err := s.client.Get(ctx, claim.name)
	if err != nil {
		return err
	}
	if stored.TransactionID != claim.transaction {
		return nil // the claim had no effect or was taken over
	}
	undo := backend.Write{Key: claim.name, Delete: claim.before.Phase == 0}
	if !undo.Delete {
		if undo.Value, err = json.Marshal(claim.before); err != nil {
			return err
		}
	}
	result := s.client.Commit(ctx, backend.Transaction{
		ID:       ulid.Make().String(),
		Compares: []backend.Compare{{Key: claim.name, Version: stored.Version}},
		Writes:   []backend.Write{undo},
	})
	if result.Status == store.Applied || result.Status == store.Conflict {
		return nil
	}
	return errors.Join(errNotWithdrawn, result.Cause)
}

var errNotWithdrawn = errors.New("idempotency claim not withdrawn")
