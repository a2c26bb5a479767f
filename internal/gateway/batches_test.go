package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"ringstream.example/ringstream/internal/apierror"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/jobs"
)

// memoryJobs is a jobs.Service that holds one job. Its items complete at once.
type memoryJobs struct {
	job        jobs.Job
	repeatable bool
	lines      []string
	failAt     int // Results fails from this index on; 0 means never
}

func (m *memoryJobs) Submit(_ context.Context, submission jobs.Submission) (jobs.Job, bool, error) {
	if m.job.ID != "" {
		return m.job, true, nil
	}
	lines := bufio.NewScanner(submission.Items)
	for lines.Scan() {
		m.lines = append(m.lines, lines.Text())
	}
	if err := lines.Err(); err != nil {
		return jobs.Job{}, false, err
	}
	m.repeatable = submission.Repeatable
	m.job = jobs.Job{ID: "job-1", Tenant: submission.Tenant, Key: submission.Key, Model: submission.Model, Deadline: submission.Deadline, Total: len(m.lines)}
	return m.job, false, nil
}

func (m *memoryJobs) Get(_ context.Context, tenant identity.TenantID, id identity.JobID) (jobs.Job, error) {
	if id != m.job.ID || tenant != m.job.Tenant {
		return jobs.Job{}, apierror.New(http.StatusNotFound, apierror.CodeNotFound, "no job %s", id)
	}
	return m.job, nil
}

func (m *memoryJobs) List(context.Context, identity.TenantID, identity.JobID, int) ([]jobs.Job, error) {
	return []jobs.Job{m.job}, nil
}

func (m *memoryJobs) Cancel(ctx context.Context, tenant identity.TenantID, id identity.JobID) (jobs.Job, error) {
	m.job.State = jobs.StateCancelled
	return m.Get(ctx, tenant, id)
}

func (m *memoryJobs) Results(_ context.Context, _ identity.TenantID, _ identity.JobID, from, to int) ([]jobs.Result, error) {
	if m.failAt > 0 && to > m.failAt {
		return nil, apierror.New(http.StatusServiceUnavailable, apierror.CodeStoreDown, "the store is down")
	}
	var results []jobs.Result
	for i := from; i < to; i++ {
		results = append(results, jobs.Result{Index: i, ID: fmt.Sprint(i), Outcome: "completed"})
	}
	return results, nil
}

func startJobs(t *testing.T, service jobs.Service, change func(*Config)) *testServer {
	return startServer(t, func(config *Config, deps *Dependencies) {
		deps.Jobs = service
		if change != nil {
			change(config)
		}
	})
}

func (s *testServer) get(t *testing.T, path string) (int, string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, s.url+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer corrib")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var text strings.Builder
	if _, err := bufio.NewReader(response.Body).WriteTo(&text); err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, text.String()
}

func TestJobFromSubmissionToResults(t *testing.T) {
	service := &memoryJobs{}
	server := startJobs(t, service, nil)
	items := strings.Repeat(`{"custom_id":"a","prompt":"x"}`+"\n", resultsPageSize+1)
	const path = "/v1/batches?model=scribe&deadline=8h&repeatable=false"
	response, text := server.post(t, path, items, "Idempotency-Key", "k1")
	var job jobs.Job
	if err := json.Unmarshal([]byte(text), &job); err != nil || response.StatusCode != http.StatusCreated || job.Total != resultsPageSize+1 {
		t.Fatalf("%d %s %v", response.StatusCode, text, err)
	}
	if service.repeatable || time.Until(job.Deadline) > 8*time.Hour || response.Header.Get("Location") != "/v1/batches/job-1" {
		t.Errorf("%+v %v", job, response.Header)
	}
	if response, _ = server.post(t, path, items, "Idempotency-Key", "k1"); response.StatusCode != http.StatusOK {
		t.Errorf("sent again: %d", response.StatusCode)
	}
	status, lines := server.get(t, "/v1/batches/job-1/results?from=1")
	if status != http.StatusOK || strings.Count(lines, "\n") != resultsPageSize || !strings.HasPrefix(lines, `{"index":1,`) {
		t.Errorf("results: %d, %d lines", status, strings.Count(lines, "\n"))
	}
	service.failAt = resultsPageSize
	if _, lines = server.get(t, "/v1/batches/job-1/results"); !strings.Contains(lines, `"code":"store_unavailable"`) {
		t.Error("results that ended early do not report the error")
	}
	if status, text = server.get(t, "/v1/batches/job-2"); status != http.StatusNotFound {
		t.Errorf("unknown job: %d %s", status, text)
	}
	if status, text = server.get(t, "/v1/batches"); status != http.StatusOK || !strings.Contains(text, "job-1") {
		t.Errorf("list: %d %s", status, text)
	}
	if response, text = server.post(t, "/v1/batches/job-1/cancel", ""); response.StatusCode != http.StatusOK || !strings.Contains(text, "cancelled") {
		t.Errorf("cancel: %s", text)
	}
}

func TestWrongSubmissionsSayWhatIsMissing(t *testing.T) {
	server := startJobs(t, &memoryJobs{}, func(config *Config) { config.BatchBodyLimit = 10 })
	cases := []struct{ query, key, want string }{
		{"model=m&deadline=1h", "", "Idempotency-Key"},
		{"model=m&deadline=1h", "a b", "Idempotency-Key"},
		{"deadline=1h", "k", "model"},
		{"model=m", "k", "deadline"},
		{"model=m&deadline=tomorrow", "k", "deadline"},
		{"model=m&deadline=-1h", "k", "past"},
		{"model=m&deadline=1h&repeatable=maybe", "k", "repeatable"},
	}
	for _, test := range cases {
		response, text := server.post(t, "/v1/batches?"+test.query, "{}", "Idempotency-Key", test.key)
		if response.StatusCode != http.StatusBadRequest || !strings.Contains(text, test.want) {
			t.Errorf("%+v: %d %s", test, response.StatusCode, text)
		}
	}
	if response, text := server.post(t, "/v1/batches?model=m&deadline=1h", "{}{}{}{}{}{}", "Idempotency-Key", "k"); response.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("too large: %d %s", response.StatusCode, text)
	}
}

// deadlineRecorder is a connection that records its read deadlines.
type deadlineRecorder struct {
	http.ResponseWriter
	set []time.Time
}

func (d *deadlineRecorder) SetReadDeadline(at time.Time) error {
	d.set = append(d.set, at)
	return nil
}

func TestUploadIsBoundedByIdleTimeOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		connection := &deadlineRecorder{}
		reader := idleTimeoutReader{Reader: strings.NewReader("two reads"), controller: http.NewResponseController(connection), idleTimeout: time.Minute}
		for range 2 {
			time.Sleep(50 * time.Second)
			if _, err := reader.Read(make([]byte, 4)); err != nil {
				t.Fatal(err)
			}
			if left := time.Until(connection.set[len(connection.set)-1]); left != time.Minute {
				t.Errorf("read deadline in %v, want 1m", left)
			}
		}
	})
}
