package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	_ "ringstream.example/ringstream/internal/seedtest" // the same values at every run
)

var start = time.Unix(1000, 0)

// noteCrashes records that an engine crashed while it ran the contents. Engine n ends n
// seconds after start.
func noteCrashes(ledger *Ledger, from uint64, contents ...string) {
	for _, name := range contents {
		ledger.RecordCrash(Crash{Content: contentNamed(name), Engine: from}, start.Add(time.Duration(from)*time.Second))
	}
}

var later = start.Add(time.Minute)

func TestFourthEngineBlocksAndOthersAreNot(t *testing.T) {
	ledger := NewLedger(DefaultConfig())
	for engine := range uint64(4) {
		if ledger.Verdict(contentNamed("guilty"), later).Blocked {
			t.Fatalf("blocked after %d engines", engine)
		}
		noteCrashes(ledger, engine, "guilty", fmt.Sprint("innocent", engine), "often beside")
		if engine == 2 {
			ledger.Excuse(contentNamed("often beside"), later)
		}
	}
	if got := ledger.Verdict(contentNamed("guilty"), later); !got.Blocked || got.Crashes != 4 {
		t.Errorf("guilty: got %+v", got)
	}
	for _, name := range []string{"innocent0", "innocent3", "often beside", "never seen"} {
		if got := ledger.Verdict(contentNamed(name), later); got.Blocked {
			t.Errorf("%s: got %+v", name, got)
		}
	}
	if blocked := ledger.Blocked(later); len(blocked) != 1 || len(blocked[0].Crashes) != 4 {
		t.Errorf("blocked contents: got %+v, want one with 4 crashes", blocked)
	}
}

// TestCompanionOfAGuiltyContentIsNotBlocked has one content crash five engines while another
// runs at all of them but the first.
func TestCompanionOfAGuiltyContentIsNotBlocked(t *testing.T) {
	ledger := NewLedger(DefaultConfig())
	noteCrashes(ledger, 0, "guilty")
	for engine := range uint64(4) {
		noteCrashes(ledger, engine+1, "guilty", "companion")
	}
	if got := ledger.Verdict(contentNamed("companion"), later); got.Blocked || got.Crashes != 4 {
		t.Errorf("companion: got %+v", got)
	}
	if got := ledger.Verdict(contentNamed("guilty"), later); !got.Blocked {
		t.Errorf("guilty: got %+v", got)
	}
}

// TestPairThatCrashesTogetherIsBlockedLater has two contents crash the same engines, so that
// neither has more evidence against it than the other.
func TestPairThatCrashesTogetherIsBlockedLater(t *testing.T) {
	ledger := NewLedger(DefaultConfig())
	for engine := range uint64(5) {
		if ledger.Verdict(contentNamed("one"), later).Blocked {
			t.Fatalf("blocked after %d engines", engine)
		}
		noteCrashes(ledger, engine, "one", "other")
	}
	for _, name := range []string{"one", "other"} {
		if !ledger.Verdict(contentNamed(name), later).Blocked {
			t.Errorf("%s is not blocked after five engines", name)
		}
	}
}

// TestWaveOfEndsBlocksNobody has half of twelve engines end at once, six times. One request
// is at one of these engines each time.
func TestWaveOfEndsBlocksNobody(t *testing.T) {
	ledger := NewLedger(DefaultConfig())
	for wave := range uint64(6) {
		at := start.Add(time.Duration(wave) * time.Second)
		for engine := range uint64(6) {
			ledger.RecordCrash(Crash{Content: contentNamed(fmt.Sprint("other", wave, engine)), Engine: wave*6 + engine}, at)
		}
		ledger.RecordCrash(Crash{Content: contentNamed("unlucky"), Engine: wave * 6}, at)
	}
	if got := ledger.Verdict(contentNamed("unlucky"), later); got.Blocked || got.Crashes != 6 {
		t.Errorf("got %+v", got)
	}
}

