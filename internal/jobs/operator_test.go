package jobs

import (
	"testing"
	"testing/synctest"

	"ringstream.example/ringstream/internal/apierror"
	"ringstream.example/ringstream/internal/core/identity"
)

func TestOperatorsSeeAllTenantsJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, nil)
		defer c.close()
		want := make(map[identity.JobID]identity.TenantID)
		for _, owner := range []identity.TenantID{"a", "b", "c"} {
			job := submission("k", 20, true)
			job.Tenant = owner
			accepted, _, err := c.nodes[0].Submit(t.Context(), job)
			if err != nil {
				t.Fatal(err)
			}
			want[accepted.ID] = owner
		}
		operators := c.nodes[0].Operators()
		var after identity.JobID
		for range len(want) {
			page, err := operators.List(t.Context(), "", after, 1)
			if err != nil || len(page) != 1 || want[page[0].ID] != page[0].Tenant {
				t.Fatalf("page of jobs: %+v, error %v", page, err)
			}
			after = page[0].ID
			if cancelled, err := operators.Cancel(t.Context(), "", after); err != nil || cancelled.State != StateCancelled {
				t.Errorf("cancelled job: %+v, error %v", cancelled, err)
			}
			if job, err := operators.Get(t.Context(), "", after); err != nil || job.Tenant != want[after] {
				t.Errorf("job: %+v, error %v", job, err)
			}
			if _, err := operators.Results(t.Context(), "", after, 0, 1); err != nil {
				t.Error(err)
			}
		}
		if page, err := operators.List(t.Context(), "", after, 1); err != nil || len(page) != 0 {
			t.Errorf("after the last: %+v, %v", page, err)
		}
		if page, err := operators.List(t.Context(), "a", "", 5); err != nil || len(page) != 1 || page[0].Tenant != "a" {
			t.Errorf("one tenant's: %+v, %v", page, err)
		}
		if _, err := operators.Get(t.Context(), "", "nothing"); codeOf(err) != apierror.CodeNotFound {
			t.Errorf("an unknown job: %v", err)
		}
		if _, err := operators.Get(t.Context(), "b", after); want[after] != "b" && codeOf(err) != apierror.CodeNotFound {
			t.Errorf("another tenant's job: %v", err)
		}
	})
}
