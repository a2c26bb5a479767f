package batch

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/passjob"
	"ringstream.example/ringstream/internal/core/passroute"
	"ringstream.example/ringstream/internal/core/quarantine"
	"ringstream.example/ringstream/internal/passthrough"
	"ringstream.example/ringstream/internal/passthrough/relay"
)

// malformedValues are values that no writer of this program stores in any row.
var malformedValues = []string{"", "{", "null", "[]", "7", `"text"`, "{}", "\xff\xfe", `{"id":7,"name":7,"written_at":"x","first":"x"}`}

func TestRowsThatCannotBeReadChangeNothingInTheView(t *testing.T) {
	record := testRecord(2)
	heartbeat, err := json.Marshal(heartbeatRow{Name: "n2", Zone: "z1", Started: 5, Count: 1})
	if err != nil {
		t.Fatal(err)
	}
	content := quarantine.Digest{1}.String()
	for _, value := range malformedValues {
		v := newView(DefaultConfig(), zap.NewNop())
		shard := v.config.shard(record.ID)
		v.Change([]passthrough.Row{
			{Part: shard, Key: record.ID, Value: record.Encode(), Version: 1}, {Part: partNodes, Key: "n2/life", Value: heartbeat, Version: 2},
		})
		v.Change([]passthrough.Row{
			{Part: shard, Key: record.ID, Value: []byte(value), Version: 3},
			{Part: shard, Key: "other", Value: []byte(value), Version: 4},
			{Part: shard, Key: "another", Value: record.Encode(), Version: 5},
			{Part: partNodes, Key: "n2/life", Value: []byte(value), Version: 6},
			{Part: partNodes, Key: "n3/life", Value: []byte(value), Version: 7},
			{Part: partQuotas, Key: "route", Value: []byte(value), Version: 8},
			{Part: partCrashes, Key: value, Value: []byte(value), Version: 9},
			{Part: partCrashes, Key: content + "/n2", Value: []byte(value), Version: 10},
			{Part: partServed, Key: servedKey("pool"), Value: []byte(value), Version: 11},
		})
		if jobs := v.all(); len(jobs) != 1 || jobs[0].version != 1 {
			t.Errorf("%q: jobs %+v", value, jobs)
		}
		if len(v.nodes) != 1 || v.nodes["n2/life"].version != 2 {
			t.Errorf("%q: nodes %+v", value, v.nodes)
		}
		if len(v.pendingCrashes) != 0 || v.quotaVersions["route"] != 8 {
			t.Errorf("%q: crashes %+v, quotas %+v", value, v.pendingCrashes, v.quotaVersions)
		}
		if kept, _ := v.servedState("pool"); !kept.unreadable || kept.version != 11 || len(kept.served) != 0 {
			t.Errorf("%q: software versions %+v", value, kept)
		}
	}
}

func TestInvalidHeartbeatRowsAreRefused(t *testing.T) {
	for _, value := range append([]string{
		`{"name":"n","started":0}`, `{"name":"","started":5}`, `{"name":"n","started":5,"slowness":1e300}`,
		`{"name":"n","started":5,"capacity":-1}`, `{"name":"n","started":"5"}`,
	}, malformedValues...) {
		if heartbeat, err := decodeHeartbeat([]byte(value)); err == nil {
			t.Errorf("%q was read as %+v", value, heartbeat)
		}
	}
	if _, err := decodeHeartbeat([]byte(`{"name":"n","started":5,"later":[]}`)); err != nil {
		t.Error(err)
	}
}

func TestInvalidCrashRowsAreRefused(t *testing.T) {
	for _, value := range []string{
		"", "null", "[]", `{"written_at":-1}`, `{"written_at":1,"crashes":[{"engine":0}]}`, `{"crashes":[{"engine":1,"age":-5}]}`,
		`{"crashes":[{"engine":1,"age":9223372036854775807}]}`, `{"crashes":{}}`,
		`{"written_at":1,"order":{"block_for":-1}}`, `{"written_at":1,"order":{"block_for":604800000000001}}`, `{"written_at":1,"order":[]}`,
	} {
		if row, err := decodeCrashes([]byte(value)); err == nil {
			t.Errorf("%q was read as %+v", value, row)
		}
	}
}

// TestInvalidRowsOfKeptPiecesAreSkipped guards against two faults: a row with a negative index
// crashed the process that took over the job, and a row with a last event but no pieces made the
// item resume without those pieces.
func TestInvalidRowsOfKeptPiecesAreSkipped(t *testing.T) {
	kept := make(map[int]progress)
	whole := `{"last_event":"2","pieces":["a","b"],"first":0}`
	rows := map[string]string{"job1/000000/000000": whole, "job1/-00001/000000": whole, "job1/000002/000000": whole, "job1/x": whole, "job1": whole}
	for key, value := range rows {
		addPartial(kept, passthrough.Row{Key: key, Value: []byte(value)}, 2)
	}
	for _, value := range append([]string{`{"last_event":"5","first":0}`, `{"pieces":["x"],"first":-1}`}, malformedValues...) {
		addPartial(kept, passthrough.Row{Key: "job1/000001/000000", Value: []byte(value)}, 2)
		addPartial(kept, passthrough.Row{Key: "job1/000000/000002", Value: []byte(value)}, 2)
	}
	want := map[int]progress{0: {pieces: []string{"a", "b"}, events: 2, lastEvent: "2"}}
	if diff := cmp.Diff(want, kept, cmp.AllowUnexported(progress{})); diff != "" {
		t.Errorf("kept (-want +got):\n%s", diff)
	}
}

// oneRowStore lists one row. It returns that row to each transaction, and applies none.
type oneRowStore struct {
	passthrough.Rows
	row passthrough.Row
}

