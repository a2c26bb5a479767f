package jobs

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/oklog/ulid/v2"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"ringstream.example/ringstream/internal/apierror"
	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/core/batch"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/policy"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/jobs/intake"
	"ringstream.example/ringstream/internal/jobs/record"
	"ringstream.example/ringstream/internal/jobs/runner"
	"ringstream.example/ringstream/internal/store"
)

// maxIdempotencyKeyBytes bounds an idempotency key.
const maxIdempotencyKeyBytes = 256

// Submit implements Service.
func (m *Manager) Submit(ctx context.Context, submission Submission) (Job, bool, error) {
	if err := m.validate(&submission); err != nil {
		return Job{}, false, err
	}
	ctx, cancel := context.WithTimeout(ctx, m.config.UploadTimeout)
	defer cancel()
	header, existed, err := m.intake.Accept(ctx, intake.Request{
		Tenant: submission.Tenant, Key: submission.Key, Model: submission.Model,
		Deadline: submission.Deadline, Repeatable: submission.Repeatable,
	}, intake.NewScanner(submission.Items, submission.Repeatable, m.config.intake()))
	if err != nil {
		return Job{}, false, err
	}
	if existed {
		job, err := m.viewWithProgress(ctx, &header)
		return job, true, err
	}
	events.JobAccepted.Log(m.logger, zap.String("job", string(header.ID)), zap.String("tenant", string(header.Tenant)),
		zap.Int("items", header.Total()), zap.Int("shard", header.Shard))
	m.notifySubmitted(header.Shard)
	return viewOf(&header, batch.Counts{Total: header.Total()}), false, nil
}

func (m *Manager) validate(submission *Submission) error {
	now := time.Now()
	if submission.Deadline.IsZero() {
		submission.Deadline = now.Add(m.config.DefaultWindow)
	}
	switch {
	case submission.Key == "":
		return apierror.Invalid("a batch job needs an idempotency key")
	case len(submission.Key) > maxIdempotencyKeyBytes:
		return apierror.Invalid("the idempotency key is longer than %d bytes", maxIdempotencyKeyBytes)
	case submission.Model == "":
		return apierror.Invalid("model is missing")
	case submission.Items == nil:
		return apierror.Invalid("the job has no items")
	}
	if _, found := m.rows.Table().Lookup(string(submission.Tenant), submission.Model, policy.KindBatch); !found {
		return apierror.Invalid("no row of the table governs batch work of this tenant with model %q", submission.Model)
	}
	return nil
}

// Get implements Service.
func (m *Manager) Get(ctx context.Context, tenant identity.TenantID, id identity.JobID) (Job, error) {
	header, _, err := m.header(ctx, tenant, id)
	if err != nil {
		return Job{}, err
	}
	return m.viewWithProgress(ctx, &header)
}

// header reads a job's header and its version. A job of another tenant is reported
// as not found.
func (m *Manager) header(ctx context.Context, tenant identity.TenantID, id identity.JobID) (record.Job, uint64, error) {
	found, err := m.store.Get(ctx, record.JobKey(id))
	if err != nil {
		return record.Job{}, 0, readFailed(err)
	}
	if found.Version != 0 {
		header, err := record.Decode[record.Job](found.Value)
		if err != nil {
			return record.Job{}, 0, err
		}
		if header.Tenant == tenant && header.State != record.StateVoid {
			return header, found.Version, nil
		}
	}
	return record.Job{}, 0, apierror.New(http.StatusNotFound, apierror.CodeNotFound, "there is no job %s", id)
}

func readFailed(err error) error {
	const minRetryAfter = 2 * time.Second
	var failure *backend.Error
	if errors.As(err, &failure) {
		return apierror.Unavailable(max(minRetryAfter, failure.RetryAfter), "the job cannot be read now: %v", err)
	}
	return err
}

// viewWithProgress returns a job with its progress and, while it is open, its
// forecast.
func (m *Manager) viewWithProgress(ctx context.Context, header *record.Job) (Job, error) {
	var counts batch.Counts
	segments, err := m.segments(ctx, header)
	if err != nil {
		return Job{}, err
	}
	for number := range segments {
		counts = counts.Add(segments[number].Counts())
	}
	job := viewOf(header, counts)
	if !header.Ended() {
		job.ExpectedFinish = m.expectedFinish(ctx, header)
	}
	return job, nil
}

// segments reads all segments of a job.
func (m *Manager) segments(ctx context.Context, header *record.Job) ([]batch.Segment, error) {
	return m.segmentRange(ctx, header, 0, len(header.Segments))
}

