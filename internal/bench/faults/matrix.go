package faults

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/bench/checker"
)

// Options configures which cells run.
type Options struct {
	Seed uint64
	// Pairs is the number of cells with two faults, which are drawn from the seed.
	Pairs int
	// Parallel is the number of cells that run at the same time.
	Parallel int
	// Steps and Faults limit the matrix to these names; empty means all.
	Steps, Faults []string
	// Progress is called after each cell, one call at a time. It may be nil.
	Progress func(done, all int, last Result)
}

// Report is the result of a matrix.
type Report struct {
	Seed    uint64    `json:"seed"`
	Started time.Time `json:"started"`
	Seconds float64   `json:"seconds"`
	Steps   []Step    `json:"steps"`
	Faults  []Fault   `json:"faults"`
	// Calm is the cell without faults.
	Calm  Result   `json:"calm"`
	Cells []Result `json:"cells"`
	Pairs []Result `json:"pairs"`
	// Bugs are the cells with planted bugs. Each bug must be detected in one of its cells.
	Bugs   []Result `json:"bugs"`
	Totals Totals   `json:"totals"`
}

// Totals sums up a matrix, without the planted bugs.
type Totals struct {
	Cells           int                       `json:"cells"`
	NotReached      int                       `json:"not_reached"`
	WithViolations  int                       `json:"with_violations"`
	WithFailures    int                       `json:"with_failures"`
	Violations      map[checker.Invariant]int `json:"violations"`
	BugsCaught      int                       `json:"bugs_caught"`
	BugsPlanted     int                       `json:"bugs_planted"`
	RequestsAsked   int                       `json:"requests"`
	RequestsDone    int                       `json:"requests_completed"`
	ItemsAccepted   int                       `json:"items_accepted"`
	ItemsCompleted  int                       `json:"items_completed"`
	VirtualSeconds  float64                   `json:"virtual_seconds"`
	InvariantsNamed []checker.Invariant       `json:"invariants"`
}

// Passed reports whether no cell has a violation or a failure, the step of each single fault was
// reached, every planted bug was caught, and the cell without faults completed everything. The
// second step of a pair is not required, because the first fault may prevent it.
func (r Report) Passed() bool {
	for _, cell := range r.Cells {
		if !cell.Reached {
			return false
		}
	}
	return r.Totals.WithViolations == 0 && r.Totals.WithFailures == 0 && r.Totals.BugsCaught == r.Totals.BugsPlanted &&
		r.Calm.Completed == r.Calm.Requests && r.Calm.ItemsCompleted == r.Calm.Items
}

// Main runs the matrix, passes the report to finish, and ends the process. The exit code is 1 if
// finish returns an error. Virtual time outside a test requires the main function of package
// testing, which does not return.
func Main(options Options, finish func(Report) error) {
	prepareProcess()
	testing.Init()
	os.Args = os.Args[:1] // package testing must not parse the command's flags
	if err := flag.CommandLine.Set("test.parallel", strconv.Itoa(max(1, options.Parallel))); err != nil {
		panic(err) // testing.Init defines the flag
	}
	matrix := func(t *testing.T) {
		run(t, options, func(report Report) {
			if err := finish(report); err != nil {
				t.Error(err)
			}
		})
	}
	matchAll := func(string, string) (bool, error) { return true, nil }
	testing.Main(matchAll, []testing.InternalTest{{Name: "matrix", F: matrix}}, nil, nil)
}

