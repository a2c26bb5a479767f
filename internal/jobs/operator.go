package jobs

import (
	"context"

	"golang.org/x/sync/errgroup"

	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/jobs/record"
)

// Operators gives the admin API access to the jobs of all tenants. In each method
// an empty tenant stands for any tenant.
type Operators struct{ manager *Manager }

// Operators returns the operators' view of this manager's jobs.
func (m *Manager) Operators() Operators { return Operators{manager: m} }

// Get returns a job. Errors are *apierror.Error.
func (o Operators) Get(ctx context.Context, tenant identity.TenantID, id identity.JobID) (Job, error) {
	owner, err := o.owner(ctx, tenant, id)
	if err != nil {
		return Job{}, err
	}
	return o.manager.Get(ctx, owner, id)
}

// Cancel stops a job. No item completes after it returns.
func (o Operators) Cancel(ctx context.Context, tenant identity.TenantID, id identity.JobID) (Job, error) {
	owner, err := o.owner(ctx, tenant, id)
	if err != nil {
		return Job{}, err
	}
	return o.manager.Cancel(ctx, owner, id)
}

// Results returns final outcomes of items, like Service.Results.
func (o Operators) Results(ctx context.Context, tenant identity.TenantID, id identity.JobID, from, to int) ([]Result, error) {
	owner, err := o.owner(ctx, tenant, id)
	if err != nil {
		return nil, err
	}
	return o.manager.Results(ctx, owner, id, from, to)
}

// owner returns the tenant that a job belongs to, or the given tenant if it is not
// empty.
func (o Operators) owner(ctx context.Context, tenant identity.TenantID, id identity.JobID) (identity.TenantID, error) {
	if tenant != "" {
		return tenant, nil
	}
	stored, err := o.header(ctx, id)
	return stored.Tenant, err
}

// header reads a job's header regardless of its tenant. It returns the zero header
// when there is none.
func (o Operators) header(ctx context.Context, id identity.JobID) (record.Job, error) {
	found, err := o.manager.store.Get(ctx, record.JobKey(id))
	if err != nil {
		return record.Job{}, readFailed(err)
	}
	if found.Version == 0 {
		return record.Job{}, nil
	}
	return record.Decode[record.Job](found.Value)
}

// List returns a page of one tenant's jobs, newest first. Without a tenant it
// returns a page of the open jobs of all tenants, in the order of their shards.
func (o Operators) List(ctx context.Context, tenant identity.TenantID, after identity.JobID, limit int) ([]Job, error) {
	if tenant != "" {
		return o.manager.List(ctx, tenant, after, limit)
	}
	if limit < 1 || limit > maxListed {
		limit = maxListed
	}
	from := ""
	if after != "" {
		last, err := o.header(ctx, after)
		if err != nil {
			return nil, err
		}
		from = record.OpenKey(last.Shard, after)
	}
	entries, err := o.manager.store.Page(ctx, record.AllOpenPrefix, from, limit)
	if err != nil {
		return nil, readFailed(err)
	}
	listed := make([]Job, len(entries))
	reads, readContext := errgroup.WithContext(ctx)
	reads.SetLimit(maxParallelListReads)
	for i, entry := range entries {
		reads.Go(func() (err error) {
			listed[i], err = o.Get(readContext, "", record.JobOfOpenKey(entry.Key))
			return err
		})
	}
	if err := reads.Wait(); err != nil {
		return nil, err
	}
	return listed, nil
}
