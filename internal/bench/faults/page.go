package faults

import (
	_ "embed" // the page's template
	"fmt"
	"html/template"
	"io"
	"strings"
)

//go:embed page.html.tmpl
var pageSource string

var page = template.Must(template.New("matrix").Funcs(template.FuncMap{
	"class": Result.class, "mark": Result.mark, "title": Result.title, "name": Result.name,
}).Parse(pageSource))

// WritePage writes the matrix as one self-contained HTML page.
func (r Report) WritePage(out io.Writer) error {
	return page.Execute(out, struct {
		Report
		Rows   []row
		Passed bool
	}{r, r.rows(), r.Passed()})
}

// row is one fault with its cell at each step.
type row struct {
	Fault Fault
	Cells []Result
}

// rows groups the cells by fault. The cells of the report are ordered by step.
func (r Report) rows() []row {
	rows := make([]row, len(r.Faults))
	for i, fault := range r.Faults {
		rows[i].Fault = fault
		for step := range r.Steps {
			rows[i].Cells = append(rows[i].Cells, r.Cells[step*len(r.Faults)+i])
		}
	}
	return rows
}

// class returns the CSS class of a cell.
func (r Result) class() string {
	switch {
	case len(r.Violations) > 0:
		return "violated"
	case len(r.Failures) > 0:
		return "failed"
	case !r.Reached:
		return "unreached"
	default:
		return "sound"
	}
}

// mark returns the text of a cell, such as the number of its violations.
func (r Result) mark() string {
	switch r.class() {
	case "violated":
		return fmt.Sprint(len(r.Violations))
	case "failed":
		return "!"
	case "unreached":
		return "–"
	default:
		return "·"
	}
}

// name describes the injections of a cell.
func (r Result) name() string {
	var parts []string
	for _, injected := range r.Injections {
		parts = append(parts, injected.Fault+" at "+injected.Step)
	}
	return strings.Join(parts, ", then ")
}

// title describes a cell in a few lines.
func (r Result) title() string {
	lines := []string{r.name(), fmt.Sprintf("%d of %d requests and %d of %d items completed", r.Completed, r.Requests, r.ItemsCompleted, r.Items)}
	const most = 6
	for i, violation := range r.Violations {
		if i == most {
			lines = append(lines, fmt.Sprintf("and %d more", len(r.Violations)-most))
			break
		}
		lines = append(lines, fmt.Sprintf("%s %s: %s", violation.Invariant, violation.Subject, violation.Detail))
	}
	return strings.Join(append(lines, r.Failures...), "\n")
}

// WriteSummary writes the totals and every cell with a problem as Markdown.
func (r Report) WriteSummary(out io.Writer) error {
	var text strings.Builder
	t := r.Totals
	fmt.Fprintf(&text, "| cells | not reached | with violations | with failures | bugs caught | virtual hours | seconds |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	const secondsPerHour = 3600
	fmt.Fprintf(&text, "| %d | %d | %d | %d | %d of %d | %.1f | %.0f |\n\n", t.Cells, t.NotReached, t.WithViolations, t.WithFailures,
		t.BugsCaught, t.BugsPlanted, t.VirtualSeconds/secondsPerHour, r.Seconds)
	text.WriteString("| invariant | violations |\n| --- | --- |\n")
	for _, invariant := range t.InvariantsNamed {
		fmt.Fprintf(&text, "| %s | %d |\n", invariant, t.Violations[invariant])
	}
	text.WriteString("\n| cell | first violation or failure |\n| --- | --- |\n")
	for _, results := range [][]Result{{r.Calm}, r.Cells, r.Pairs} {
		for _, result := range results {
			if result.class() != "sound" {
				fmt.Fprintf(&text, "| %s | %s |\n", result.name(), result.first())
			}
		}
	}
	_, err := io.WriteString(out, text.String())
	return err
}

// first returns the first problem of a cell.
func (r Result) first() string {
	const longest = 160
	text := "not reached"
	switch {
	case len(r.Violations) > 0:
		text = fmt.Sprintf("%s %s: %s", r.Violations[0].Invariant, r.Violations[0].Subject, r.Violations[0].Detail)
	case len(r.Failures) > 0:
		text = r.Failures[0]
	}
	text = strings.NewReplacer("|", "/", "\n", " ").Replace(text)
	if len(text) > longest {
		text = text[:longest] + "…"
	}
	return text
}
