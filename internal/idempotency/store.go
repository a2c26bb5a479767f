// Package idempotency keeps the records of idempotency keys in the platform's
// table service, and large results in its object store. It applies the decisions
// of core/idempotency and never runs a request.
//
// A key costs two transactions: its claim and its result. A claim is not renewed,
// because its expiry is later than the request's deadline. The claim of a dead
// owner is taken over once membership reports the owner dead.
package idempotency

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/oklog/ulid/v2"
	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/configcheck"
	core "ringstream.example/ringstream/internal/core/idempotency"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/membership"
	"ringstream.example/ringstream/internal/core/site"
	"ringstream.example/ringstream/internal/store"
)

// Config holds the settings for the retention and the storage of keys.
type Config struct {
	Retention     time.Duration `koanf:"retention" usage:"how long a key gives the same answer, from its last claim"`
	InlineLimit   int           `koanf:"inline_limit" unit:"bytes" usage:"largest result kept in the table; larger ones go to the object store"`
	SweepInterval time.Duration `koanf:"sweep_interval" usage:"pause between two pages of the search for expired keys"`
}

// DefaultConfig returns settings that retain keys for a day.
func DefaultConfig() Config {
	return Config{Retention: 24 * time.Hour, InlineLimit: 8 << 10, SweepInterval: 30 * time.Second}
}

// Validate checks the settings. Its errors name the invalid keys.
func (c Config) Validate() error {
	return errors.Join(
		configcheck.AtLeast("retention", c.Retention, minRetention),
		configcheck.AtLeast("inline_limit", c.InlineLimit, 0),
		configcheck.Positive("sweep_interval", c.SweepInterval),
	)
}

// minRetention exceeds the duration of any run, so that no run outlives its record.
const minRetention = time.Hour

// Members is the part of peer.Bus that the store uses.
type Members interface {
	Self() identity.NodeID
	View() membership.View
}

// Store keeps the records of all keys. It is safe for concurrent use.
type Store struct {
	config  Config
	client  *store.Client
	objects backend.Objects
	members Members
	logger  *zap.Logger
}

// New creates a store. Run must be called to delete expired keys.
func New(config Config, client *store.Client, objects backend.Objects, members Members, logger *zap.Logger) *Store {
	return &Store{config: config, client: client, objects: objects, members: members, logger: logger}
}

// Key is an idempotency key in the namespace of its tenant.
type Key struct {
	Tenant identity.TenantID
	Key    string
}

const recordPrefix = "idempotency/"

// recordName returns the name of the key's record. The first two hex digits after
// recordPrefix are its sweep shard.
func (k Key) recordName() string {
	digest := sha256.Sum256([]byte(string(k.Tenant) + "\x00" + k.Key))
	return recordPrefix + hex.EncodeToString(digest[:])
}

// Request is one request with a key.
type Request struct {
	Key    Key
	Digest string
	// Site is the site that the row's share selects for a new key.
	Site   site.Site
	Hopped bool
	// Expiry is the time from which a claim made now may be taken over.
	Expiry time.Time
}

// Decision is the next action for a request.
type Decision struct {
	Action core.Action
	Result []byte      // for Read
	Intent core.Intent // for Resume
	First  bool        // for Forward
	Claim  *Claim      // for Run, Resume and Forward
}

// ErrUnreadable is returned for a stored record that this version cannot decode.
var ErrUnreadable = errors.New("unreadable idempotency record")

// maxClaimConflicts bounds the claim attempts of one call of Claim. After that many
// conflicts, Claim returns the Wait action.
const maxClaimConflicts = 8