// TestLongRequestsDoNotExplainWavesToEachOther guards against a harmless item being blocked
// after several waves of crashes. Six times, half of twelve engines end at once. Items run for
// seconds, so some are hit by three waves and one by four. When the items hit three times
// counted as an explanation of those ends, no end of a wave was left to indicate a common
// cause: an item was blocked for 14 s with crashes=4 and evidence=3.5, because its crashes
// weighed 1, 0.5, 1 and 1 where 0.2 each is right for waves of six.
func TestLongRequestsDoNotExplainWavesToEachOther(t *testing.T) {
	ledger := NewLedger(DefaultConfig())
	for wave := range uint64(6) {
		at := start.Add(time.Duration(wave) * 4 * time.Second)
		for engine := range uint64(6) {
			for i := range 12 {
				ledger.RecordCrash(Crash{Content: contentNamed(fmt.Sprint("short", wave, engine, i)), Engine: wave*6 + engine}, at)
			}
			if wave < 3 {
				ledger.RecordCrash(Crash{Content: contentNamed(fmt.Sprint("long", engine)), Engine: wave*6 + engine}, at)
			}
		}
		if wave < 4 {
			ledger.RecordCrash(Crash{Content: contentNamed("longest"), Engine: wave * 6}, at)
		}
	}
	if got := ledger.Verdict(contentNamed("longest"), later); got.Blocked || got.Crashes != 4 || got.Evidence > 1 {
		t.Errorf("got %+v", got)
	}
}

func TestExcuseCountsFromThenOn(t *testing.T) {
	ledger := NewLedger(DefaultConfig())
	for engine := range uint64(4) {
		noteCrashes(ledger, engine, "guilty")
	}
	if got := len(ledger.Excuse(contentNamed("guilty"), later)); got != 4 {
		t.Errorf("%d crashes were excused", got)
	}
	for engine := range uint64(4) { // reported again by a node that does not know of the excuse
		noteCrashes(ledger, engine, "guilty")
	}
	if got := ledger.Verdict(contentNamed("guilty"), later); got.Crashes != 0 || got.Blocked {
		t.Errorf("excused: got %+v", got)
	}
	for engine := range uint64(4) {
		noteCrashes(ledger, 10+engine, "guilty")
	}
	if got := ledger.Verdict(contentNamed("guilty"), later); got.Crashes != 4 || !got.Blocked {
		t.Errorf("after four more: got %+v", got)
	}
}

func TestBlockEndsAndIsForgotten(t *testing.T) {
	config := DefaultConfig()
	ledger := NewLedger(config)
	for engine := range uint64(4) {
		noteCrashes(ledger, engine, "guilty")
	}
	end := start.Add(3*time.Second + config.Retention)
	if !ledger.Verdict(contentNamed("guilty"), end.Add(-time.Millisecond)).Blocked || ledger.Verdict(contentNamed("guilty"), end).Blocked {
		t.Error("the block does not last until Retention after the newest crash")
	}
	ledger.Expire(end.Add(time.Millisecond))
	if contents, engines := ledger.Sizes(); contents+engines != 0 {
		t.Errorf("%d contents and %d engines are left", contents, engines)
	}
}

func TestLedgerIsBoundedAndKeepsTheGravest(t *testing.T) {
	config := DefaultConfig()
	config.MaxContents = 64
	ledger := NewLedger(config)
	for engine := range uint64(4) {
		noteCrashes(ledger, engine, "guilty")
	}
	for engine := range uint64(1000) {
		noteCrashes(ledger, 10+engine, fmt.Sprint("innocent", engine))
	}
	if contents, engines := ledger.Sizes(); contents > config.MaxContents || engines > config.MaxContents+4 {
		t.Errorf("%d contents and %d engines are kept", contents, engines)
	}
	if !ledger.Verdict(contentNamed("guilty"), later).Blocked {
		t.Error("the blocked content was evicted")
	}
	crashes := ledger.MostFrequentCrashes(3, time.Hour, later)
	if len(crashes) != 3 || slices.ContainsFunc(crashes, func(crash Crash) bool { return crash.Content != contentNamed("guilty") }) {
		t.Errorf("the gravest are %+v", crashes)
	}
}

