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

// note has engines end under contents, a second apart.
func note(ledger *Ledger, from uint64, contents ...string) {
	for _, name := range contents {
		ledger.Note(Crash{Content: contentNamed(name), Engine: from}, start.Add(time.Duration(from)*time.Second))
	}
}

var later = start.Add(time.Minute)

func TestFourthEngineBlocksAndOthersAreNot(t *testing.T) {
	ledger := NewLedger(DefaultConfig())
	for engine := range uint64(4) {
		if ledger.Verdict(contentNamed("guilty"), later).Blocked {
			t.Fatalf("blocked after %d engines", engine)
		}
		note(ledger, engine, "guilty", fmt.Sprint("innocent", engine), "often beside")
		if engine == 2 {
			ledger.Excuse(contentNamed("often beside"), later)
		}
	}
	if got := ledger.Verdict(contentNamed("guilty"), later); !got.Blocked || got.Crashes != 4 {
		t.Errorf("got %+v", got)
	}
	for _, name := range []string{"innocent0", "innocent3", "often beside", "never seen"} {
		if got := ledger.Verdict(contentNamed(name), later); got.Blocked {
			t.Errorf("%s: got %+v", name, got)
		}
	}
	if blocked := ledger.Blocked(later); len(blocked) != 1 || len(blocked[0].Crashes) != 4 {
		t.Errorf("got %+v", blocked)
	}
}

// TestCompanionOfAGuiltyContentIsNotBlocked has one content end four engines, and another
// be there at all of them but the first.
func TestCompanionOfAGuiltyContentIsNotBlocked(t *testing.T) {
	ledger := NewLedger(DefaultConfig())
	note(ledger, 0, "guilty")
	for engine := range uint64(4) {
		note(ledger, engine+1, "guilty", "companion")
	}
	if got := ledger.Verdict(contentNamed("companion"), later); got.Blocked || got.Crashes != 4 {
		t.Errorf("companion: got %+v", got)
	}
	if got := ledger.Verdict(contentNamed("guilty"), later); !got.Blocked {
		t.Errorf("guilty: got %+v", got)
	}
}

// TestPairThatCrashesTogetherIsBlockedLater: neither has more against it than the other.
func TestPairThatCrashesTogetherIsBlockedLater(t *testing.T) {
	ledger := NewLedger(DefaultConfig())
	for engine := range uint64(5) {
		if ledger.Verdict(contentNamed("one"), later).Blocked {
			t.Fatalf("blocked after %d engines", engine)
		}
		note(ledger, engine, "one", "other")
	}
	for _, name := range []string{"one", "other"} {
		if !ledger.Verdict(contentNamed(name), later).Blocked {
			t.Errorf("%s is not blocked after five engines", name)
		}
	}
}

// TestWaveOfEndsBlocksNobody has half of twelve engines end at once, six times, each time
// with one request at all of its engines in turn.
func TestWaveOfEndsBlocksNobody(t *testing.T) {
	ledger := NewLedger(DefaultConfig())
	for wave := range uint64(6) {
		at := start.Add(time.Duration(wave) * time.Second)
		for engine := range uint64(6) {
			ledger.Note(Crash{Content: contentNamed(fmt.Sprint("other", wave, engine)), Engine: wave*6 + engine}, at)
		}
		ledger.Note(Crash{Content: contentNamed("unlucky"), Engine: wave * 6}, at)
	}
	if got := ledger.Verdict(contentNamed("unlucky"), later); got.Blocked || got.Crashes != 6 {
		t.Errorf("got %+v", got)
	}
}

// TestLongRequestsDoNotExplainWavesToEachOther.
//
// Symptom: an item of a job was blocked for 14 s, though it ran whole when it was let through.
//
// Sequence: six times half of twelve engines end at once. Items run for seconds, so some are hit
// three times, and one four times, each time beside other items.
//
// Cause: the ends of engines at which an item hit three times had run counted as explained by it, so
// that of the six ends of a wave none was left to speak for a common cause.
//
// What settled it: "content blocked" with crashes=4, evidence=3.5; the crashes of all nodes put into one
// ledger gave weights of 1, 0.5, 1 and 1 in waves of six, where 0.2 each is due.
func TestLongRequestsDoNotExplainWavesToEachOther(t *testing.T) {
	ledger := NewLedger(DefaultConfig())
	for wave := range uint64(6) {
		at := start.Add(time.Duration(wave) * 4 * time.Second)
		for engine := range uint64(6) {
			for i := range 12 {
				ledger.Note(Crash{Content: contentNamed(fmt.Sprint("short", wave, engine, i)), Engine: wave*6 + engine}, at)
			}
			if wave < 3 {
				ledger.Note(Crash{Content: contentNamed(fmt.Sprint("long", engine)), Engine: wave*6 + engine}, at)
			}
		}
		if wave < 4 {
			ledger.Note(Crash{Content: contentNamed("longest"), Engine: wave * 6}, at)
		}
	}
	if got := ledger.Verdict(contentNamed("longest"), later); got.Blocked || got.Crashes != 4 || got.Evidence > 1 {
		t.Errorf("got %+v", got)
	}
}

