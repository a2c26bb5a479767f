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

// Claim is this node's claim of one key. It is used by one goroutine at a
// time.
type Claim struct {
	store   *Store
	name    string
	record  core.Record
	version uint64
	lost    bool
}

// Superseded says whether a write found the claim taken over.
func (c *Claim) Superseded() bool { return c.lost }

// ErrSuperseded says that the claim was taken over: nothing was written, and
// the run that it stood for does not count.
var ErrSuperseded = errors.New("idempotency claim was taken over")

// RecordIntent writes the attempt that is about to be sent. After any error
// the attempt must not be sent.
func (c *Claim) RecordIntent(ctx context.Context, intent core.Intent) error {
	return c.write(ctx, c.record.RecordIntent(intent))
}

// Complete makes the result readable: a large one is stored first, then the
// record. After an error other than ErrSuperseded it may be called again.
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

// Settle binds the key to the other site.
func (c *Claim) Settle(ctx context.Context) error { return c.write(ctx, c.record.Settle()) }

// Redirect makes a first forward that did nothing a run here.
func (c *Claim) Redirect(ctx context.Context) error { return c.write(ctx, c.record.Redirect()) }

// write commits the claim's next record. A conflict with the very record that
// is being written is an earlier write of this claim whose answer was lost.
func (c *Claim) write(ctx context.Context, next core.Record) error {
	version, err := c.store.commit(ctx, c.name, c.version, next)
	var lost *conflict
	switch {
	case errors.As(err, &lost) && lost.current.record.Owner == c.record.Owner && lost.current.record.Epoch == c.record.Epoch:
		// Still this claim: an earlier write whose answer never came.
		c.version = lost.current.version
		version, err = c.store.commit(ctx, c.name, c.version, next)
		if errors.As(err, &lost) {
			c.lost = true
			return ErrSuperseded
		}
	case lost != nil:
		c.lost = true
		return ErrSuperseded
	}
	if err != nil {
		return err
	}
	c.record, c.version = next, version
	return nil
}

// objectName gives each claim of a key an object of its own.
func objectName(name string, record core.Record) string {
	return fmt.Sprintf("%s/%020d-%s", name, record.Epoch, record.Owner)
}

// objectEpoch reads the epoch back from an object's name; 0 for other names.
func objectEpoch(object string) uint64 {
	_, last, _ := strings.Cut(strings.TrimPrefix(object, recordPrefix), "/")
	digits, _, _ := strings.Cut(last, "-")
	epoch, err := strconv.ParseUint(digits, 10, 64)
	if err != nil {
		return 0
	}
	return epoch
}

// notFound says whether an object is absent.
func notFound(err error) bool {
	var failure *backend.Error
	return errors.As(err, &failure) && failure.Code == backend.CodeNotFound
}
