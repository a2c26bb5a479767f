// Package report writes report.json and an HTML page with plots for a run, and compares several
// runs. It judges only figures; package checker judges the invariants.
package report

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ringstream.example/ringstream/internal/bench/checker"
	"ringstream.example/ringstream/internal/bench/scenario"
)

// File names of a report.
const (
	FileReport = "report.json"
	FileSeries = "series.json"
	FilePage   = "report.html"
)

// Quantiles are the quantiles of a distribution in milliseconds. They are zero if nothing was
// measured.
type Quantiles struct {
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Count int     `json:"count"`
}

// Online holds the figures that online callers saw.
type Online struct {
	Requests      int       `json:"requests"`
	Completed     int       `json:"completed"`
	RefusedNotRun int       `json:"refused_not_run"`
	Failed        int       `json:"failed"`
	Unknown       int       `json:"unknown"`
	TTFT          Quantiles `json:"ttft_ms"`  // from scheduled arrival to first token
	TPOT          Quantiles `json:"tpot_ms"`  // mean time between tokens of a request
	Added         Quantiles `json:"added_ms"` // time to the first token in excess of a direct call to the engine
}

// Batch holds the figures that batch callers saw.
type Batch struct {
	ItemsAccepted  int       `json:"items_accepted"`
	ItemsCompleted int       `json:"items_completed"`
	ItemsPerSecond float64   `json:"items_per_s"`
	IdleBound      float64   `json:"idle_bound_items_per_s"`
	DeadlineMisses int       `json:"deadline_misses"`
	Preemptions    int       `json:"preemptions"`
	Yield          Quantiles `json:"yield_ms"` // delay of online requests at a full engine until batch work was preempted
}

// Config holds the times until accepted edits were in force on every node.
type Config struct {
	Edits   int     `json:"edits"`
	InForce InForce `json:"in_force_ms"`
}

// InForce holds the time from the acceptance of an edit to the last node.
type InForce struct {
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Control is the cost of a node without load. CPU time and memory are upper bounds, because they
// are measured for the whole process including the stand-ins. The bytes are those that a node sends
// to other nodes.
type Control struct {
	CorePercent    float64 `json:"core_percent"`
	RSSMegabytes   float64 `json:"rss_mb"`
	BytesPerSecond float64 `json:"bytes_per_s"`
}

// Noise is the disturbance by the machine that ran the bench: how often it delayed a step of an
// engine stand-in by more than 20 ms, and the sum of the delays.
type Noise struct {
	LateSteps   int     `json:"late_steps"`
	LateSeconds float64 `json:"late_s"`
}

// Ratios compare the ringstream run with the other runs of the same arrivals.
type Ratios struct {
	HarmTTFT         float64 `json:"harm_ttft_p95"` // relative to online alone
	HarmTPOT         float64 `json:"harm_tpot_p95"`
	BatchOfIdleBound float64 `json:"batch_of_idle_bound"`
	BatchVsNaive     float64 `json:"batch_vs_naive"`
	// NaiveHarmTTFT is the same ratio for the naive reference system.
	NaiveHarmTTFT float64 `json:"naive_harm_ttft_p95"`
	NaiveHarmTPOT float64 `json:"naive_harm_tpot_p95"`
}

// Baselines holds the figures of the other two runs of the same arrivals.
type Baselines struct {
	OnlineAlone Online `json:"online_alone"`
	NaiveOnline Online `json:"naive_online"`
	NaiveBatch  Batch  `json:"naive_batch"`
}

// Report is the content of report.json.
type Report struct {
	Scenario   string                    `json:"scenario"`
	Seed       uint64                    `json:"seed"`
	Partial    bool                      `json:"partial"` // interrupted; the figures cover what was done until then
	Started    time.Time                 `json:"started"`
	Invariants map[checker.Invariant]int `json:"invariants"`
	Online     Online                    `json:"online"`
	Batch      Batch                     `json:"batch"`
	Config     Config                    `json:"config"`
	Control    Control                   `json:"control"`
	Noise      Noise                     `json:"noise"`
	Ratios     Ratios                    `json:"ratios"`
	Baselines  Baselines                 `json:"baselines"`
	Violations []checker.Violation       `json:"violations"` // the first few
	RulesMet   bool                      `json:"rules_met"`
	RulesNot   []string                  `json:"rules_not_met"`
}

// DurationHistogram collects a distribution of durations.
type DurationHistogram struct{ histogram *hdrhistogram.Histogram }

// NewDurationHistogram creates an empty histogram with a range of 1 µs to 10 min.
func NewDurationHistogram() DurationHistogram {
	const significantFigures = 3
	return DurationHistogram{hdrhistogram.New(1, (10 * time.Minute).Microseconds(), significantFigures)}
}

// Add records a duration. Values outside the range count as the nearest bound.
func (m DurationHistogram) Add(duration time.Duration) {
	value := min(max(1, duration.Microseconds()), m.histogram.HighestTrackableValue())
	_ = m.histogram.RecordValue(value) // the value is within the range
}

// Quantiles returns the quantiles of the recorded durations.
func (m DurationHistogram) Quantiles() Quantiles {
	at := func(percent float64) float64 { return float64(m.histogram.ValueAtQuantile(percent)) / 1000 }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99), Count: int(m.histogram.TotalCount())}
}

