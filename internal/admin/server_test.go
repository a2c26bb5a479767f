package admin_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/admin"
	"ringstream.example/ringstream/internal/adminclient"
	"ringstream.example/ringstream/internal/apierror"
	"ringstream.example/ringstream/internal/auth"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/membership"
	"ringstream.example/ringstream/internal/core/policy"
	"ringstream.example/ringstream/internal/httpserver"
	"ringstream.example/ringstream/internal/jobs"
	"ringstream.example/ringstream/internal/rows"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeRows is an in-memory table whose edits compare revisions.
type fakeRows struct {
	mutex         sync.Mutex
	revision      uint64
	rows          map[identity.RowID]policy.Row
	audit         []rows.AuditEntry
	editError     error // the error that Edit returns, if set
	editIDs       []string
	lostResponses int // number of accepted edits whose response is still to be lost
}

func (f *fakeRows) Table() *policy.Table {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var all []policy.Row
	for _, row := range f.rows {
		all = append(all, row)
	}
	return policy.NewTable(f.revision, all)
}

func (f *fakeRows) Edit(_ context.Context, edit rows.Edit) (rows.EditResult, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.editIDs = append(f.editIDs, edit.ID)
	for _, entry := range f.audit {
		if entry.EditID == edit.ID {
			return rows.EditResult{Status: rows.Accepted, Row: *entry.After, Revision: entry.Revision}, nil
		}
	}
	if f.editError != nil {
		return rows.EditResult{Status: rows.Uncertain}, f.editError
	}
	if edit.Row.Weight < 1 && !edit.Delete {
		return rows.EditResult{Status: rows.Invalid}, apierror.Invalid("weight: %d is below 1", edit.Row.Weight)
	}
	current := f.rows[edit.Row.ID]
	if current.Revision != edit.Row.Revision {
		return rows.EditResult{Status: rows.Conflict, Row: current}, nil
	}
	f.revision++
	row := edit.Row
	row.Revision = f.revision
	entry := rows.AuditEntry{Revision: f.revision, EditID: edit.ID, By: edit.By}
	if current.ID != "" {
		entry.Before = &current
	}
	if edit.Delete {
		delete(f.rows, row.ID)
	} else {
		f.rows[row.ID] = row
		entry.After = &row
	}
	f.audit = append(f.audit, entry)
	if f.lostResponses > 0 {
		f.lostResponses--
		return rows.EditResult{Status: rows.Uncertain}, &apierror.Error{Status: 503, Code: apierror.CodeStoreDown, Message: "lost"}
	}
	return rows.EditResult{Status: rows.Accepted, Row: row, Revision: f.revision}, nil
}

func (f *fakeRows) Audit(_ context.Context, after uint64, limit int) ([]rows.AuditEntry, error) {
	return f.audit[min(int(after), len(f.audit)):][:min(limit, len(f.audit)-int(after))], nil
}

func (f *fakeRows) Revisions(context.Context) []rows.NodeTableStatus {
	return []rows.NodeTableStatus{{Node: "n1", Known: true, Revision: f.revision}, {Node: "n2", Known: true}, {Node: "n3"}}
}

type fakeFleet struct{}

func (fakeFleet) View() membership.View {
	return membership.View{Self: "n1", Members: []membership.Member{{ID: "n1", Zone: "z"}, {ID: "n2", Zone: "z", State: membership.Leaving}}}
}

type fakeDrainer struct{ drained []identity.NodeID }

func (f *fakeDrainer) Drain(_ context.Context, node identity.NodeID) error {
	f.drained = append(f.drained, node)
	return nil
}

type fakeReadiness struct{ err error }

func (f *fakeReadiness) Ready() error { return f.err }

type fakeJobs struct{ admin.Jobs }

func (fakeJobs) List(_ context.Context, tenant identity.TenantID, _ identity.JobID, limit int) ([]jobs.Job, error) {
	return []jobs.Job{{ID: "j1", Tenant: tenant, Total: limit}}, nil
}

func (fakeJobs) Cancel(context.Context, identity.TenantID, identity.JobID) (jobs.Job, error) {
	return jobs.Job{ID: "j1", State: jobs.StateCancelled}, nil
}

const (
	operatorKey = "root"
	tenantKey   = "caller"
)

// fixture is an admin server on a loopback port with its fake dependencies.
type fixture struct {
	rows      *fakeRows
	drainer   *fakeDrainer
	readiness *fakeReadiness
	url       string
	client    *adminclient.Client
}

func digest(key string) []string {
	sum := sha256.Sum256([]byte(key))
	return []string{hex.EncodeToString(sum[:])}
}

