package admin

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/membership"
	"ringstream.example/ringstream/internal/core/policy"
	"ringstream.example/ringstream/internal/jobs"
	"ringstream.example/ringstream/internal/rows"
)

// faultyFleet provides the dependencies of the page for a fleet with unhealthy
// nodes and engines.
type faultyFleet struct {
	Jobs
	revisionCalls int
	failure       error
}

func (*faultyFleet) View() membership.View {
	return membership.View{Self: "n1", Members: []membership.Member{
		{ID: "n1", Zone: "a", Region: "r"},
		{ID: "n2", Zone: "b", Region: "r", State: membership.Suspect},
		{ID: "n3", Zone: "b", Region: "r", State: membership.Dead},
	}}
}

func (*faultyFleet) Table() *policy.Table {
	var list []policy.Row
	for i := range maxPageRows + 5 {
		id := fmt.Sprintf("row-%03d", i)
		list = append(list, policy.Row{ID: identity.RowID(id), Match: policy.Match{Tenant: id, Model: "<script>alert(1)</script>"}, Weight: 1, Revision: uint64(i + 1)})
	}
	return policy.NewTable(uint64(len(list)), list)
}

func (*faultyFleet) Engines() []EngineStatus {
	return []EngineStatus{
		{ID: "e1", Zone: "a", Reachable: true, RunningOnline: 8, RunningBatch: 16, MaxRunning: 32, KVUsed: 1, KVCapacity: 4},
		{ID: "e2", Zone: "b", Reachable: true, Leaving: true},
		{ID: "e3", Zone: "b"},
	}
}

func (f *faultyFleet) Revisions(context.Context) []rows.NodeTableStatus {
	f.revisionCalls++
	return []rows.NodeTableStatus{{Node: "n1", Known: true, Revision: maxPageRows + 5}, {Node: "n2", Known: true, Revision: maxPageRows + 3}, {Node: "n3"}}
}

func (f *faultyFleet) List(context.Context, identity.TenantID, identity.JobID, int) ([]jobs.Job, error) {
	now := time.Now()
	return []jobs.Job{{ID: "j1", State: jobs.StateRunning, Total: 4, Completed: 1, Deadline: now.Add(time.Minute), ExpectedFinish: now.Add(time.Hour)}}, f.failure
}

func (f *faultyFleet) Ready() error { return f.failure }

func renderPage(t *testing.T, fleet *faultyFleet, server *Server) string {
	t.Helper()
	var text bytes.Buffer
	if err := pageTemplate.Execute(&text, server.buildPage(t.Context(), time.Now())); err != nil {
		t.Fatal(err)
	}
	if fleet.revisionCalls != 1 {
		t.Errorf("Revisions was called %d times, want 1", fleet.revisionCalls)
	}
	return text.String()
}

func TestPageShowsTroubleAndEscapesText(t *testing.T) {
	registry := prometheus.NewRegistry()
	tokens := prometheus.NewHistogram(prometheus.HistogramOpts{Name: "ringstream_gateway_first_token_seconds", Buckets: []float64{0.1, 0.2}})
	registry.MustRegister(tokens)
	for range 50 {
		tokens.Observe(0.05)
		tokens.Observe(0.15)
	}
	fleet := &faultyFleet{failure: errors.New("the store is down")}
	server := &Server{dependencies: Dependencies{Fleet: fleet, Rows: fleet, Engines: fleet, Revisions: fleet, Jobs: fleet, Readiness: fleet, Gatherer: registry}}
	text := renderPage(t, fleet, server)
	for _, want := range []string{
		"not ready: the store is down", "the first 100 of 105", `<td class="warn">suspect</td>`, `<td class="bad">dead</td>`, "no answer",
		`<td class="n warn">2</td>`, `<td class="bad">not reachable</td>`, `<td class="warn">leaving</td>`, "25 %",
		`<i style="width:25%"></i><i class="batch" style="width:50%"></i>`, `<td class="n">190ms</td>`, "&lt;script&gt;",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("the page lacks %s", want)
		}
	}
	if strings.Contains(text, "<script>") || strings.Contains(text, "http://") || strings.Contains(text, "https://") {
		t.Error("the page has unescaped text or external references")
	}
	fleet.failure = nil
	server.expensive.data.jobsError = nil
	server.expensive.data.jobs, _ = fleet.List(t.Context(), "", "", 1)
	if text := renderPage(t, fleet, server); !strings.Contains(text, `<td class="bad">in 1h0m`) || !strings.Contains(text, ">ready<") {
		t.Error("a late job is not marked")
	}
}

func TestQuantileBeyondTheLastBucket(t *testing.T) {
	registry := prometheus.NewRegistry()
	slow := prometheus.NewHistogram(prometheus.HistogramOpts{Name: "ringstream_gateway_next_token_seconds", Buckets: []float64{0.1}})
	registry.MustRegister(slow)
	slow.Observe(3)
	if found := latencySummaries(registry); len(found) != 1 || found[0].P50 != "over 100ms" {
		t.Errorf("got %+v", found)
	}
}
