package emulator

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/backend/httpclient"
)

func withFleet(t *testing.T, test func(t *testing.T, fleet *Fleet, clients *httpclient.Clients)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fleet, _ := startTestFleet(t, nil)
		defer fleet.Close()
		clients, err := fleet.Clients(true)
		if err != nil {
			t.Fatal(err)
		}
		defer clients.Close()
		test(t, fleet, clients)
	})
}

func putTransaction(id, key, value string, version uint64) backend.Transaction {
	return backend.Transaction{
		ID: id, Compares: []backend.Compare{{Key: key, Version: version}},
		Writes: []backend.Write{{Key: key, Value: []byte(value)}},
	}
}

func TestTableComparesAndNeverReusesVersions(t *testing.T) {
	withFleet(t, func(t *testing.T, _ *Fleet, clients *httpclient.Clients) {
		table := clients.Table
		first, err := table.Commit(t.Context(), putTransaction("t1", "k", "one", 0))
		if err != nil || !first.Applied {
			t.Fatalf("first commit: %+v, %v", first, err)
		}
		lost, err := table.Commit(t.Context(), putTransaction("t2", "k", "two", 0))
		if err != nil || lost.Applied || len(lost.Conflicts) != 1 || lost.Conflicts[0].TransactionID != "t1" {
			t.Errorf("commit with a stale version: %+v, %v; want a conflict with t1", lost, err)
		}
		remove := backend.Transaction{ID: "t3", Writes: []backend.Write{{Key: "k", Delete: true}}}
		if result, err := table.Commit(t.Context(), remove); err != nil || !result.Applied {
			t.Errorf("delete: %+v, %v", result, err)
		}
		again, err := table.Commit(t.Context(), putTransaction("t4", "k", "three", 0))
		if err != nil || !again.Applied || again.Versions[0] <= first.Versions[0] {
			t.Errorf("create after the delete: %+v, %v; want a version above the first", again, err)
		}
		record, err := table.Get(t.Context(), "k")
		want := backend.Record{Key: "k", Version: again.Versions[0], TransactionID: "t4", Value: []byte("three")}
		if diff := cmp.Diff(want, record); diff != "" || err != nil {
			t.Errorf("get: error %v, -want +got:\n%s", err, diff)
		}
	})
}

func TestTableListsByPage(t *testing.T) {
	withFleet(t, func(t *testing.T, _ *Fleet, clients *httpclient.Clients) {
		for _, key := range []string{"a/1", "b/1", "b/2", "b/3", "c/1"} {
			if _, err := clients.Table.Commit(t.Context(), putTransaction(key, key, key, 0)); err != nil {
				t.Fatal(err)
			}
		}
		var keys []string
		after := ""
		for {
			page, err := clients.Table.List(t.Context(), "b/", after, 2)
			if err != nil {
				t.Fatal(err)
			}
			for _, record := range page {
				keys = append(keys, record.Key)
			}
			if len(page) < 2 {
				break
			}
			after = page[len(page)-1].Key
		}
		if diff := cmp.Diff([]string{"b/1", "b/2", "b/3"}, keys); diff != "" {
			t.Error(diff)
		}
	})
}

func TestTableFaultsReportTheirEffect(t *testing.T) {
	for name, test := range map[string]struct {
		faults  FaultSettings
		code    backend.ErrorCode
		effect  backend.Effect
		applied bool
	}{
		"outage":       {FaultSettings{Outage: true}, backend.CodeUnavailable, backend.EffectNone, false},
		"lost answer":  {FaultSettings{LoseAnswers: 1}, backend.CodeUnavailable, backend.EffectUnknown, true},
		"lost request": {FaultSettings{LoseRequests: 1}, backend.CodeUnavailable, backend.EffectUnknown, false},
		"hang":         {FaultSettings{Hang: true}, backend.CodeUnavailable, backend.EffectUnknown, false},
		"over rate":    {FaultSettings{RatePerSecond: 0.001}, backend.CodeRateLimited, backend.EffectNone, false},
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, func(t *testing.T, fleet *Fleet, clients *httpclient.Clients) {
				fleet.Table.Faults.Set(test.faults)
				if test.code == backend.CodeRateLimited {
					_, _ = clients.Table.Get(t.Context(), "takes the only place")
				}
				_, err := clients.Table.Commit(t.Context(), putTransaction("t", "k", "v", 0))
				if code, effect := errorCode(err); code != test.code || effect != test.effect {
					t.Errorf("got error %v with effect %v; want %s with effect %v", err, effect, test.code, test.effect)
				}
				if applied := fleet.Table.Record("k").Version > 0; applied != test.applied {
					t.Errorf("transaction applied: %v; want %v", applied, test.applied)
				}
			})
		})
	}
}

