package report

import (
	"fmt"
	"io"
	"io/fs"
	"math"
	"path/filepath"
	"slices"
	"sort"

	"github.com/jedib0t/go-pretty/v6/table"
)

// Collect reads every report in a directory and its subdirectories.
func Collect(directory string) ([]Report, error) {
	var reports []Report
	err := filepath.WalkDir(directory, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || entry.Name() != FileReport {
			return err
		}
		var read Report
		if err := readJSON(path, &read); err != nil {
			return err
		}
		reports = append(reports, read)
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	if len(reports) == 0 {
		return nil, fmt.Errorf("report: no %s under %s", FileReport, directory)
	}
	return reports, nil
}

// metric is a figure by which two sets of reports are compared.
type metric struct {
	name  string
	value func(Report) float64
}

var metrics = []metric{
	{"online.completed", func(r Report) float64 { return float64(r.Online.Completed) }},
	{"online.ttft_ms.p50", func(r Report) float64 { return r.Online.TTFT.P50 }},
	{"online.ttft_ms.p95", func(r Report) float64 { return r.Online.TTFT.P95 }},
	{"online.ttft_ms.p99", func(r Report) float64 { return r.Online.TTFT.P99 }},
	{"online.tpot_ms.p95", func(r Report) float64 { return r.Online.TPOT.P95 }},
	{"online.added_ms.p99", func(r Report) float64 { return r.Online.Added.P99 }},
	{"batch.items_per_s", func(r Report) float64 { return r.Batch.ItemsPerSecond }},
	{"batch.idle_bound_items_per_s", func(r Report) float64 { return r.Batch.IdleBound }},
	{"batch.deadline_misses", func(r Report) float64 { return float64(r.Batch.DeadlineMisses) }},
	{"batch.yield_ms.p99", func(r Report) float64 { return r.Batch.Yield.P99 }},
	{"config.in_force_ms.max", func(r Report) float64 { return r.Config.InForce.Max }},
	{"ratios.harm_ttft_p95", func(r Report) float64 { return r.Ratios.HarmTTFT }},
	{"ratios.harm_tpot_p95", func(r Report) float64 { return r.Ratios.HarmTPOT }},
	{"ratios.batch_of_idle_bound", func(r Report) float64 { return r.Ratios.BatchOfIdleBound }},
	{"ratios.batch_vs_naive", func(r Report) float64 { return r.Ratios.BatchVsNaive }},
	{"ratios.naive_harm_ttft_p95", func(r Report) float64 { return r.Ratios.NaiveHarmTTFT }},
	{"ratios.naive_harm_tpot_p95", func(r Report) float64 { return r.Ratios.NaiveHarmTPOT }},
	{"noise.late_steps", func(r Report) float64 { return float64(r.Noise.LateSteps) }},
	{"violations", func(r Report) float64 {
		sum := 0
		for _, count := range r.Invariants {
			sum += count
		}
		return float64(sum)
	}},
}

// sample holds the sorted values of a figure over seeds.
type sample struct{ sorted []float64 }

func sampleOf(reports []Report, value func(Report) float64) sample {
	var s sample
	for _, report := range reports {
		s.sorted = append(s.sorted, value(report))
	}
	slices.Sort(s.sorted)
	return s
}

func (s sample) median() float64 {
	middle := len(s.sorted) / 2
	if len(s.sorted)%2 == 1 {
		return s.sorted[middle]
	}
	return (s.sorted[middle-1] + s.sorted[middle]) / 2
}

// String returns the median, and half the range as a percentage of the median.
func (s sample) String() string {
	half := (s.sorted[len(s.sorted)-1] - s.sorted[0]) / 2
	if s.median() == 0 {
		return fmt.Sprintf("%.4g", s.median())
	}
	return fmt.Sprintf("%.4g ± %.0f%%", s.median(), 100*half/math.Abs(s.median()))
}

// significance is the p-value below which a difference counts as significant.
const significance = 0.05

// Compare writes a table for each scenario that compares two sets of reports. It shows the medians
// with half their range, the change, and whether the change is significant by the Mann-Whitney
// test, which is exact for the small samples of a few seeds.
func Compare(out io.Writer, before, after []Report) {
	for _, scenario := range scenariosOf(before) {
		a, b := reportsOf(before, scenario), reportsOf(after, scenario)
		if len(b) == 0 {
			continue
		}
		rows := table.NewWriter()
		rows.SetTitle(fmt.Sprintf("%s: %d and %d seeds", scenario, len(a), len(b)))
		rows.AppendHeader(table.Row{"figure", "A", "B", "change", "verdict"})
		for _, metric := range metrics {
			first, second := sampleOf(a, metric.value), sampleOf(b, metric.value)
			rows.AppendRow(table.Row{metric.name, first, second, change(first, second), verdict(first, second)})
		}
		_, _ = fmt.Fprintln(out, rows.Render())
	}
}

// Summarize writes the medians of a set of reports with half their range, one column per scenario,
// and the number of runs that met their rules.
func Summarize(out io.Writer, reports []Report) {
	scenarios := scenariosOf(reports)
	rows := table.NewWriter()
	header, met := table.Row{"median ± half the range"}, table.Row{"runs that met their rules"}
	for _, scenario := range scenarios {
		some := reportsOf(reports, scenario)
		header = append(header, fmt.Sprintf("%s (%d)", scenario, len(some)))
		count := 0
		for _, report := range some {
			if report.RulesMet {
				count++
			}
		}
		met = append(met, fmt.Sprintf("%d of %d", count, len(some)))
	}
	rows.AppendHeader(header)
	for _, metric := range metrics {
		row := table.Row{metric.name}
		for _, scenario := range scenarios {
			row = append(row, sampleOf(reportsOf(reports, scenario), metric.value))
		}
		rows.AppendRow(row)
	}
	rows.AppendRow(met)
	_, _ = fmt.Fprintln(out, rows.Render())
}

func change(a, b sample) string {
	if a.median() == 0 {
		return fmt.Sprintf("%+.4g", b.median())
	}
	return fmt.Sprintf("%+.1f%%", 100*(b.median()-a.median())/math.Abs(a.median()))
}

func verdict(a, b sample) string {
	if slices.Equal(a.sorted, b.sorted) {
		return "the same"
	}
	p := MannWhitney(a.sorted, b.sorted)
	switch {
	case p < significance:
		return fmt.Sprintf("differs (p=%.3f)", p)
	case minimumP(len(a.sorted), len(b.sorted)) >= significance:
		return "too few seeds to tell"
	default:
		return fmt.Sprintf("within noise (p=%.3f)", p)
	}
}

func scenariosOf(reports []Report) []string {
	var names []string
	for _, report := range reports {
		if !slices.Contains(names, report.Scenario) {
			names = append(names, report.Scenario)
		}
	}
	sort.Strings(names)
	return names
}

func reportsOf(reports []Report, scenario string) []Report {
	var some []Report
	for _, report := range reports {
		if report.Scenario == scenario {
			some = append(some, report)
		}
	}
	return some
}

// MannWhitney returns the two-sided p-value of the Mann-Whitney U test, which is the probability of
// a U at least as far from its mean if both samples have the same distribution. It counts the
// arrangements of the ranks. Ties count half.
func MannWhitney(a, b []float64) float64 {
	u := 0.0
	for _, x := range a {
		for _, y := range b {
			switch {
			case x > y:
				u++
			case x == y:
				u += 0.5
			}
		}
	}
	n, m := len(a), len(b)
	distance := math.Abs(u - float64(n*m)/2)
	counts := arrangements(n, m)
	extreme, total := 0.0, 0.0
	for value, count := range counts {
		total += count
		if math.Abs(float64(value)-float64(n*m)/2) >= distance-1e-9 {
			extreme += count
		}
	}
	return extreme / total
}

// arrangements returns, for each value of U, the number of orders of n and m values.
func arrangements(n, m int) []float64 {
	// counts[i][u] is the number of orders of i values of a and the values of b seen so far.
	counts := make([][]float64, n+1)
	for i := range counts {
		counts[i] = make([]float64, n*m+1)
		counts[i][0] = 1
	}
	for inB := 1; inB <= m; inB++ {
		for inA := 1; inA <= n; inA++ {
			// The largest value is either of a, which adds inB, or of b, which is counted in the
			// row of inB-1.
			next := make([]float64, n*m+1)
			copy(next, counts[inA])
			for u := inB; u <= n*m; u++ {
				next[u] += counts[inA-1][u-inB]
			}
			counts[inA] = next
		}
	}
	return counts[n]
}

// minimumP returns the smallest p-value that samples of these sizes can have.
func minimumP(n, m int) float64 {
	total := 0.0
	for _, count := range arrangements(n, m) {
		total += count
	}
	return 2 / total
}
