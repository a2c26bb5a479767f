package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// noteItemCrashes records that engines ended while they ran an item, one a second.
func noteItemCrashes(ledger *Ledger, from, count uint64, item string) {
	for engine := from; engine < from+count; engine++ {
		ledger.RecordCrash(Crash{Content: contentNamed(item).Item(), Engine: engine}, start.Add(time.Duration(engine)*time.Second))
	}
}

// Guards against an item that is blocked by crashes under it, or listed as blocked.
func TestItemIsNeverBlocked(t *testing.T) {
	ledger := NewLedger(DefaultConfig())
	noteItemCrashes(ledger, 0, 50, "unlucky")
	identity := Identity{Content: contentNamed("unlucky")}
	if verdict, _ := ledger.IdentityVerdict(identity, later); verdict.Blocked || verdict.Crashes != 0 {
		t.Errorf("a request with the item's content: %+v", verdict)
	}
	if verdict := ledger.Verdict(identity.Content.Item(), later); verdict.Blocked {
		t.Errorf("the item: %+v", verdict)
	}
	if verdict, _ := ledger.OrderVerdict(identity, later); verdict.Blocked {
		t.Errorf("the operators' verdict: %+v", verdict)
	}
	if blocked := ledger.Blocked(later); len(blocked) != 0 {
		t.Errorf("blocked: %+v", blocked)
	}
}

// Guards against an item that is held since requests with its content, or with a part of its prompt, crash
// engines.
func TestItemIsNotBlockedByRequests(t *testing.T) {
	ledger := NewLedger(DefaultConfig())
	part := Part{ID: "p"}.Digest()
	for engine := range uint64(8) {
		at := start.Add(time.Duration(engine) * time.Second)
		ledger.RecordCrash(Crash{Content: contentNamed("guilty"), Engine: engine}, at)
		ledger.RecordCrash(Crash{Content: contentNamed(fmt.Sprint(engine)), Engine: 100 + engine}, at.Add(300*time.Millisecond))
		ledger.RecordCrash(Crash{Content: part, Engine: 100 + engine}, at.Add(300*time.Millisecond))
	}
	identity := Identity{Content: contentNamed("guilty"), Parts: []Digest{part}}
	if !ledger.Verdict(identity.Content, later).Blocked || !ledger.Verdict(part, later).Blocked {
		t.Fatal("requests are not blocked")
	}
	if verdict, on := ledger.OrderVerdict(identity, later); verdict.Blocked {
		t.Errorf("the operators' verdict on %v: %+v", on, verdict)
	}
	if crashes, _ := ledger.ItemCrashes(identity.Content); crashes != 0 {
		t.Errorf("%d crashes under the item", crashes)
	}
	for _, ordered := range identity.Digests() {
		ledger.Order(Order{Content: ordered, Version: 1, Left: time.Hour}, later)
		if verdict, on := ledger.OrderVerdict(identity, later); !verdict.Blocked || on != ordered || !verdict.Until.Equal(later.Add(time.Hour)) {
			t.Errorf("an operator's block of %v: got %+v on %v", ordered, verdict, on)
		}
		ledger.Order(Order{Content: ordered, Version: 2}, later)
	}
}

// Guards against an item that keeps running while engines end and hides the request that crashes them.
func TestItemDoesNotHideAGuiltyRequest(t *testing.T) {
	for _, earlier := range []uint64{0, 1, 4, 50} {
		ledger := NewLedger(DefaultConfig())
		noteItemCrashes(ledger, 100, earlier, "unlucky")
		for engine := range uint64(4) {
			if ledger.Verdict(contentNamed("guilty"), later).Blocked {
				t.Fatalf("blocked after %d engines", engine)
			}
			noteCrashes(ledger, engine, "guilty")
			noteItemCrashes(ledger, engine, 1, "unlucky")
		}
		if !ledger.Verdict(contentNamed("guilty"), later).Blocked {
			t.Errorf("%d earlier crashes under the item: a request that crashed 4 engines beside it is not blocked", earlier)
		}
	}
}

// Guards against a wave of ends that is not seen as one where engines ran only items.
func TestEndsUnderItemsCountAsAWave(t *testing.T) {
	ledger := NewLedger(DefaultConfig())
	for wave := range uint64(6) {
		at := start.Add(time.Duration(wave) * 4 * time.Second)
		for engine := range uint64(6) {
			ledger.RecordCrash(Crash{Content: contentNamed(fmt.Sprint("item", engine)).Item(), Engine: wave*6 + engine}, at)
		}
		ledger.RecordCrash(Crash{Content: contentNamed("online"), Engine: wave * 6}, at)
	}
	if verdict := ledger.Verdict(contentNamed("online"), later); verdict.Blocked {
		t.Errorf("got %+v", verdict)
	}
}

// Guards against an item that goes on to pause after it has been complete, or by crashes of long ago alone.
func TestItemCrashesCountUntilItIsComplete(t *testing.T) {
	ledger := NewLedger(DefaultConfig())
	noteItemCrashes(ledger, 0, 3, "unlucky")
	if crashes, last := ledger.ItemCrashes(contentNamed("unlucky")); crashes != 3 || !last.Equal(start.Add(2*time.Second)) {
		t.Errorf("got %d, the last at %v", crashes, last)
	}
	ledger.Excuse(contentNamed("unlucky").Item(), later)
	if crashes, last := ledger.ItemCrashes(contentNamed("unlucky")); crashes != 0 || !last.IsZero() {
		t.Errorf("after a complete run: got %d, the last at %v", crashes, last)
	}
}

func TestItemPauseGrowsUpToItsBound(t *testing.T) {
	for crashes, want := range map[int]time.Duration{
		0: firstItemPause, 1: firstItemPause, 2: 500 * time.Millisecond, 3: time.Second, 4: 2 * time.Second, 5: 4 * time.Second, 6: 4 * time.Second, 1 << 40: 4 * time.Second,
	} {
		if got := ItemPause(crashes); got != want {
			t.Errorf("after %d crashes: %v, want %v", crashes, got, want)
		}
	}
}

// Guards against digests of contents that are taken for those of items or parts.
func TestDigestsOfContentsAreNotThoseOfItemsOrParts(t *testing.T) {
	digest := contentNamed("a")
	if digest.IsItem() || !digest.Item().IsItem() || digest.Item().IsPart() || digest.Item() == contentNamed("b").Item() {
		t.Errorf("%v, its item's %v", digest, digest.Item())
	}
}
