// Package idempotency keeps the records of idempotency keys in the platform's
// table service, and large results in its object store. It carries out what
// core/idempotency decides; it never runs a request.
//
// A key costs two transactions: its claim and its result. A claim is not
// renewed: its expiry lies behind the request's deadline, and a dead owner's
// claim is taken over as soon as membership knows of the death.
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

// Config sets how long keys count and what they may cost.
type Config struct {
	Retention     time.Duration `koanf:"retention" usage:"how long a key gives the same answer, from its last claim"`
	InlineLimit   int           `koanf:"inline_limit" unit:"bytes" usage:"largest result kept in the table; larger ones go to the object store"`
	SweepInterval time.Duration `koanf:"sweep_interval" usage:"pause between two pages of the search for expired keys"`
}

// DefaultConfig keeps keys for a day.
func DefaultConfig() Config {
	return Config{Retention: 24 * time.Hour, InlineLimit: 8 << 10, SweepInterval: 30 * time.Second}
}

// Validate checks the settings; its errors name the key.
func (c Config) Validate() error {
	return errors.Join(
		configcheck.AtLeast("retention", c.Retention, leastRetention),
		configcheck.AtLeast("inline_limit", c.InlineLimit, 0),
		configcheck.Positive("sweep_interval", c.SweepInterval),
	)
}

// leastRetention is longer than any run, so that none outlives its record.
const leastRetention = time.Hour

// Members is what the store needs of peer.Bus.
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

// New makes a store; Run sweeps expired keys.
func New(config Config, client *store.Client, objects backend.Objects, members Members, logger *zap.Logger) *Store {
	return &Store{config: config, client: client, objects: objects, members: members, logger: logger}
}

// Key is a caller's key; tenants do not share keys.
type Key struct {
	Tenant identity.TenantID
	Key    string
}

const recordPrefix = "idempotency/"

// name gives the key's record; its first digits are its sweep shard.
func (k Key) name() string {
	digest := sha256.Sum256([]byte(string(k.Tenant) + "\x00" + k.Key))
	return recordPrefix + hex.EncodeToString(digest[:])
}

// Ask is one request with a key.
type Ask struct {
	Key    Key
	Digest string
	// Site is where the row's share puts a new key.
	Site   site.Site
	Hopped bool
	// Expiry is when a claim made now may be taken over.
	Expiry time.Time
}

// Decision is what the request does next.
type Decision struct {
	Action core.Action
	Result []byte      // for Read
	Intent core.Intent // for Resume
	First  bool        // for Forward
	Claim  *Claim      // for Run, Resume and Forward
}

// ErrUnreadable is a stored record that this version cannot read.
var ErrUnreadable = errors.New("unreadable idempotency record")

// maxRaces bounds the claims that one Ask loses before it gives up.
const maxRaces = 8

// Ask decides, and commits the claim that the decision needs. An error means
// that the store did not answer and that nothing runs on behalf of this ask.
func (s *Store) Ask(ctx context.Context, ask Ask) (Decision, error) {
	name := ask.Key.name()
	stored := current{} // most keys are new: try the claim before any read
	for range maxRaces {
		decided := core.Decide(stored.record, s.coreAsk(ask, stored.record.Owner))
		switch decided.Action {
		case core.Run, core.Resume, core.Forward:
		case core.Read:
			result, err := s.result(ctx, stored.record)
			return Decision{Action: core.Read, Result: result}, err
		default:
			return Decision{Action: decided.Action}, nil
		}
		next, err := s.commit(ctx, name, stored.version, decided.Record)
		var lost *conflict
		switch {
		case err == nil:
			claim := &Claim{store: s, name: name, record: decided.Record, version: next}
			return Decision{Action: decided.Action, Intent: decided.Record.Intent, First: decided.First, Claim: claim}, nil
		case errors.As(err, &lost):
			stored = lost.current
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

func (s *Store) coreAsk(ask Ask, owner identity.NodeID) core.Ask {
	now := time.Now()
	return core.Ask{
		Node: s.members.Self(), Digest: ask.Digest, Site: ask.Site, Hopped: ask.Hopped, OwnerDead: s.dead(owner),
		Now: now, Expiry: ask.Expiry, KeepUntil: now.Add(s.config.Retention),
	}
}

func (s *Store) dead(node identity.NodeID) bool {
	member, known := s.members.View().Member(node)
	return known && member.State == membership.Dead
}

func (s *Store) result(ctx context.Context, record core.Record) ([]byte, error) {
	if record.ResultObject == "" {
		return record.Result, nil
	}
	return s.objects.Get(ctx, record.ResultObject)
}

// current is a stored record and its version.
type current struct {
	record  core.Record
	version uint64
}

// conflict says that the record is not the one that was compared.
type conflict struct{ current current }

// Error implements error.
func (c *conflict) Error() string {
	return fmt.Sprintf("idempotency record is at epoch %d", c.current.record.Epoch)
}

// commit writes a record against a version, and gives the new version. A lost
// answer is settled by the transaction's id, across repeats.
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
		return s.settle(ctx, name, id)
	case store.Conflict:
		for _, stored := range result.Conflicts {
			if stored.Key == name {
				return 0, conflictWith(stored)
			}
		}
	}
	if result.Status == store.Uncertain {
		return 0, &UncertainError{name: name, transaction: id, Cause: result.Cause}
	}
	return 0, fmt.Errorf("idempotency record not written: %w", result.Cause)
}

// settle finds the version of a write that was seen to have taken effect.
func (s *Store) settle(ctx context.Context, name, id string) (uint64, error) {
	stored, err := s.client.Get(ctx, name)
	if err != nil {
		return 0, err
	}
	if stored.TransactionID == id {
		return stored.Version, nil
	}
	return 0, conflictWith(stored)
}

func conflictWith(stored backend.Record) error {
	found := current{version: stored.Version}
	if stored.Version != 0 {
		if err := json.Unmarshal(stored.Value, &found.record); err != nil {
			return fmt.Errorf("%w %s: %w", ErrUnreadable, stored.Key, err)
		}
	}
	return &conflict{current: found}
}