func start(t *testing.T) *fixture {
	t.Helper()
	keys, err := auth.NewKeys(auth.Config{
		Operators: []auth.OperatorKey{{Name: "alice", SHA256: digest(operatorKey)}},
		Tenants:   []auth.TenantKeys{{Tenant: "a", SHA256: digest(tenantKey)}},
	}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{rows: &fakeRows{rows: map[identity.RowID]policy.Row{}}, drainer: &fakeDrainer{}, readiness: &fakeReadiness{}}
	config := admin.DefaultConfig()
	config.Address, config.LeaveTime, config.BodyLimit = "127.0.0.1:0", 0, 64<<10
	registry := prometheus.NewRegistry()
	server := admin.New(config, admin.Dependencies{
		Authenticator: keys, Fleet: fakeFleet{}, Readiness: f.readiness, Rows: f.rows, Editor: f.rows, Revisions: f.rows, Audit: f.rows,
		Jobs: fakeJobs{}, Drainer: f.drainer, Gatherer: registry,
	}, zap.NewNop(), registry)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx) }()
	<-server.Listening()
	f.url = "http://" + server.Address()
	f.client = f.connect(t, operatorKey)
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		f.client.Close()
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return f
}

func (f *fixture) connect(t *testing.T, key string) *adminclient.Client {
	t.Helper()
	client, err := adminclient.New(adminclient.Options{Server: f.url, Key: key, Timeout: 10 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	return client
}

func (f *fixture) raw(t *testing.T, method, path, key, body string, header ...string) (int, string) {
	t.Helper()
	request, err := http.NewRequest(method, f.url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(text)
}

func TestRowsLifeAndLostRace(t *testing.T) {
	f := start(t)
	ctx := t.Context()
	created, err := f.client.PutRow(ctx, policy.Row{ID: "alerts", Weight: 3})
	if err != nil || created.Row.Revision != 1 {
		t.Fatalf("%+v, %v", created, err)
	}
	mine, theirs := created.Row, created.Row
	theirs.Weight = 4
	if _, err := f.client.PutRow(ctx, theirs); err != nil {
		t.Fatal(err)
	}
	_, err = f.client.PutRow(ctx, mine)
	var failure *adminclient.APIError
	if !errors.As(err, &failure) || failure.Status != http.StatusConflict || failure.Run != "not_run" {
		t.Fatalf("an edit with a stale revision returned %v, want a conflict", err)
	}
	var current policy.Row
	if err := json.Unmarshal(failure.Current, &current); err != nil || current.Weight != 4 || current.Revision != 2 {
		t.Errorf("the current row is %+v, %v", current, err)
	}
	if _, err := f.client.DeleteRow(ctx, "alerts", 1); !errors.As(err, &failure) || failure.Status != http.StatusConflict {
		t.Errorf("a delete with a stale revision returned %v, want a conflict", err)
	}
	if _, err := f.client.DeleteRow(ctx, "alerts", 2); err != nil {
		t.Error(err)
	}
	if _, err := f.client.Row(ctx, "alerts"); !errors.As(err, &failure) || failure.Status != http.StatusNotFound {
		t.Errorf("Row returned %v for a deleted row, want status 404", err)
	}
	if list, err := f.client.Audit(ctx, nil, 2); err != nil || len(list.Entries) != 2 || list.Entries[1].By != "alice" || list.Entries[1].After != nil {
		t.Errorf("audit: %+v, %v", list, err)
	}
}

func TestImportTellsEachRow(t *testing.T) {
	f := start(t)
	first, err := f.client.PutRow(t.Context(), policy.Row{ID: "a", Weight: 1})
	if err != nil {
		t.Fatal(err)
	}
	result, err := f.client.ImportRows(t.Context(), []policy.Row{first.Row, {ID: "b", Weight: 2}, {ID: "c"}, {ID: "a", Weight: 9}})
	if err != nil {
		t.Fatal(err)
	}
	var codes []string
	for _, row := range result.Rows {
		codes = append(codes, fmt.Sprintf("%s:%s", row.ID, row.Code))
	}
	if diff := cmp.Diff([]string{"a:", "b:", "c:invalid_request", "a:conflict"}, codes); diff != "" || result.Accepted != 2 || result.Failed != 2 {
		t.Errorf("%+v %s", result, diff)
	}
	if f.rows.revision != 2 {
		t.Errorf("the unchanged row was written again: revision %d", f.rows.revision)
	}
}

func TestBadRequestsAreNamed(t *testing.T) {
	f := start(t)
	cases := []struct {
		name, method, path, key, body string
		header                        []string
		status                        int
		want                          string
	}{
		{"unknown field", "PUT", "/api/v1/rows/a", operatorKey, `{"id":"a","weigth":1}`, nil, 400, `unknown field \"weigth\"`},
		{"wrong type", "PUT", "/api/v1/rows/a", operatorKey, `{"weight":"1"}`, nil, 400, "weight: a JSON string where int"},
		{"nested type", "PUT", "/api/v1/rows/a", operatorKey, `{"limits":{"concurrency":"x"}}`, nil, 400, "limits.concurrency"},
		{"not JSON", "PUT", "/api/v1/rows/a", operatorKey, `{`, nil, 400, "ends within"},
		{"empty", "PUT", "/api/v1/rows/a", operatorKey, ``, nil, 400, "empty"},
		{"more", "PUT", "/api/v1/rows/a", operatorKey, `{"weight":1} {}`, nil, 400, "more after"},
		{"other id", "PUT", "/api/v1/rows/a", operatorKey, `{"id":"b","weight":1}`, nil, 400, "the path says"},
		{"bad If-Match", "PUT", "/api/v1/rows/a", operatorKey, `{"weight":1}`, []string{"If-Match", "x"}, 400, "If-Match"},
		{"delete without revision", "DELETE", "/api/v1/rows/a", operatorKey, ``, nil, 400, "If-Match"},
		{"invalid row", "PUT", "/api/v1/rows/a", operatorKey, `{"weight":0}`, nil, 400, "weight: 0 is below 1"},
		{"no key", "GET", "/api/v1/rows", "", ``, nil, 401, "Authorization"},
		{"unknown key", "GET", "/api/v1/rows", "x", ``, nil, 401, "not known"},
		{"tenant's key", "GET", "/api/v1/rows", tenantKey, ``, nil, 403, "operator"},
		{"unknown node", "POST", "/api/v1/nodes/nx/drain", operatorKey, ``, nil, 404, "nx"},
		{"bad limit", "GET", "/api/v1/jobs?limit=x", operatorKey, ``, nil, 400, "limit"},
		{"too large", "PUT", "/api/v1/rows/a", operatorKey, `{"id":"` + strings.Repeat("x", 65<<10) + `"}`, nil, 413, "larger"},
		{"no such path", "GET", "/api/v1/engines", operatorKey, ``, nil, 404, "no such path"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			status, text := f.raw(t, c.method, c.path, c.key, c.body, c.header...)
			var body httpserver.ErrorBody
			if err := json.Unmarshal([]byte(text), &body); err != nil || status != c.status || body.Run != "not_run" || !strings.Contains(text, c.want) {
				t.Errorf("got %d %s (%v)", status, text, err)
			}
		})
	}
	if f.rows.revision != 0 {
		t.Error("a rejected request changed the table")
	}
}

func TestUncertainEditIsPassedOn(t *testing.T) {
	f := start(t)
	f.rows.editError = &apierror.Error{Status: 503, Code: apierror.CodeStoreDown, Message: "lost", RetryAfter: 1500 * time.Millisecond}
	status, text := f.raw(t, "PUT", "/api/v1/rows/a", operatorKey, `{"weight":1}`)
	if status != 503 || !strings.Contains(text, `"run":"unknown"`) {
		t.Errorf("got %d %s", status, text)
	}
}

func TestLostAnswerIsAskedAgainUnderTheSameID(t *testing.T) {
	f := start(t)
	f.rows.lostResponses = 1
	change, err := f.client.PutRow(t.Context(), policy.Row{ID: "a", Weight: 1})
	if err != nil || change.Revision != 1 || f.rows.revision != 1 || len(f.rows.editIDs) != 2 || f.rows.editIDs[0] != f.rows.editIDs[1] {
		t.Errorf("%+v, %v, ids %v", change, err, f.rows.editIDs)
	}
}

func TestNodesHealthMetricsAndJobs(t *testing.T) {
	f := start(t)
	if _, err := f.client.Drain(t.Context(), "n2"); err != nil || len(f.drainer.drained) != 1 || f.drainer.drained[0] != "n2" {
		t.Errorf("drain: %v, %v", f.drainer.drained, err)
	}
	if list, err := f.client.Nodes(t.Context()); err != nil || list.Nodes[1].State != "leaving" {
		t.Errorf("nodes: %+v, %v", list, err)
	}
	if status, err := f.client.RowStatus(t.Context()); err != nil || status.Behind != 0 || status.Unknown != 1 {
		t.Errorf("status: %+v, %v", status, err)
	}
	if list, err := f.client.Jobs(t.Context(), "a", "", 5); err != nil || list.Jobs[0].Tenant != "a" || list.Jobs[0].Total != 5 {
		t.Errorf("jobs: %+v, %v", list, err)
	}
	if status, _ := f.raw(t, "GET", "/readyz", "", ""); status != 200 {
		t.Errorf("ready: %d", status)
	}
	f.readiness.err = errors.New("the table is not loaded")
	if status, text := f.raw(t, "GET", "/readyz", "", ""); status != 503 || !strings.Contains(text, "not loaded") {
		t.Errorf("not ready: %d %s", status, text)
	}
	if status, _ := f.raw(t, "GET", "/healthz", "", ""); status != 200 {
		t.Errorf("alive: %d", status)
	}
	if _, text := f.raw(t, "GET", "/metrics", "", ""); !strings.Contains(text, `ringstream_admin_requests_total{status="202"} 1`) {
		t.Errorf("metrics: %s", text)
	}
}