// List implements passthrough.Rows.
func (s oneRowStore) List(context.Context, string, string, string, string, int) (passthrough.Snapshot, error) {
	return passthrough.Snapshot{Rows: []passthrough.Row{s.row}, Version: s.row.Version}, nil
}

// Commit implements passthrough.Rows.
func (s oneRowStore) Commit(context.Context, passthrough.Transaction) (passthrough.CommitResult, error) {
	return passthrough.CommitResult{Current: []passthrough.Row{s.row}, Version: s.row.Version}, nil
}

// TestJobWhoseRowCannotBeReadIsNotDenied guards against a row of a later version of this program
// being taken for a missing row: calls about its job were answered with 404, which says that there
// is no such job.
func TestJobWhoseRowCannotBeReadIsNotDenied(t *testing.T) {
	for _, value := range append([]string{fmt.Sprintf(`{"id":"job1","format":%d}`, passjob.RecordFormat+1)}, malformedValues...) {
		service := newTestService(oneRowStore{row: passthrough.Row{Table: tableJobs, Key: "job1", Value: []byte(value), Version: 7}})
		_, _, found, err := service.readRecord(t.Context(), "job1")
		if err == nil || found {
			t.Errorf("%q: found %t, %v", value, found, err)
		}
		if err := unreadableRecord([]passthrough.Row{{Table: tableJobs, Key: "job1", Value: []byte(value), Version: 7}}, "job1"); err == nil {
			t.Errorf("%q: no error for an unreadable record", value)
		}
	}
}

// noHeaders sets no headers.
type noHeaders struct{ passthrough.Headers }

// SetRetryAfter implements passthrough.Headers.
func (noHeaders) SetRetryAfter(http.Header, time.Duration) {}

func TestCallsAboutAJobWhoseRowCannotBeRead(t *testing.T) {
	service := newTestService(oneRowStore{row: passthrough.Row{Table: tableJobs, Key: "job1", Value: []byte("{}"), Version: 7}})
	service.Headers = noHeaders{}
	for _, kind := range []passthrough.JobCallKind{passthrough.ReadResults, passthrough.ReadItem, passthrough.CancelJob} {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		answer := httptest.NewRecorder()
		request := httptest.NewRequestWithContext(ctx, http.MethodGet, "/", nil)
		service.HandleJobCall(answer, request, passthrough.JobCall{Kind: kind, Job: "job1", Item: "i"}, passthrough.Demand{})
		cancel()
		if answer.Code != http.StatusServiceUnavailable {
			t.Errorf("call %d: status %d", kind, answer.Code)
		}
	}
}

// TestSubmitOfJobWithUnreadableRow guards against an unreadable row being taken for a missing row:
// the client was told that the job is not kept, though another node may run it.
func TestSubmitOfJobWithUnreadableRow(t *testing.T) {
	service := newTestService(oneRowStore{row: passthrough.Row{Table: tableJobs, Key: "job1", Value: []byte("{}"), Version: 7}})
	call := &relay.Call{
		Request: httptest.NewRequest(http.MethodPost, "/", nil), Route: &passroute.Route{Name: "batch", Kind: passroute.KindBatch},
		Demand: passthrough.Demand{RequestID: "job1"},
	}
	outcome, newer, err := service.create(t.Context(), creation{call: call, items: []passthrough.Item{{ID: "i"}}})
	if outcome != submitUnknown || newer != nil || err == nil {
		t.Errorf("outcome %s, newer count %v, error %v", outcome, newer, err)
	}
}

// bodyFormat parses a body with one letter for each item.
type bodyFormat struct{ passthrough.JobFormat }

// Items implements passthrough.JobFormat.
func (bodyFormat) Items(body []byte) ([]passthrough.Item, error) {
	var items []passthrough.Item
	for _, letter := range body {
		items = append(items, passthrough.Item{ID: fmt.Sprintf("item%c", letter)})
	}
	return items, nil
}

func TestBodyOfAnotherJobIsNotRun(t *testing.T) {
	service := newTestService(&acceptingStore{})
	service.Format = bodyFormat{}
	for body, want := range map[string]bool{"01": true, "0": false, "012": false, "10": false, "": false} {
		if _, err := service.parseItems([]byte(body), testRecord(2)); (err == nil) != want {
			t.Errorf("body of items %q: %v", body, err)
		}
	}
}

func FuzzRows(f *testing.F) {
	for _, value := range malformedValues {
		f.Add("job1/000000/000000", []byte(value))
	}
	f.Add("job1/-00001/000000", []byte(`{"last_event":"1","pieces":["a"]}`))
	f.Add("job1", testRecord(2).Encode())
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		v := newView(DefaultConfig(), zap.NewNop())
		v.Change([]passthrough.Row{
			{Part: partNodes, Key: key, Value: value, Version: 1},
			{Part: partCrashes, Key: key, Value: value, Version: 1},
			{Part: partQuotas, Key: key, Value: value, Version: 1},
			{Part: partServed, Key: servedKey(key), Value: value, Version: 1},
			{Part: "s00", Key: key, Value: value, Version: 1},
		})
		for _, job := range v.all() {
			if job.record.ID != key || len(job.record.ItemsByPosition()) != job.record.Listed {
				t.Errorf("%q was read as %+v", value, job.record)
			}
		}
		kept := make(map[int]progress)
		addPartial(kept, passthrough.Row{Key: key, Value: value}, 3)
		for index, text := range kept {
			if index < 0 || index >= 3 || text.events != len(text.pieces) || text.events == 0 {
				t.Errorf("index %d: %+v", index, text)
			}
		}
		_, _ = parseTextPosition(key)
	})
}