func TestExcuseCountsFromThenOn(t *testing.T) {
	ledger := NewLedger(DefaultConfig())
	for engine := range uint64(4) {
		note(ledger, engine, "guilty")
	}
	if got := len(ledger.Excuse(contentNamed("guilty"), later)); got != 4 {
		t.Errorf("%d crashes were excused", got)
	}
	for engine := range uint64(4) { // told again by who has not heard of it
		note(ledger, engine, "guilty")
	}
	if got := ledger.Verdict(contentNamed("guilty"), later); got.Crashes != 0 || got.Blocked {
		t.Errorf("excused: got %+v", got)
	}
	for engine := range uint64(4) {
		note(ledger, 10+engine, "guilty")
	}
	if got := ledger.Verdict(contentNamed("guilty"), later); got.Crashes != 4 || !got.Blocked {
		t.Errorf("after four more: got %+v", got)
	}
}

func TestBlockEndsAndIsForgotten(t *testing.T) {
	config := DefaultConfig()
	ledger := NewLedger(config)
	for engine := range uint64(4) {
		note(ledger, engine, "guilty")
	}
	end := start.Add(3*time.Second + config.KeepFor)
	if !ledger.Verdict(contentNamed("guilty"), end.Add(-time.Millisecond)).Blocked || ledger.Verdict(contentNamed("guilty"), end).Blocked {
		t.Error("the block does not last as long as it says")
	}
	ledger.Expire(end.Add(time.Millisecond))
	if contents, engines := ledger.Sizes(); contents+engines != 0 {
		t.Errorf("%d contents and %d engines are left", contents, engines)
	}
}

func TestLedgerIsBoundedAndKeepsTheGravest(t *testing.T) {
	config := DefaultConfig()
	config.MostContents = 64
	ledger := NewLedger(config)
	for engine := range uint64(4) {
		note(ledger, engine, "guilty")
	}
	for engine := range uint64(1000) {
		note(ledger, 10+engine, fmt.Sprint("innocent", engine))
	}
	if contents, engines := ledger.Sizes(); contents > config.MostContents || engines > config.MostContents+4 {
		t.Errorf("%d contents and %d engines are kept", contents, engines)
	}
	if !ledger.Verdict(contentNamed("guilty"), later).Blocked {
		t.Error("the blocked content made room for others")
	}
	crashes := ledger.Gravest(3, time.Hour, later)
	if len(crashes) != 3 || slices.ContainsFunc(crashes, func(crash Crash) bool { return crash.Content != contentNamed("guilty") }) {
		t.Errorf("the gravest are %+v", crashes)
	}
}

// TestNodesThatKnowTheSameJudgeAlike tells two ledgers the same crashes in other orders, some
// more than once and some by way of the other ledger.
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
			one.Note(crash, now)
		}
		for _, crash := range rapid.Permutation(append(slices.Clone(crashes), crashes...)).Draw(t, "order") {
			other.Note(crash, now)
		}
		for i := range 5 {
			content := contentNamed(fmt.Sprint(i))
			if difference := cmp.Diff(one.Verdict(content, now), other.Verdict(content, now), cmpopts.EquateApprox(0, 1e-9)); difference != "" {
				t.Fatal(difference)
			}
			for _, crash := range one.Crashes(content, now) {
				if other.Note(crash, now) {
					t.Fatalf("%+v is news to who knows it", crash)
				}
			}
		}
	})
}

// TestStaleCrashIsNotTaken: what is older than what is kept would never go.
func TestStaleCrashIsNotTaken(t *testing.T) {
	ledger := NewLedger(DefaultConfig())
	if ledger.Note(Crash{Content: contentNamed("old"), Engine: 1, Age: DefaultConfig().KeepFor + time.Second}, later) || !ledger.Empty() {
		t.Error("it was taken")
	}
}

func TestDigestAsKey(t *testing.T) {
	digest := contentNamed("a")
	if got, err := ParseDigest(digest.Key()); err != nil || got != digest {
		t.Errorf("got %s, %v", got, err)
	}
	for _, text := range []string{"", "zz", digest.String(), digest.Key() + "00"} {
		if _, err := ParseDigest(text); err == nil {
			t.Errorf("%q is taken for a digest", text)
		}
	}
}

func BenchmarkVerdictOfAnInnocentContent(b *testing.B) {
	ledger := NewLedger(DefaultConfig())
	for engine := range uint64(200) {
		for i := range 17 {
			note(ledger, engine, fmt.Sprint(engine, i))
		}
	}
	content := contentNamed("another")
	for b.Loop() {
		_ = ledger.Verdict(content, later)
	}
}

// BenchmarkVerdictInAStorm judges a content that ended four engines, where 200 engines have
// ended in waves of 30 with 17 contents each, a tenth of which came back twice.
func BenchmarkVerdictInAStorm(b *testing.B) {
	ledger := NewLedger(DefaultConfig())
	for engine := range uint64(200) {
		at := start.Add(time.Duration(engine/30) * time.Second)
		for i := range uint64(17) {
			ledger.Note(Crash{Content: contentNamed(fmt.Sprint((engine*17 + i) % 2300)), Engine: engine}, at)
		}
		if engine%50 == 0 {
			ledger.Note(Crash{Content: contentNamed("guilty"), Engine: engine}, at)
		}
	}
	for b.Loop() {
		_ = ledger.Verdict(contentNamed("guilty"), later)
	}
}
