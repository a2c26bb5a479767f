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

// UncertainError is a write whose answers were all lost: it may have taken
// effect, or may yet.
type UncertainError struct {
	Cause error

	name        string
	transaction string
	before      core.Record // what the write replaces; zero: nothing
}

// Error implements error.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("idempotency record perhaps written: %v", e.Cause)
}

// Unwrap gives the last error of the store.
func (e *UncertainError) Unwrap() error { return e.Cause }

// Withdraw undoes a claim of an Ask that failed with an UncertainError, when
// it took effect: nothing ran under it, and others would wait for its expiry.
// A claim that takes effect after this has looked stays until then.
func (s *Store) Withdraw(ctx context.Context, claim *UncertainError) error {
	stored, err := s.client.Get(ctx, claim.name)
	if err != nil {
		return err
	}
	if stored.TransactionID != claim.transaction {
		return nil // it had no effect, or was taken over
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
