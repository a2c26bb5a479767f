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

// TestRowsOfTheLandedBuildAreRead decodes the rows that the landed build has written, and checks
// each field. During a rolling replacement, nodes of two builds share one store. A build that
// cannot read the rows of the other would drop its jobs, consider its nodes dead, or let its
// blocked contents crash engines again.
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
		t.Fatal("the heartbeat row is not decoded")
	}
	wantSign := heartbeatRow{Name: "n1", Zone: "z1", Started: 9, Count: 3, Peer: "127.0.0.1:9", Capacity: 0.5, Slowness: 1}
	if difference := cmp.Diff(wantSign, node.heartbeat); difference != "" {
		t.Errorf("the heartbeat row: %s", difference)
	}
	if len(known.pendingCrashes) != 2 || known.pendingCrashes[0].crash.Engine != 42 || known.pendingCrashes[1].crash.Age != 2*time.Second || !known.pendingCrashes[1].crash.Excused {
		t.Errorf("the crashes: %+v", known.pendingCrashes)
	}
	if seen := known.countQueue(tenantQueue{route: "batch", tenant: "tenant1"}); seen.tokens != 10 || known.quotaVersions["batch"] != 14 {
		t.Errorf("the queue: %+v, rows %v", seen, known.quotaVersions)
	}
}