// Claim decides the next action for a request and commits the claim that the
// decision needs. After an error, nothing may run on behalf of the request.
func (s *Store) Claim(ctx context.Context, ask Request) (Decision, error) {
	name := ask.Key.recordName()
	stored := storedRecord{} // most keys are new, so the first claim is attempted without a read
	for range maxClaimConflicts {
		decided := core.Decide(stored.record, s.coreRequest(ask, stored.record.Owner))
		switch decided.Action {
		case core.Run, core.Resume, core.Forward:
		case core.Read:
			result, err := s.loadResult(ctx, stored.record)
			return Decision{Action: core.Read, Result: result}, err
		default:
			return Decision{Action: decided.Action}, nil
		}
		next, err := s.commit(ctx, name, stored.version, decided.Record)
		var conflicted *conflictError
		switch {
		case err == nil:
			claim := &Claim{store: s, name: name, record: decided.Record, version: next}
			return Decision{Action: decided.Action, Intent: decided.Record.Intent, First: decided.First, Claim: claim}, nil
		case errors.As(err, &conflicted):
			stored = conflicted.stored
		default:
			var uncertain *UncertainError
			if errors.As(err, &uncertain) {
				uncertain.before = stored.record
			}
			return Decision{}, err
		}
	}
	return Decision{Action: core.Wait}, nil
}

func (s *Store) coreRequest(ask Request, owner identity.NodeID) core.Request {
	now := time.Now()
	return core.Request{
		Node: s.members.Self(), Digest: ask.Digest, Site: ask.Site, FromOtherSite: ask.Hopped, OwnerDead: s.ownerDead(owner),
		Now: now, Expiry: ask.Expiry, KeepUntil: now.Add(s.config.Retention),
	}
}

func (s *Store) ownerDead(node identity.NodeID) bool {
	member, known := s.members.View().Member(node)
	return known && member.State == membership.Dead
}

func (s *Store) loadResult(ctx context.Context, record core.Record) ([]byte, error) {
	if record.ResultObject == "" {
		return record.Result, nil
	}
	return s.objects.Get(ctx, record.ResultObject)
}

// storedRecord is a stored record with its version.
type storedRecord struct {
	record  core.Record
	version uint64
}

// conflictError is returned when the stored record does not have the version that
// the transaction compared.
type conflictError struct{ stored storedRecord }

// Error implements error.
func (c *conflictError) Error() string {
	return fmt.Sprintf("idempotency record is at epoch %d", c.stored.record.Epoch)
}

// commit writes a record if the stored one has the given version, and returns the
// new version. The transaction ID identifies the write across retries after a
// lost response.
func (s *Store) commit(ctx context.Context, name string, version uint64, record core.Record) (uint64, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return 0, err
	}
	id := ulid.Make().String()
	result := s.client.Commit(ctx, backend.Transaction{
		ID:       id,
		Compares: []backend.Compare{{Key: name, Version: version}},
		Writes:   []backend.Write{{Key: name, Value: value}},
	})
	switch result.Status {
	case store.Applied:
		if len(result.Versions) == 1 {
			return result.Versions[0], nil
		}
		return s.findVersion(ctx, name, id)
	case store.Conflict:
		for _, stored := range result.Conflicts {
			if stored.Key == name {
				return 0, newConflict(stored)
			}
		}
	}
	if result.Status == store.Uncertain {
		return 0, &UncertainError{name: name, transaction: id, Cause: result.Cause}
	}
	return 0, fmt.Errorf("idempotency record not written: %w", result.Cause)
}

// findVersion reads the version of a write that is known to have taken effect. It
// returns a conflict if the record has been overwritten since.
func (s *Store) findVersion(ctx context.Context, name, id string) (uint64, error) {
	stored, err := s.client.Get(ctx, name)
	if err != nil {
		return 0, err
	}
	if stored.TransactionID == id {
		return stored.Version, nil
	}
	return 0, newConflict(stored)
}

func newConflict(stored backend.Record) error {
	found := storedRecord{version: stored.Version}
	if stored.Version != 0 {
		if err := json.Unmarshal(stored.Value, &found.record); err != nil {
			return fmt.Errorf("%w %s: %w", ErrUnreadable, stored.Key, err)
		}
	}
	return &conflictError{stored: found}
}
