package batch

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/passjob"
	"ringstream.example/ringstream/internal/passthrough"
)

// landedBuild names the build that wrote the rows in testdata/landed.
const landedBuild = "6e50d88"

func landedValue(t *testing.T, name string) []byte {
	t.Helper()
	value, err := os.ReadFile("testdata/landed/" + landedBuild + "-" + name)
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// Nodes of two builds run side by side while machines are replaced one after the other, before one
// store. A build that cannot read what the other wrote drops its jobs, takes its nodes for dead, or
// lets its contents end engines anew. So the rows that the landed build has written are read here,
// each with all that it tells.
func TestRowsOfTheLandedBuildAreRead(t *testing.T) {
	known := newView(DefaultConfig(), zap.NewNop())
	content := strings.Repeat("ab", 16)
	known.Change([]passthrough.Row{
		{Table: tableJobs, Part: known.config.shard("job1"), Key: "job1", Value: landedValue(t, "record"), Version: 11},
		{Table: tableJobs, Part: partNodes, Key: "n1/life1", Value: landedValue(t, "sign"), Version: 12},
		{Table: tableJobs, Part: partCrashes, Key: content + "/n1/life1", Value: landedValue(t, "crashes"), Version: 13},
		{Table: tableJobs, Part: partQuotas, Key: "batch", Value: landedValue(t, "quota"), Version: 14},
	})
	job, _ := known.job("job1")
	wantJob := passjob.Record{
		Format: 1, ID: "job1", Tenant: "tenant1", Route: "batch", Host: "h.example",
		AcceptedAt: 5 * time.Second, Due: 20 * time.Second, Expiry: time.Minute,
		Items:  []passjob.Item{{ID: "item0", Tokens: 10}, {ID: "item1", Tokens: 20, State: passjob.Succeeded}},
		Listed: 1, Owner: "n1/life1", Epoch: 1, Object: "job-job1", BodyBytes: 77, Commit: "commit1",
	}
	if difference := cmp.Diff(wantJob, job.record); difference != "" {
		t.Errorf("the job's record: %s", difference)
	}
	node := known.nodes["n1/life1"]
	if node == nil {
		t.Fatal("the sign of life is not read")
	}
	wantSign := nodeSign{Name: "n1", Zone: "z1", Started: 9, Count: 3, Peer: "127.0.0.1:9", Capacity: 0.5, Slowness: 1}
	if difference := cmp.Diff(wantSign, node.sign); difference != "" {
		t.Errorf("the sign of life: %s", difference)
	}
	if len(known.unheard) != 2 || known.unheard[0].crash.Engine != 42 || known.unheard[1].crash.Age != 2*time.Second || !known.unheard[1].crash.Excused {
		t.Errorf("the crashes: %+v", known.unheard)
	}
	if seen := known.count(tenantQueue{route: "batch", tenant: "tenant1"}); seen.tokens != 10 || known.quotas["batch"] != 14 {
		t.Errorf("the queue: %+v, rows %v", seen, known.quotas)
	}
}
