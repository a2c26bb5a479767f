package idempotency

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"ringstream.example/ringstream/internal/backend"
	core "ringstream.example/ringstream/internal/core/idempotency"
)

// Claim is this node's claim of one key. It is not safe for concurrent use.
type Claim struct {
	store      *Store
	name       string
	record     core.Record
	version    uint64
	superseded bool
}

// Superseded reports whether a write found that the claim was taken over.
func (c *Claim) Superseded() bool { return c.superseded }

// ErrSuperseded is returned when the claim was taken over. Nothing was written,
// and the result of the run under this claim is void.
var ErrSuperseded = errors.New("idempotency claim was taken over")

// RecordIntent records the attempt that is about to be sent. After any error the
// attempt must not be sent.
func (c *Claim) RecordIntent(ctx context.Context, intent core.Intent) error {
	return c.write(ctx, c.record.RecordIntent(intent))
}

// Complete records the result so that any node can read it. A result larger than
// InlineLimit is written to the object store before the record. After an error
// other than ErrSuperseded, Complete may be called again.
func (c *Claim) Complete(ctx context.Context, result []byte) error {
	if len(result) <= c.store.config.InlineLimit {
		return c.write(ctx, c.record.Complete(result, ""))
	}
	object := objectName(c.name, c.record)
	if err := c.store.objects.Put(ctx, object, result); err != nil {
		return err
	}
	return c.write(ctx, c.record.Complete(nil, object))
}

// Release frees the key.
func (c *Claim) Release(ctx context.Context) error { return c.write(ctx, c.record.Release()) }

// Settle records that the other site answers for the key.
func (c *Claim) Settle(ctx context.Context) error { return c.write(ctx, c.record.Settle()) }

// Redirect turns the claim of a first forward that had no effect into a claim
// for a run on this site.
func (c *Claim) Redirect(ctx context.Context) error { return c.write(ctx, c.record.Redirect()) }

// write commits the claim's next record. If the stored record has the owner and
// epoch of this claim, the conflict comes from an earlier write of this claim
// whose response was lost, and write retries against the stored version.
func (c *Claim) write(ctx context.Context, next core.Record) error {
	version, err := c.store.commit(ctx, c.name, c.version, next)
	var conflicted *conflictError
	switch {
	case errors.As(err, &conflicted) && conflicted.stored.record.Owner == c.record.Owner && conflicted.stored.record.Epoch == c.record.Epoch:
		// An earlier write of this claim took effect, but its response was lost.
		c.version = conflicted.stored.version
		version, err = c.store.commit(ctx, c.name, c.version, next)
		if errors.As(err, &conflicted) {
			c.superseded = true
			return ErrSuperseded
		}
	case conflicted != nil:
		c.superseded = true
		return ErrSuperseded
	}
	if err != nil {
		return err
	}
	c.record, c.version = next, version
	return nil
}

// objectName returns the object name for a claim's result. It is unique for each
// claim of a key.
func objectName(name string, record core.Record) string {
	return fmt.Sprintf("%s/%020d-%s", name, record.Epoch, record.Owner)
}

// objectEpoch parses the epoch from an object's name. It returns 0 for names of
// another form.
func objectEpoch(object string) uint64 {
	_, last, _ := strings.Cut(strings.TrimPrefix(object, recordPrefix), "/")
	digits, _, _ := strings.Cut(last, "-")
	epoch, err := strconv.ParseUint(digits, 10, 64)
	if err != nil {
		return 0
	}
	return epoch
}

// notFound reports whether err means that an object does not exist.
func notFound(err error) bool {
	var failure *backend.Error
	return errors.As(err, &failure) && failure.Code == backend.CodeNotFound
}