// run runs the matrix as parallel subtests, and calls finish after the last one.
func run(t *testing.T, options Options, finish func(Report)) {
	report := Report{Seed: options.Seed, Started: time.Now(), Steps: chosenSteps(options.Steps), Faults: chosenFaults(options.Faults)}
	specs := []Cell{{Seed: options.Seed}}
	for _, step := range report.Steps {
		for _, fault := range report.Faults {
			specs = append(specs, Cell{Seed: options.Seed, Injections: []Injection{{step.Name, fault.Name}}})
		}
	}
	singles := len(specs)
	specs = append(specs, drawPairs(options.Seed, options.Pairs, report.Steps, report.Faults)...)
	pairs := len(specs)
	specs = append(specs, bugCells(options.Seed)...)
	results := make([]Result, len(specs))
	t.Cleanup(func() {
		report.Calm, report.Cells, report.Pairs, report.Bugs = results[0], results[1:singles], results[singles:pairs], results[pairs:]
		report.Seconds = time.Since(report.Started).Seconds()
		report.sum()
		finish(report)
	})
	var mutex sync.Mutex
	done := 0
	for index, spec := range specs {
		t.Run(strconv.Itoa(index), func(t *testing.T) {
			t.Parallel()
			result := runBubble(t, spec)
			mutex.Lock()
			defer mutex.Unlock()
			results[index] = result
			done++
			if options.Progress != nil {
				options.Progress(done, len(specs), result)
			}
		})
	}
}

func chosenSteps(names []string) []Step {
	return choose(Steps(), names, func(s Step) string { return s.Name })
}

func chosenFaults(names []string) []Fault {
	return choose(Faults(), names, func(f Fault) string { return f.Name })
}

func choose[T any](all []T, names []string, nameOf func(T) string) []T {
	if len(names) == 0 {
		return all
	}
	var chosen []T
	for _, name := range names {
		for _, entry := range all {
			if nameOf(entry) == name {
				chosen = append(chosen, entry)
			}
		}
	}
	return chosen
}

// drawPairs draws cells with two faults, each at its own step. The second step is awaited once the
// first fault has been triggered.
func drawPairs(seed uint64, count int, steps []Step, faults []Fault) []Cell {
	source := rand.New(rand.NewPCG(seed, 3)) //nolint:gosec // seeded on purpose
	draw := func() Injection {
		return Injection{steps[source.IntN(len(steps))].Name, faults[source.IntN(len(faults))].Name}
	}
	var cells []Cell
	for number := range count {
		cells = append(cells, Cell{Seed: seed + uint64(number), Injections: []Injection{draw(), draw()}})
	}
	return cells
}

// runBubble runs one cell in virtual time. If goroutines of the bubble do not end, the cell records
// a failure.
func runBubble(t *testing.T, spec Cell) (result Result) {
	defer func() {
		if failure := recover(); failure != nil {
			result.Cell = spec
			result.Failures = append(result.Failures, fmt.Sprint(failure))
		}
	}()
	synctest.Test(t, func(t *testing.T) {
		var err error
		result, err = runCell(t.Context(), spec, zap.NewNop())
		if err != nil {
			result.Cell = spec
			result.Failures = append(result.Failures, err.Error())
		}
	})
	return result
}

// sum computes the totals.
func (r *Report) sum() {
	r.Totals = Totals{Violations: map[checker.Invariant]int{}, InvariantsNamed: checker.Invariants}
	for _, invariant := range checker.Invariants {
		r.Totals.Violations[invariant] = 0
	}
	r.Totals.add(r.Calm)
	for _, results := range [][]Result{r.Cells, r.Pairs} {
		for _, result := range results {
			r.Totals.add(result)
		}
	}
	caught := map[string]bool{}
	for _, cell := range r.Bugs {
		caught[cell.Bug] = caught[cell.Bug] || len(cell.Violations) > 0
	}
	r.Totals.BugsPlanted = len(caught)
	for _, found := range caught {
		if found {
			r.Totals.BugsCaught++
		}
	}
}

func (t *Totals) add(result Result) {
	t.Cells++
	if !result.Reached {
		t.NotReached++
	}
	if len(result.Violations) > 0 {
		t.WithViolations++
	}
	if len(result.Failures) > 0 {
		t.WithFailures++
	}
	for _, violation := range result.Violations {
		t.Violations[violation.Invariant]++
	}
	t.RequestsAsked += result.Requests
	t.RequestsDone += result.Completed
	t.ItemsAccepted += result.Items
	t.ItemsCompleted += result.ItemsCompleted
	t.VirtualSeconds += result.VirtualSeconds
}
