package report

import (
	"bytes"
	"fmt"
	"html/template"
	"os"

	"ringstream.example/ringstream/internal/bench/checker"
)

// pageTemplate is a self-contained HTML page.
var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"ms": func(value float64) string { return fmt.Sprintf("%.1f", value) }, //nolint:goconst // formats differ by field
	"x":  func(value float64) string { return fmt.Sprintf("%.3f", value) },
}).Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Report.Scenario}}, seed {{.Report.Seed}}</title>
<style>
body { font: 15px/1.45 system-ui, sans-serif; max-width: 1000px; margin: 24px auto; padding: 0 16px; color: #1b1f24; }
h1 { font-size: 24px; } h2 { font-size: 18px; margin-top: 32px; }
table { border-collapse: collapse; margin: 8px 0 16px; } th, td { padding: 4px 12px; text-align: right; border-bottom: 1px solid #d8dee4; }
th:first-child, td:first-child { text-align: left; } .good { color: #1a7f37; } .bad { color: #cf222e; font-weight: 600; }
figure { margin: 16px 0 24px; } figcaption { color: #57606a; font-size: 14px; } svg { width: 100%; height: auto; }
</style></head><body>
<h1>{{.Report.Scenario}}, seed {{.Report.Seed}}</h1>
<p>Started {{.Report.Started.Format "2006-01-02 15:04:05 MST"}}.
{{if .Report.Partial}}<span class="bad">Interrupted: the figures are of what was done until then.</span>{{end}}
{{if .Report.Noise.LateSteps}}The machine held steps of the engines up by more than 20 ms {{.Report.Noise.LateSteps}} times, {{ms .Report.Noise.LateSeconds}} s in all:
the more, the less the high percentiles tell.{{end}}
{{if .Report.RulesMet}}<span class="good">Every rule of the scenario is met.</span>{{else}}<span class="bad">Rules not met:</span>
<ul>{{range .Report.RulesNot}}<li>{{.}}</li>{{end}}</ul>{{end}}</p>

<h2>Online requests</h2>
<table><tr><th>run</th><th>requests</th><th>completed</th><th>not run</th><th>failed</th><th>unknown</th>
<th>first token p50</th><th>p95</th><th>p99 ms</th><th>between tokens p50</th><th>p95</th><th>p99 ms</th></tr>
{{range .Online}}<tr><td>{{.Name}}</td><td>{{.Requests}}</td><td>{{.Completed}}</td><td>{{.RefusedNotRun}}</td><td>{{.Failed}}</td><td>{{.Unknown}}</td>
<td>{{ms .TTFT.P50}}</td><td>{{ms .TTFT.P95}}</td><td>{{ms .TTFT.P99}}</td><td>{{ms .TPOT.P50}}</td><td>{{ms .TPOT.P95}}</td><td>{{ms .TPOT.P99}}</td></tr>{{end}}</table>
<p>A node added {{ms .Report.Online.Added.P50}} ms (p50), {{ms .Report.Online.Added.P99}} ms (p99) to the first token against a direct call to the engine.
Against online alone, batch raised the first-token p95 by a factor of {{x .Report.Ratios.HarmTTFT}} (naive: {{x .Report.Ratios.NaiveHarmTTFT}})
and the between-token p95 by {{x .Report.Ratios.HarmTPOT}} (naive: {{x .Report.Ratios.NaiveHarmTPOT}}).</p>

<h2>Batch items</h2>
<table><tr><th>run</th><th>accepted</th><th>completed</th><th>items/s</th><th>idle bound</th><th>deadline misses</th><th>preemptions</th><th>yield p50</th><th>p99 ms</th></tr>
{{range .Batch}}<tr><td>{{.Name}}</td><td>{{.ItemsAccepted}}</td><td>{{.ItemsCompleted}}</td><td>{{ms .ItemsPerSecond}}</td><td>{{ms .IdleBound}}</td>
<td>{{.DeadlineMisses}}</td><td>{{.Preemptions}}</td><td>{{ms .Yield.P50}}</td><td>{{ms .Yield.P99}}</td></tr>{{end}}</table>
<p>Throughput is {{x .Report.Ratios.BatchOfIdleBound}} of what the idle places allow, and {{x .Report.Ratios.BatchVsNaive}} of the naive version's.</p>

<h2>Table and control</h2>
<p>{{.Report.Config.Edits}} edits were accepted; the slowest was in force on every node after {{ms .Report.Config.InForce.Max}} ms.
Without load a node costs at most {{ms .Report.Control.CorePercent}}% of a core and {{ms .Report.Control.RSSMegabytes}} MB here, stand-ins included.</p>

<h2>Invariants</h2>
<table><tr><th>invariant</th><th>violations</th></tr>
{{range .Invariants}}<tr><td>{{.Name}}</td><td class="{{if .Count}}bad{{else}}good{{end}}">{{.Count}}</td></tr>{{end}}</table>
{{if .Report.Violations}}<ul>{{range .Report.Violations}}<li class="bad">{{.Invariant}}: {{.Subject}}: {{.Detail}}</li>{{end}}</ul>{{end}}
{{range .Figures}}<figure><h2>{{.Title}}</h2>{{.SVG}}<figcaption>{{.Caption}}</figcaption></figure>{{end}}
</body></html>
`))

type namedOnline struct {
	Name string
	Online
}

type namedBatch struct {
	Name string
	Batch
}

type invariantCount struct {
	Name  checker.Invariant
	Count int
}

// page is the data of the template.
type page struct {
	Report     Report
	Online     []namedOnline
	Batch      []namedBatch
	Invariants []invariantCount
	Figures    []figure
}

// WritePage writes the HTML page of a report to path.
func WritePage(path string, report Report, series Series) error {
	shown := page{
		Report: report,
		Online: []namedOnline{
			{RunAlone, report.Baselines.OnlineAlone}, {RunNaive, report.Baselines.NaiveOnline}, {RunRingstream, report.Online},
		},
		Batch: []namedBatch{{RunNaive, report.Baselines.NaiveBatch}, {RunRingstream, report.Batch}},
	}
	for _, invariant := range checker.Invariants {
		shown.Invariants = append(shown.Invariants, invariantCount{invariant, report.Invariants[invariant]})
	}
	figures, err := figures(series)
	if err != nil {
		return err
	}
	shown.Figures = figures
	var text bytes.Buffer
	if err := pageTemplate.Execute(&text, shown); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	if err := os.WriteFile(path, text.Bytes(), 0o644); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}
