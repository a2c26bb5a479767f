package quarantine

import (
	"testing"
	"time"
)

// TestOrderCountsBesideCrashes has an operator block two contents, one without crashes and
// one that its crashes block already, and then lift the block of the first.
func TestOrderCountsBesideCrashes(t *testing.T) {
	now := time.Unix(1000, 0)
	ledger := NewLedger(DefaultConfig())
	innocent, guilty := Content{Host: "a"}.Digest(), Content{Host: "b"}.Digest()
	if !ledger.Empty() || ledger.Verdict(innocent, now).Blocked {
		t.Fatal("a new ledger is not empty")
	}
	for engine := range uint64(5) {
		ledger.RecordCrash(Crash{Content: guilty, Engine: engine, Age: time.Duration(engine) * time.Second}, now)
	}
	if !ledger.Order(Order{Content: innocent, Version: 5, Left: time.Minute}, now) || !ledger.Order(Order{Content: guilty, Version: 6, Left: time.Hour}, now) {
		t.Error("a first order was not reported as new")
	}
	for _, old := range []int64{4, 5} {
		if ledger.Order(Order{Content: innocent, Version: old}, now) {
			t.Errorf("an order of version %d was applied after one of version 5", old)
		}
	}
	for _, test := range []struct {
		name    string
		content Digest
		after   time.Duration
		blocked bool
		ordered bool
	}{
		{"during the operator's block", innocent, time.Minute - 1, true, true},
		{"at the end of the operator's block", innocent, time.Minute, false, false},
		{"by crashes and an operator", guilty, time.Minute, true, true},
		{"by the operator alone, after the crashes", guilty, 45 * time.Minute, true, true},
		{"after both", guilty, time.Hour, false, false},
	} {
		verdict := ledger.Verdict(test.content, now.Add(test.after))
		if verdict.Blocked != test.blocked || verdict.Ordered != test.ordered || (verdict.Blocked && !verdict.Until.After(now.Add(test.after))) {
			t.Errorf("%s: unexpected verdict %+v", test.name, verdict)
		}
	}
	if blocked := ledger.Blocked(now); len(blocked) != 2 {
		t.Errorf("%d contents are blocked, want 2", len(blocked))
	}
	ledger.Order(Order{Content: innocent, Version: 7}, now)
	if ledger.Verdict(innocent, now).Blocked {
		t.Error("the block was not lifted")
	}
	ledger.Expire(now.Add(2 * time.Hour))
	if !ledger.Empty() {
		t.Error("the ledger is not empty after all records expired")
	}
}
