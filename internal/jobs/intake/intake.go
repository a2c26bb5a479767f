// Package intake accepts batch jobs. It reads the items as a stream, validates
// each line, writes the items to the object store in segments, and creates the
// job in one transaction under its tenant and idempotency key. Until that
// transaction has taken effect there is no job, and the objects written so far
// are orphans. The collector of orphaned objects removes those that this package
// could not delete.
package intake

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/oklog/ulid/v2"
	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/apierror"
	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/jobs/blob"
	"ringstream.example/ringstream/internal/jobs/record"
	"ringstream.example/ringstream/internal/store"
)

// Intake accepts jobs. It is safe for concurrent use.
type Intake struct {
	Limits Limits
	Shards int
	Store  *store.Client
	Blobs  blob.Store
	Logger *zap.Logger
}

// Request describes a job to be accepted. Its items come from a Scanner.
type Request struct {
	Tenant     identity.TenantID
	Key        string
	Model      string
	Deadline   time.Time
	Repeatable bool
}

// Accept reads the items and creates the job. existed is true when a job with the
// same tenant, key and content already exists, which is then returned. Accept
// returns without an error only after the job is durable.
func (in *Intake) Accept(ctx context.Context, request Request, items *Scanner) (header record.Job, existed bool, err error) {
	keyRecord, err := in.Store.Get(ctx, record.IdempotencyKey(request.Tenant, request.Key))
	if err != nil {
		return record.Job{}, false, notAccepted(err)
	}
	if keyRecord.Version != 0 {
		header, err = in.resubmitted(ctx, keyRecord, items)
		return header, err == nil, err
	}
	id := identity.JobID(ulid.Make().String())
	content, err := in.upload(ctx, id, items)
	if err != nil {
		in.discard(ctx, id)
		return record.Job{}, false, err
	}
	header = record.Job{
		ID: id, Tenant: request.Tenant, Key: request.Key, Model: request.Model,
		Shard: record.ShardOf(id, in.Shards), CreatedAt: time.Now().UTC(), Deadline: request.Deadline.UTC(),
		Repeatable: request.Repeatable, State: record.StateOpen,
		Segments: content.Segments, Digest: content.Digest, Tokens: content.Tokens,
	}
	return in.create(ctx, header)
}

// create commits the job. When another job with the same key was committed first,
// it returns that job.
func (in *Intake) create(ctx context.Context, header record.Job) (record.Job, bool, error) {
	key := record.IdempotencyKey(header.Tenant, header.Key)
	result := in.Store.Commit(ctx, backend.Transaction{
		ID:       "accept-" + string(header.ID),
		Compares: []backend.Compare{{Key: key}, {Key: record.JobKey(header.ID)}},
		Writes: []backend.Write{
			{Key: key, Value: record.Encode(record.KeyHolder{Job: header.ID, Digest: header.Digest})},
			{Key: record.JobKey(header.ID), Value: record.Encode(header)},
			{Key: record.OpenKey(header.Shard, header.ID)},
			{Key: record.TenantKey(header.Tenant, header.ID)},
		},
	})
	switch result.Status {
	case store.Applied:
		return header, false, nil
	case store.Conflict:
		in.discard(ctx, header.ID)
		for _, current := range result.Conflicts {
			if current.Key == key {
				winner, err := in.existing(ctx, current, header.Digest)
				return winner, err == nil, err
			}
		}
		return record.Job{}, false, apierror.New(http.StatusConflict, apierror.CodeConflict, "the job's id was voided while its items were uploaded; send it again")
	case store.NotApplied:
		in.discard(ctx, header.ID)
		return record.Job{}, false, notAccepted(result.Cause)
	default:
		events.JobAcceptUncertain.Log(in.Logger, zap.String("job", string(header.ID)), zap.String("tenant", string(header.Tenant)), zap.Error(result.Cause))
		return record.Job{}, false, apierror.Uncertain("the answer of the table service was lost; send the job again with the same idempotency key to learn whether it was accepted")
	}
}

// resubmitted compares a job that is submitted again with the one that holds its
// key.
func (in *Intake) resubmitted(ctx context.Context, keyRecord backend.Record, items *Scanner) (record.Job, error) {
	content, err := items.ReadAll(func(int, []byte) error { return ctx.Err() })
	if err != nil {
		return record.Job{}, err
	}
	return in.existing(ctx, keyRecord, content.Digest)
}

func (in *Intake) existing(ctx context.Context, keyRecord backend.Record, digest string) (record.Job, error) {
	holder, err := record.Decode[record.KeyHolder](keyRecord.Value)
	if err != nil {
		return record.Job{}, err
	}
	if holder.Digest != digest {
		return record.Job{}, apierror.New(http.StatusUnprocessableEntity, apierror.CodeKeyReuse, "the idempotency key belongs to job %s, whose content differs", holder.Job)
	}
	current, err := in.Store.Get(ctx, record.JobKey(holder.Job))
	if err != nil {
		return record.Job{}, notAccepted(err)
	}
	if current.Version == 0 {
		return record.Job{}, apierror.New(http.StatusNotFound, apierror.CodeNotFound, "job %s has passed its retention", holder.Job)
	}
	return record.Decode[record.Job](current.Value)
}

// upload writes the items to the object store, one segment at a time.
func (in *Intake) upload(ctx context.Context, id identity.JobID, items *Scanner) (Content, error) {
	return items.ReadAll(func(segment int, lines []byte) error {
		err := in.Blobs.Put(ctx, record.InputObject(id, segment), lines)
		if err != nil {
			return notAccepted(err)
		}
		return nil
	})
}

// discard removes the objects of a job that was not accepted, on a best-effort
// basis.
func (in *Intake) discard(ctx context.Context, id identity.JobID) {
	const discardTimeout = 2 * time.Second
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), discardTimeout)
	defer cancel()
	if err := in.Blobs.DeletePrefix(ctx, record.InputObjectsPrefix(id)); err != nil {
		events.JobObjectsLeft.Log(in.Logger, zap.String("job", string(id)), zap.Error(err))
	}
}

// storeRetryAfter is the retry delay sent to a caller when the store failed.
const storeRetryAfter = 5 * time.Second

// notAccepted returns the error for a job that was not accepted, and will not be,
// because of a store error.
func notAccepted(cause error) error {
	if errors.Is(cause, context.Canceled) {
		return cause
	}
	return apierror.Unavailable(storeRetryAfter, "the job was not accepted: %v", cause)
}