// Ratio returns a/b, or zero if b is zero.
func Ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// Judge computes the ratios and evaluates the scenario's rules.
func (r *Report) Judge(rules scenario.Rules) {
	r.Ratios = Ratios{
		HarmTTFT:         Ratio(r.Online.TTFT.P95, r.Baselines.OnlineAlone.TTFT.P95),
		HarmTPOT:         Ratio(r.Online.TPOT.P95, r.Baselines.OnlineAlone.TPOT.P95),
		BatchOfIdleBound: Ratio(r.Batch.ItemsPerSecond, r.Batch.IdleBound),
		BatchVsNaive:     Ratio(r.Batch.ItemsPerSecond, r.Baselines.NaiveBatch.ItemsPerSecond),
		NaiveHarmTTFT:    Ratio(r.Baselines.NaiveOnline.TTFT.P95, r.Baselines.OnlineAlone.TTFT.P95),
		NaiveHarmTPOT:    Ratio(r.Baselines.NaiveOnline.TPOT.P95, r.Baselines.OnlineAlone.TPOT.P95),
	}
	r.RulesNot = []string{}
	require := func(met bool, message string, arguments ...any) {
		if !met {
			r.RulesNot = append(r.RulesNot, fmt.Sprintf(message, arguments...))
		}
	}
	atMost := func(name string, value, bound float64) {
		require(bound == 0 || value <= bound, "%s is %.3f, at most %.3f is asked", name, value, bound)
	}
	atMost("harm_ttft_p95", r.Ratios.HarmTTFT, rules.HarmTTFT)
	atMost("harm_tpot_p95", r.Ratios.HarmTPOT, rules.HarmTPOT)
	atMost("yield_ms.p99", r.Batch.Yield.P99, rules.YieldP99Millis)
	atMost("added_ms.p99", r.Online.Added.P99, rules.AddedP99Millis)
	atMost("in_force_ms.max", r.Config.InForce.Max, rules.InForceMaxMillis)
	require(rules.BatchOfIdleBound == 0 || r.Ratios.BatchOfIdleBound >= rules.BatchOfIdleBound,
		"batch_of_idle_bound is %.3f, at least %.3f is asked", r.Ratios.BatchOfIdleBound, rules.BatchOfIdleBound)
	for _, invariant := range checker.Invariants {
		require(r.Invariants[invariant] == 0, "%s has %d violations", invariant, r.Invariants[invariant])
	}
	require(!r.Partial, "the run was interrupted")
	r.RulesMet = len(r.RulesNot) == 0
}

// Write writes a report, its series and its page to a directory.
func Write(directory string, report Report, series Series) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	if err := writeJSON(filepath.Join(directory, FileReport), report); err != nil {
		return err
	}
	if err := writeJSON(filepath.Join(directory, FileSeries), series); err != nil {
		return err
	}
	return WritePage(filepath.Join(directory, FilePage), report, series)
}

// Read reads a report and its series from a directory.
func Read(directory string) (Report, Series, error) {
	var report Report
	var series Series
	if err := readJSON(filepath.Join(directory, FileReport), &report); err != nil {
		return report, series, err
	}
	return report, series, readJSON(filepath.Join(directory, FileSeries), &series)
}

func writeJSON(path string, value any) error {
	text, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	if err := os.WriteFile(path, append(text, '\n'), 0o644); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

func readJSON(path string, into any) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	if err := json.Unmarshal(text, into); err != nil {
		return fmt.Errorf("report: %s: %w", path, err)
	}
	return nil
}