func TestAStandInThatIsDownDoesNothing(t *testing.T) {
	withFleet(t, func(t *testing.T, fleet *Fleet, clients *httpclient.Clients) {
		if err := fleet.Kill("table"); err != nil {
			t.Fatal(err)
		}
		_, err := clients.Table.Commit(t.Context(), putTransaction("t", "k", "v", 0))
		if _, effect := errorCode(err); err == nil || effect != backend.EffectNone {
			t.Errorf("commit at a killed table service: %v; want an error with EffectNone", err)
		}
		if err := fleet.Restart("table"); err != nil {
			t.Fatal(err)
		}
		if _, err := clients.Table.Commit(t.Context(), putTransaction("t", "k", "v", 0)); err != nil {
			t.Error(err)
		}
	})
}

func TestObjectsComeBackWhole(t *testing.T) {
	withFleet(t, func(t *testing.T, _ *Fleet, clients *httpclient.Clients) {
		if err := clients.Objects.Put(t.Context(), "jobs/a b/1", []byte("body")); err != nil {
			t.Fatal(err)
		}
		body, err := clients.Objects.Get(t.Context(), "jobs/a b/1")
		if err != nil || string(body) != "body" {
			t.Errorf("get: body %q, error %v", body, err)
		}
		names, err := clients.Objects.List(t.Context(), "jobs/", "", 10)
		if diff := cmp.Diff([]string{"jobs/a b/1"}, names); diff != "" || err != nil {
			t.Errorf("list: error %v, -want +got:\n%s", err, diff)
		}
		if err := clients.Objects.Delete(t.Context(), "jobs/a b/1"); err != nil {
			t.Error(err)
		}
		if _, err := clients.Objects.Get(t.Context(), "jobs/a b/1"); !isCode(err, backend.CodeNotFound) {
			t.Errorf("get of a deleted object: %v; want CodeNotFound", err)
		}
	})
}

func TestTheMachineListLags(t *testing.T) {
	withFleet(t, func(t *testing.T, fleet *Fleet, clients *httpclient.Clients) {
		first, err := clients.Machines.Machines(t.Context(), 0)
		if err != nil || len(first.Machines) != 2 {
			t.Fatalf("first read: %+v, %v; want 2 machines", first, err)
		}
		fleet.Machines.Remove(first.Machines[0].ID)
		time.Sleep(time.Second)
		if same, err := clients.Machines.Machines(t.Context(), first.Version); err != nil || same.Version != first.Version || len(same.Machines) != 0 {
			t.Errorf("within the lag: %+v, %v", same, err)
		}
		time.Sleep(1100 * time.Millisecond)
		if later, err := clients.Machines.Machines(t.Context(), first.Version); err != nil || len(later.Machines) != 1 {
			t.Errorf("after the lag: %+v, %v", later, err)
		}
	})
}

func TestTheOtherSiteRunsAKeyOnce(t *testing.T) {
	withFleet(t, func(t *testing.T, fleet *Fleet, clients *httpclient.Clients) {
		forwarded := backend.SiteRequest{
			Path: "/v1/completions", Body: []byte(`{"model":"fleetlink-llm","prompt":"p","max_tokens":3}`), IdempotencyKey: "key",
		}
		for range 2 {
			response, err := clients.Site.Forward(t.Context(), forwarded)
			if err != nil || response.Status != 200 {
				t.Fatalf("forwarded request: %+v, %v; want status 200", response, err)
			}
			_ = response.Body.Close()
		}
		runs := fleet.Site.Runs()
		if len(runs) != 2 || !runs[0].Hop || runs[0].Repeat || !runs[1].Repeat {
			t.Errorf("runs of the other site: %+v; want two hops, the second a repeat", runs)
		}
	})
}
