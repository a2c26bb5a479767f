// Package report turns a run's records into report.json, a page with plots,
// and comparisons of several runs. It judges nothing but numbers: invariants
// are the checker's.
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

// The files of a report.
const (
	FileReport = "report.json"
	FileSeries = "series.json"
	FilePage   = "report.html"
)

// Quantiles of a distribution in milliseconds; zeros when nothing was measured.
type Quantiles struct {
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Count int     `json:"count"`
}

// Online is what online callers saw.
type Online struct {
	Requests      int       `json:"requests"`
	Completed     int       `json:"completed"`
	RefusedNotRun int       `json:"refused_not_run"`
	Failed        int       `json:"failed"`
	Unknown       int       `json:"unknown"`
	TTFT          Quantiles `json:"ttft_ms"`  // scheduled arrival to first token
	TPOT          Quantiles `json:"tpot_ms"`  // mean time between tokens of a request
	Added         Quantiles `json:"added_ms"` // to the first token, over a direct call to the engine
}

// Batch is what batch callers saw.
type Batch struct {
	ItemsAccepted  int       `json:"items_accepted"`
	ItemsCompleted int       `json:"items_completed"`
	ItemsPerSecond float64   `json:"items_per_s"`
	IdleBound      float64   `json:"idle_bound_items_per_s"`
	DeadlineMisses int       `json:"deadline_misses"`
	Preemptions    int       `json:"preemptions"`
	Yield          Quantiles `json:"yield_ms"` // online waits on a full engine until batch stopped there
}

// Config is how fast accepted edits were in force everywhere.
type Config struct {
	Edits   int     `json:"edits"`
	InForce InForce `json:"in_force_ms"`
}

// InForce bounds the time from acceptance to the last node.
type InForce struct {
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Control is the cost of a node without load. Processor time and memory are of
// the whole process, stand-ins included, and so upper bounds; the bytes are those
// that a node sends to others.
type Control struct {
	CorePercent    float64 `json:"core_percent"`
	RSSMegabytes   float64 `json:"rss_mb"`
	BytesPerSecond float64 `json:"bytes_per_s"`
}

// Noise tells how much the machine that ran the bench disturbed it: how often
// it held an engine stand-in's step up by more than 20 ms, and for how long.
type Noise struct {
	LateSteps   int     `json:"late_steps"`
	LateSeconds float64 `json:"late_s"`
}

// Ratios compare this system with the other runs on the same arrivals.
type Ratios struct {
	HarmTTFT         float64 `json:"harm_ttft_p95"` // to online alone
	HarmTPOT         float64 `json:"harm_tpot_p95"`
	BatchOfIdleBound float64 `json:"batch_of_idle_bound"`
	BatchVsNaive     float64 `json:"batch_vs_naive"`
	// NaiveHarmTTFT is the naive version's harm, for comparison.
	NaiveHarmTTFT float64 `json:"naive_harm_ttft_p95"`
	NaiveHarmTPOT float64 `json:"naive_harm_tpot_p95"`
}

// Baselines are the other two runs on the same arrivals.
type Baselines struct {
	OnlineAlone Online `json:"online_alone"`
	NaiveOnline Online `json:"naive_online"`
	NaiveBatch  Batch  `json:"naive_batch"`
}

// Report is report.json.
type Report struct {
	Scenario   string                    `json:"scenario"`
	Seed       uint64                    `json:"seed"`
	Partial    bool                      `json:"partial"` // interrupted: figures are of what was done
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

// NewDurationHistogram makes an empty distribution from 1 µs to ten minutes.
func NewDurationHistogram() DurationHistogram {
	const significantFigures = 3
	return DurationHistogram{hdrhistogram.New(1, (10 * time.Minute).Microseconds(), significantFigures)}
}

// Add records a duration; what is outside the range counts as its bound.
func (m DurationHistogram) Add(duration time.Duration) {
	value := min(max(1, duration.Microseconds()), m.histogram.HighestTrackableValue())
	_ = m.histogram.RecordValue(value) // the value is within the range
}

// Quantiles gives the distribution's quantiles.
func (m DurationHistogram) Quantiles() Quantiles {
	at := func(percent float64) float64 { return float64(m.histogram.ValueAtQuantile(percent)) / 1000 }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99), Count: int(m.histogram.TotalCount())}
}

// Ratio gives a/b, or zero when b is zero.
func Ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// Judge fills in the ratios and what the scenario's rules say of them.
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
	unless := func(met bool, message string, arguments ...any) {
		if !met {
			r.RulesNot = append(r.RulesNot, fmt.Sprintf(message, arguments...))
		}
	}
	atMost := func(name string, value, bound float64) {
		unless(bound == 0 || value <= bound, "%s is %.3f, at most %.3f is asked", name, value, bound)
	}
	atMost("harm_ttft_p95", r.Ratios.HarmTTFT, rules.HarmTTFT)
	atMost("harm_tpot_p95", r.Ratios.HarmTPOT, rules.HarmTPOT)
	atMost("yield_ms.p99", r.Batch.Yield.P99, rules.YieldP99Millis)
	atMost("added_ms.p99", r.Online.Added.P99, rules.AddedP99Millis)
	atMost("in_force_ms.max", r.Config.InForce.Max, rules.InForceMaxMillis)
	unless(rules.BatchOfIdleBound == 0 || r.Ratios.BatchOfIdleBound >= rules.BatchOfIdleBound,
		"batch_of_idle_bound is %.3f, at least %.3f is asked", r.Ratios.BatchOfIdleBound, rules.BatchOfIdleBound)
	for _, invariant := range checker.Invariants {
		unless(r.Invariants[invariant] == 0, "%s has %d violations", invariant, r.Invariants[invariant])
	}
	unless(!r.Partial, "the run was interrupted")
	r.RulesMet = len(r.RulesNot) == 0
}

// Write writes a report, its series and its page into a directory.
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
