package report_test

import (
	"bytes"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"ringstream.example/ringstream/internal/bench/checker"
	"ringstream.example/ringstream/internal/bench/report"
	"ringstream.example/ringstream/internal/bench/scenario"
)

func TestMannWhitneyGivesTheTabledProbabilities(t *testing.T) {
	for _, sample := range []struct {
		a, b []float64
		p    float64
	}{
		{[]float64{1, 2, 3, 4, 5}, []float64{6, 7, 8, 9, 10}, 2.0 / 252},
		{[]float64{1, 2, 3}, []float64{4, 5, 6}, 2.0 / 20},
		{[]float64{1, 3, 5}, []float64{2, 4, 6}, 14.0 / 20},
	} {
		if p := report.MannWhitney(sample.a, sample.b); math.Abs(p-sample.p) > 1e-9 {
			t.Errorf("p of %v and %v is %v, tables say %v", sample.a, sample.b, p, sample.p)
		}
	}
}

func withFirstToken(p95 float64) report.Report {
	return report.Report{Scenario: "s", Online: report.Online{TTFT: report.Quantiles{P95: p95}}}
}

func TestCompareTellsNoiseFromADifference(t *testing.T) {
	var before, near, far []report.Report
	for seed := range 5 {
		before = append(before, withFirstToken(float64(100+10*seed)))
		near = append(near, withFirstToken(float64(101+10*seed)))
		far = append(far, withFirstToken(float64(200+10*seed)))
	}
	for _, compared := range []struct {
		after []report.Report
		says  string
	}{{near, "within noise"}, {far, "differs"}, {far[:2], "too few seeds"}} {
		var out bytes.Buffer
		report.Compare(&out, before[:len(compared.after)], compared.after)
		for line := range strings.Lines(out.String()) {
			if strings.Contains(line, "online.ttft_ms.p95") && !strings.Contains(line, compared.says) {
				t.Errorf("%q does not say %q", line, compared.says)
			}
		}
	}
}

func TestReportIsReadAsWritten(t *testing.T) {
	directory := t.TempDir()
	written := withFirstToken(120)
	written.Baselines.OnlineAlone.TTFT.P95 = 100
	written.Invariants = checker.Count(nil)
	written.Judge(scenario.Rules{HarmTTFT: 1.05})
	if written.RulesMet || len(written.RulesNot) != 1 {
		t.Fatalf("rules not met for a harm of 1.2 with a bound of 1.05: %v", written.RulesNot)
	}
	series := report.Series{
		Duration: 2,
		Online:   map[string][]report.Point{report.RunRingstream: {{At: 0.1, TTFT: 20, TPOT: 15}, {At: 1.2, TTFT: 30, TPOT: 16}}},
		Marks:    []report.Mark{{At: 1, Label: "edit"}},
	}
	if err := report.Write(directory, written, series); err != nil {
		t.Fatal(err)
	}
	read, _, err := report.Read(directory)
	if err != nil {
		t.Fatal(err)
	}
	if read.Ratios.HarmTTFT != 1.2 || read.Started != (time.Time{}) {
		t.Errorf("read back %+v", read.Ratios)
	}
	page, err := os.ReadFile(filepath.Join(directory, report.FilePage))
	if err != nil {
		t.Fatal(err)
	}
	if strings.Count(string(page), "<svg") != 3 {
		t.Errorf("%d plots, want first token over time and two distributions", strings.Count(string(page), "<svg"))
	}
}
