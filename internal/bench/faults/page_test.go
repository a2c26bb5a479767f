package faults

import (
	"strings"
	"testing"

	"ringstream.example/ringstream/internal/bench/checker"
)

// sample returns a matrix of two steps and two faults with one violation.
func sample() Report {
	steps, faults := Steps()[:2], Faults()[:2]
	report := Report{Steps: steps, Faults: faults, Calm: Result{Reached: true}}
	for _, step := range steps {
		for _, fault := range faults {
			report.Cells = append(report.Cells, Result{Cell: Cell{Injections: []Injection{{step.Name, fault.Name}}}, Reached: true})
		}
	}
	report.Cells[2].Violations = []checker.Violation{{Invariant: checker.RunOnce, Subject: "item-<1>", Detail: "ran twice"}}
	report.Bugs = []Result{{Cell: Cell{Bug: BugResend}}}
	report.sum()
	return report
}

func TestPageAndSummaryShowEachUnsoundCell(t *testing.T) {
	report := sample()
	var html, markdown strings.Builder
	if err := report.WritePage(&html); err != nil {
		t.Fatal(err)
	}
	if err := report.WriteSummary(&markdown); err != nil {
		t.Fatal(err)
	}
	second, first := report.Steps[1].Name, report.Faults[0].Name
	if rows := report.rows(); rows[0].Cells[1].class() != "violated" || rows[0].Cells[0].class() != "sound" || rows[1].Cells[1].class() != "sound" {
		t.Error("the violation is not at its cell")
	}
	for _, want := range []string{"not passed", "nonrepeatable_at_most_once item-&lt;1&gt;: ran twice", first + " at " + second} {
		if !strings.Contains(html.String(), want) {
			t.Errorf("the page does not have %q", want)
		}
	}
	if !strings.Contains(markdown.String(), "| "+first+" at "+second+" | nonrepeatable_at_most_once item-<1>: ran twice |") {
		t.Errorf("the summary does not name the cell:\n%s", markdown.String())
	}
}

func TestAMatrixThatMissesABugOrACellHasNotPassed(t *testing.T) {
	report := sample()
	report.Cells[2].Violations = nil
	report.sum()
	if report.Passed() {
		t.Error("passed without catching the planted bug")
	}
	report.Bugs[0].Violations = []checker.Violation{{Invariant: checker.RunOnce}}
	report.sum()
	if !report.Passed() {
		t.Errorf("not passed: %+v", report.Totals)
	}
	report.Cells[0].Reached = false
	report.sum()
	if report.Passed() {
		t.Error("passed although a step was not reached")
	}
}