// segmentRange reads a job's segments from low to below high, in order. All items
// of a segment without a record are open.
func (m *Manager) segmentRange(ctx context.Context, header *record.Job, low, high int) ([]batch.Segment, error) {
	segments := make([]batch.Segment, high-low)
	for i, items := range header.Segments[low:high] {
		segments[i] = batch.NewSegment(items)
	}
	after := ""
	if low > 0 {
		after = record.SegmentKey(header.ID, low-1)
	}
	for next := low; next < high; {
		page := min(high-next, segmentPageSize)
		stored, err := m.store.Page(ctx, record.SegmentsPrefix(header.ID), after, page)
		if err != nil {
			return nil, readFailed(err)
		}
		for _, entry := range stored {
			after = entry.Key
			if next, err = record.TrailingNumber(entry.Key); err != nil || next >= high {
				return segments, err
			}
			if segments[next-low], err = record.DecodeSegment(entry.Value, header.Segments[next]); err != nil {
				return nil, err
			}
		}
		if next++; len(stored) < page {
			break
		}
	}
	return segments, nil
}

// segmentPageSize bounds one read of segments.
const segmentPageSize = 500

func viewOf(header *record.Job, counts batch.Counts) Job {
	job := Job{
		ID: header.ID, Tenant: header.Tenant, Key: header.Key, Model: header.Model, State: StateAccepted,
		CreatedAt: header.CreatedAt, Deadline: header.Deadline, Total: counts.Total,
		Completed: counts.Completed, Failed: counts.Failed, Unknown: counts.Unknown,
	}
	switch {
	case header.State == record.StateCompleted:
		job.State = StateCompleted
	case header.State == record.StateCancelled:
		job.State = StateCancelled
		job.Cancelled = counts.Total - counts.Final()
	case counts.Final() > 0:
		job.State = StateRunning
	}
	return job
}

// maxParallelListReads bounds the concurrent reads of List.
const maxParallelListReads = 8

// maxListed bounds one page of List.
const maxListed = 100

// List implements Service.
func (m *Manager) List(ctx context.Context, tenant identity.TenantID, after identity.JobID, limit int) ([]Job, error) {
	if limit < 1 || limit > maxListed {
		limit = maxListed
	}
	prefix, from := record.TenantPrefix(tenant), ""
	if after != "" {
		from = record.TenantKey(tenant, after)
	}
	entries, err := m.store.Page(ctx, prefix, from, limit)
	if err != nil {
		return nil, readFailed(err)
	}
	listed := make([]Job, len(entries))
	reads, readContext := errgroup.WithContext(ctx)
	reads.SetLimit(maxParallelListReads)
	for i, entry := range entries {
		reads.Go(func() (err error) {
			listed[i], err = m.Get(readContext, tenant, record.JobOfTenantKey(entry.Key))
			return err
		})
	}
	if err := reads.Wait(); err != nil {
		return nil, err
	}
	return listed, nil
}

// maxCancelAttempts bounds the attempts of a cancellation whose job changes
// concurrently.
const maxCancelAttempts = 3

// Cancel implements Service.
func (m *Manager) Cancel(ctx context.Context, tenant identity.TenantID, id identity.JobID) (Job, error) {
	for range maxCancelAttempts {
		header, version, err := m.header(ctx, tenant, id)
		if err != nil {
			return Job{}, err
		}
		if header.State == record.StateCancelled {
			// The node that committed the cancellation may have been lost before it
			// sent the message.
			m.broadcastCancelled(id)
		}
		if header.Ended() {
			return m.viewWithProgress(ctx, &header)
		}
		header.State, header.EndedAt = record.StateCancelled, time.Now().UTC()
		result := m.store.Commit(ctx, backend.Transaction{
			ID:       "cancel-" + ulid.Make().String(),
			Compares: []backend.Compare{{Key: record.JobKey(id), Version: version}},
			Writes:   runner.EndWrites(&header, m.config.Retention),
		})
		switch result.Status {
		case store.Applied:
			return m.cancelled(ctx, &header)
		case store.Conflict:
			continue // the job has ended, or another cancellation was committed first
		case store.NotApplied:
			return Job{}, apierror.Unavailable(time.Second, "the job was not cancelled: %v", result.Cause)
		default:
			return Job{}, apierror.Uncertain("the answer of the table service was lost; cancel the job again to learn whether it took effect")
		}
	}
	return Job{}, apierror.New(http.StatusConflict, apierror.CodeConflict, "job %s changed while it was being cancelled", id)
}

// cancelled stops the attempts of a job whose cancellation is durable, and returns
// the job.
func (m *Manager) cancelled(ctx context.Context, header *record.Job) (Job, error) {
	events.JobCancelled.Log(m.logger, zap.String("job", string(header.ID)), zap.String("tenant", string(header.Tenant)))
	m.broadcastCancelled(header.ID)
	segments, err := m.segments(ctx, header)
	if err != nil {
		return Job{}, err
	}
	var counts batch.Counts
	for number := range segments {
		segment := &segments[number]
		counts = counts.Add(segment.Counts())
		for _, index := range segment.Intents() {
			intent, _ := segment.Intent(index)
			go m.batch.Cancel(context.WithoutCancel(ctx), intent)
		}
	}
	return viewOf(header, counts), nil
}
