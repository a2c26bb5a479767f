package quarantine

import (
	"runtime"
	"sync"
	"testing"
	"time"
)

// runModels runs the model with a number of seeds and sums the results.
func runModels(runs int, apart bool, newDetector func() detector) modelResult {
	return runModelsOf(runs, func(seed uint64) *model { return newModel(seed, apart, newDetector) })
}

// runModelsWithItems runs the model with items.
func runModelsWithItems(runs int, recording itemRecording) modelResult {
	return runModelsOf(runs, func(seed uint64) *model {
		made := newModel(seed, true, newLedgerDetector)
		made.itemRecording = recording
		return made
	})
}

func runModelsOf(runs int, newModel func(seed uint64) *model) modelResult {
	results := make([]modelResult, runs)
	var group sync.WaitGroup
	seeds := make(chan int)
	for range runtime.GOMAXPROCS(0) {
		group.Go(func() {
			for seed := range seeds {
				results[seed] = newModel(uint64(seed)).run() //nolint:gosec // counts up from 0
			}
		})
	}
	for seed := range runs {
		seeds <- seed
	}
	close(seeds)
	group.Wait()
	var sum modelResult
	for _, result := range results {
		sum.innocentsRefused += result.innocentsRefused
		sum.innocentsServed += result.innocentsServed
		sum.innocentsFailed += result.innocentsFailed
		sum.guiltyRuns += result.guiltyRuns
		sum.itemsServed += result.itemsServed
		sum.lateRuns += result.lateRuns
		sum.maxLate = max(sum.maxLate, result.maxLate)
	}
	return sum
}

func newLedgerDetector() detector { return ledgerDetector{NewLedger(DefaultConfig())} }

func newCountDetector(ownOnly bool) func() detector {
	return func() detector { return countDetector{ownOnly: ownOnly, engines: make(map[Digest]map[uint64]bool)} }
}

// TestBoundHoldsInTheModel checks that the ledger keeps the bound and refuses no innocent
// request. As a check of the model, a count at each node must break the bound, and a count over
// all nodes must refuse innocent requests.
func TestBoundHoldsInTheModel(t *testing.T) {
	ledger := runModels(*modelRuns, true, newLedgerDetector)
	t.Logf("ledger, suspects apart: %+v", ledger)
	if ledger.maxLate > maxLateRuns || ledger.innocentsRefused > 0 {
		t.Errorf("late runs of one content %d, want %d at most; innocent requests refused %d, want none", ledger.maxLate, maxLateRuns, ledger.innocentsRefused)
	}
	naiveRuns := min(*modelRuns, 50)
	perNode := runModels(naiveRuns, false, newCountDetector(true))
	t.Logf("count at each node: %+v", perNode)
	if perNode.maxLate <= maxLateRuns {
		t.Error("a count at each node keeps the bound too, so the model does not exercise it")
	}
	overAll := runModels(naiveRuns, false, newCountDetector(false))
	t.Logf("count over all nodes: %+v", overAll)
	if overAll.innocentsRefused == 0 {
		t.Error("a count over all nodes refuses no innocent request, so the model does not exercise that case")
	}
}

// BenchmarkModel compares detectors and configurations. It reports innocent requests refused
// and served, runs of guilty requests, and the maximum number of runs of one content that began
// more than agreementTime after its third crash. DefaultConfig and docs/decisions quote its
// figures.
func BenchmarkModel(b *testing.B) {
	with := func(change func(*Config)) func() detector {
		config := DefaultConfig()
		change(&config)
		return func() detector { return ledgerDetector{NewLedger(config)} }
	}
	for _, way := range []struct {
		name  string
		apart bool
		make  func() detector
	}{
		{"default", true, newLedgerDetector},
		{"not apart", false, newLedgerDetector},
		{"block at 3", true, with(func(c *Config) { c.CrashesToBlock = 3 })},
		{"no waves, block at 3", true, with(func(c *Config) { c.WaveWindow = -1; c.CrashesToBlock = 3 })},
		{"no waves, block at 4", true, with(func(c *Config) { c.WaveWindow = -1; c.CrashesToBlock = 4 })},
		{"waves of 250 ms", true, with(func(c *Config) { c.WaveWindow = 250 * time.Millisecond })},
		{"count over all nodes", false, newCountDetector(false)},
		{"count at each node", false, newCountDetector(true)},
	} {
		b.Run(way.name, func(b *testing.B) {
			for b.Loop() {
				sum := runModels(*modelRuns, way.apart, way.make)
				b.ReportMetric(float64(sum.innocentsRefused), "refused")
				b.ReportMetric(float64(sum.innocentsServed), "served")
				b.ReportMetric(float64(sum.guiltyRuns), "guilty-runs")
				b.ReportMetric(float64(sum.maxLate), "most-late-runs")
			}
		})
	}
}