// TestNodesThatKnowTheSameJudgeAlike reports the same crashes to two ledgers in different
// orders, to one of them twice, and then reports one ledger's crashes to the other.
func TestNodesThatKnowTheSameJudgeAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		var crashes []Crash
		for range rapid.IntRange(0, 40).Draw(t, "crashes") {
			crashes = append(crashes, Crash{
				Content: contentNamed(fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "content"))), Engine: uint64(rapid.IntRange(0, 12).Draw(t, "engine")),
				Age: time.Duration(rapid.IntRange(0, 500).Draw(t, "age")) * time.Millisecond, Excused: rapid.IntRange(0, 9).Draw(t, "excused") == 0,
			})
		}
		one, other := NewLedger(DefaultConfig()), NewLedger(DefaultConfig())
		for _, crash := range crashes {
			one.RecordCrash(crash, now)
		}
		for _, crash := range rapid.Permutation(append(slices.Clone(crashes), crashes...)).Draw(t, "order") {
			other.RecordCrash(crash, now)
		}
		for i := range 5 {
			content := contentNamed(fmt.Sprint(i))
			if difference := cmp.Diff(one.Verdict(content, now), other.Verdict(content, now), cmpopts.EquateApprox(0, 1e-9)); difference != "" {
				t.Fatal(difference)
			}
			for _, crash := range one.Crashes(content, now) {
				if other.RecordCrash(crash, now) {
					t.Fatalf("%+v was reported as new to a ledger that knows it", crash)
				}
			}
		}
	})
}

// TestStaleCrashIsNotTaken checks that a crash older than Retention is ignored; it would
// never be removed.
func TestStaleCrashIsNotTaken(t *testing.T) {
	ledger := NewLedger(DefaultConfig())
	if ledger.RecordCrash(Crash{Content: contentNamed("old"), Engine: 1, Age: DefaultConfig().Retention + time.Second}, later) || !ledger.Empty() {
		t.Error("a crash older than Retention was recorded")
	}
}

func TestDigestAsKey(t *testing.T) {
	digest := contentNamed("a")
	if got, err := ParseDigest(digest.Key()); err != nil || got != digest {
		t.Errorf("got %s, %v", got, err)
	}
	for _, text := range []string{"", "zz", digest.String(), digest.Key() + "00"} {
		if _, err := ParseDigest(text); err == nil {
			t.Errorf("%q was parsed as a digest", text)
		}
	}
}

func BenchmarkVerdictOfAnInnocentContent(b *testing.B) {
	ledger := NewLedger(DefaultConfig())
	for engine := range uint64(200) {
		for i := range 17 {
			noteCrashes(ledger, engine, fmt.Sprint(engine, i))
		}
	}
	content := contentNamed("another")
	for b.Loop() {
		_ = ledger.Verdict(content, later)
	}
}

// BenchmarkVerdictInAStorm measures the verdict on a content that crashed four engines, where
// 200 engines have ended in waves of 30 with 17 contents each, and about half of the contents
// ran at a second engine.
func BenchmarkVerdictInAStorm(b *testing.B) {
	ledger := NewLedger(DefaultConfig())
	for engine := range uint64(200) {
		at := start.Add(time.Duration(engine/30) * time.Second)
		for i := range uint64(17) {
			ledger.RecordCrash(Crash{Content: contentNamed(fmt.Sprint((engine*17 + i) % 2300)), Engine: engine}, at)
		}
		if engine%50 == 0 {
			ledger.RecordCrash(Crash{Content: contentNamed("guilty"), Engine: engine}, at)
		}
	}
	for b.Loop() {
		_ = ledger.Verdict(contentNamed("guilty"), later)
	}
}
