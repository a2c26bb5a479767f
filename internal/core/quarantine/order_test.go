package quarantine

import (
	"testing"
	"time"
)

// TestOrderCountsBesideCrashes has an operator block a content that no engine ended under, and
// one that is blocked by its crashes, and lift the first.
func TestOrderCountsBesideCrashes(t *testing.T) {
	now := time.Unix(1000, 0)
	ledger := NewLedger(DefaultConfig())
	innocent, guilty := Content{Host: "a"}.Digest(), Content{Host: "b"}.Digest()
	if !ledger.Empty() || ledger.Verdict(innocent, now).Blocked {
		t.Fatal("something is known")
	}
	for engine := range uint64(5) {
		ledger.Note(Crash{Content: guilty, Engine: engine, Age: time.Duration(engine) * time.Second}, now)
	}
	if !ledger.Order(Order{Content: innocent, Version: 5, Left: time.Minute}, now) || !ledger.Order(Order{Content: guilty, Version: 6, Left: time.Hour}, now) {
		t.Error("orders are no news")
	}
	for _, old := range []int64{4, 5} {
		if ledger.Order(Order{Content: innocent, Version: old}, now) {
			t.Errorf("an order of version %d counts after one of 5", old)
		}
	}
	for _, test := range []struct {
		name    string
		content Digest
		after   time.Duration
		blocked bool
		ordered bool
	}{
		{"while the operator's block lasts", innocent, time.Minute - 1, true, true},
		{"at its end", innocent, time.Minute, false, false},
		{"by crashes and an operator", guilty, time.Minute, true, true},
		{"by the operator alone, after the crashes", guilty, 45 * time.Minute, true, true},
		{"after both", guilty, time.Hour, false, false},
	} {
		verdict := ledger.Verdict(test.content, now.Add(test.after))
		if verdict.Blocked != test.blocked || verdict.Ordered != test.ordered || (verdict.Blocked && !verdict.Until.After(now.Add(test.after))) {
			t.Errorf("%s: %+v", test.name, verdict)
		}
	}
	if blocked := ledger.Blocked(now); len(blocked) != 2 {
		t.Errorf("%d contents are blocked", len(blocked))
	}
	ledger.Order(Order{Content: innocent, Version: 7}, now)
	if ledger.Verdict(innocent, now).Blocked {
		t.Error("the block was not lifted")
	}
	ledger.Expire(now.Add(2 * time.Hour))
	if !ledger.Empty() {
		t.Error("it is not forgotten")
	}
}
