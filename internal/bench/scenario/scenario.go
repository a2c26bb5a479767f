// Package scenario reads and validates the YAML files that describe a load: the fleet, the classes
// of work, their arrivals, and the actions on the fleet during the run. It does not start anything.
package scenario

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"time"

	"gopkg.in/yaml.v3"

	"ringstream.example/ringstream/bench/scenarios"
	"ringstream.example/ringstream/internal/core/policy"
)

// Scenario is one load on one fleet.
type Scenario struct {
	Name        string        `yaml:"name"`
	Description string        `yaml:"description"`
	Duration    time.Duration `yaml:"duration"` // of the arrivals
	Settle      time.Duration `yaml:"settle"`   // how long to wait for accepted work afterwards
	Region      string        `yaml:"region"`
	Zones       []string      `yaml:"zones"` // one node in each
	Pool        string        `yaml:"pool"`
	Model       string        `yaml:"model"`
	Engines     []EngineGroup `yaml:"engines"`
	// EngineSlots is the number of sequences that the reference engine runs at once. Zero means the
	// default of the stand-in.
	EngineSlots int          `yaml:"engine_places"`
	Online      []Online     `yaml:"online"`
	Batch       []Batch      `yaml:"batch"`
	Rows        []policy.Row `yaml:"rows"`
	Actions     []Action     `yaml:"actions"`
	Rules       Rules        `yaml:"rules"`
}

// EngineGroup is a number of engines of the same size, distributed over the zones.
type EngineGroup struct {
	Count    int     `yaml:"count"`
	Capacity float64 `yaml:"capacity"` // 1 is the reference engine
}

// Length is a log-normal distribution of a length in tokens, limited to Max.
type Length struct {
	Median int     `yaml:"median"`
	Sigma  float64 `yaml:"sigma"`
	Max    int     `yaml:"max"`
}

// Prefixes describes how prompts share prefixes. Each prompt starts with one of Count prefixes of
// Tokens tokens, and the nth prefix has the weight n^-Skew.
type Prefixes struct {
	Count  int     `yaml:"count"`
	Tokens int     `yaml:"tokens"`
	Skew   float64 `yaml:"skew"`
}

// Online is a stream of requests with Poisson arrivals.
type Online struct {
	Name      string   `yaml:"name"`
	Tenants   []string `yaml:"tenants"`
	PerSecond float64  `yaml:"per_second"`
	Prompt    Length   `yaml:"prompt"`
	Answer    Length   `yaml:"answer"`
	Prefixes  Prefixes `yaml:"prefixes"`
	// Keyed is the share of requests that carry an Idempotency-Key. Each of them is sent again
	// through another node, ResendAfter later.
	Keyed       float64       `yaml:"keyed"`
	ResendAfter time.Duration `yaml:"resend_after"`
	Bursts      []Burst       `yaml:"bursts"`
}

// Burst multiplies the arrival rate for a limited time.
type Burst struct {
	At     time.Duration `yaml:"at"`
	For    time.Duration `yaml:"for"`
	Factor float64       `yaml:"factor"`
}

// Batch is a stream of jobs that arrive in groups.
type Batch struct {
	Name       string        `yaml:"name"`
	Tenants    []string      `yaml:"tenants"`
	First      time.Duration `yaml:"first"`
	Every      time.Duration `yaml:"every"`
	Jobs       int           `yaml:"jobs"`  // in one group
	Items      int           `yaml:"items"` // in one job
	Prompt     Length        `yaml:"prompt"`
	Answer     Length        `yaml:"answer"`
	Prefixes   Prefixes      `yaml:"prefixes"`
	Repeatable bool          `yaml:"repeatable"`
	Deadline   time.Duration `yaml:"deadline"`
	// Cancelled is the share of jobs that their client cancels. The cancel is sent CancelAfter after
	// the acknowledgement. Resent is the share of jobs that are submitted twice.
	Cancelled   float64       `yaml:"cancelled"`
	CancelAfter time.Duration `yaml:"cancel_after"`
	Resent      float64       `yaml:"resent"`
}

// ActionKind is the kind of an action.
type ActionKind string

// The actions.
const (
	ActionEditRow     ActionKind = "edit_row"     // Row: its weight is raised by one
	ActionSetShare    ActionKind = "set_share"    // Row, Value
	ActionStopNode    ActionKind = "stop_node"    // Node: planned stop, then start
	ActionKillNode    ActionKind = "kill_node"    // Node: kill, then start
	ActionLeaveEngine ActionKind = "leave_engine" // Engine
	ActionKillEngine  ActionKind = "kill_engine"  // Engine
	ActionRollout     ActionKind = "rollout"      // to model version Version
)

// Action is one change to the fleet during the run.
type Action struct {
	At      time.Duration `yaml:"at"`
	Kind    ActionKind    `yaml:"kind"`
	Row     string        `yaml:"row"`
	Value   float64       `yaml:"value"`
	Node    int           `yaml:"node"`
	Engine  int           `yaml:"engine"`
	Version string        `yaml:"version"`
}

// Rules are the bounds that a run must meet to pass. Zero means that there is no bound. A violated
// invariant fails every run.
type Rules struct {
	HarmTTFT         float64 `yaml:"harm_ttft_p95"`
	HarmTPOT         float64 `yaml:"harm_tpot_p95"`
	BatchOfIdleBound float64 `yaml:"batch_of_idle_bound"`
	YieldP99Millis   float64 `yaml:"yield_p99_ms"`
	AddedP99Millis   float64 `yaml:"added_p99_ms"`
	InForceMaxMillis float64 `yaml:"in_force_max_ms"`
}

// Load reads a scenario, given the name of an embedded scenario or the path of a file.
func Load(nameOrPath string) (Scenario, error) {
	text, err := scenarios.Files.ReadFile(nameOrPath + ".yaml")
	if err != nil {
		text, err = os.ReadFile(nameOrPath)
	}
	if err != nil {
		return Scenario{}, fmt.Errorf("no scenario %q: neither embedded (%v) nor a readable file", nameOrPath, scenarios.Names())
	}
	return Parse(text)
}

// Parse parses a scenario. Unknown keys and invalid values are errors.
func Parse(text []byte) (Scenario, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	decoder.KnownFields(true)
	var parsed Scenario
	if err := decoder.Decode(&parsed); err != nil {
		return Scenario{}, fmt.Errorf("scenario: %w", err)
	}
	return parsed, parsed.Validate()
}

// Validate returns an error that names each key with an invalid value.
func (s Scenario) Validate() error {
	var problems []error
	require := func(holds bool, message string, arguments ...any) {
		if !holds {
			problems = append(problems, fmt.Errorf("scenario %s: "+message, append([]any{s.Name}, arguments...)...))
		}
	}
	require(s.Name != "", "name: must be set")
	require(s.Duration > 0, "duration: must be positive")
	require(len(s.Zones) > 0, "zones: at least one")
	require(s.EngineCount() > 0, "engines: at least one")
	require(len(s.Rows) > 0, "rows: at least one")
	for _, stream := range s.Online {
		require(stream.PerSecond > 0, "online %s: per_second must be positive", stream.Name)
		require(len(stream.Tenants) > 0, "online %s: tenants: at least one", stream.Name)
		require(stream.Prompt.valid() && stream.Answer.valid(), "online %s: prompt and answer: 0 < median <= max", stream.Name)
	}
	for _, stream := range s.Batch {
		require(stream.Every > 0, "batch %s: every must be positive", stream.Name)
		require(len(stream.Tenants) > 0, "batch %s: tenants: at least one", stream.Name)
		require(stream.Jobs > 0 && stream.Items > 0, "batch %s: jobs and items must be positive", stream.Name)
		require(stream.Prompt.valid() && stream.Answer.valid(), "batch %s: prompt and answer: 0 < median <= max", stream.Name)
	}
	for i, action := range s.Actions {
		require(action.Node >= 0 && action.Node < len(s.Zones), "actions[%d]: node: 0 to %d", i, len(s.Zones)-1)
		require(action.Engine >= 0 && action.Engine < s.EngineCount(), "actions[%d]: engine: 0 to %d", i, s.EngineCount()-1)
	}
	return errors.Join(problems...)
}

func (l Length) valid() bool { return l.Median > 0 && l.Median <= l.Max }

// EngineCount returns the number of engines in all groups.
func (s Scenario) EngineCount() int {
	count := 0
	for _, group := range s.Engines {
		count += group.Count
	}
	return count
}

// Capacities returns the capacity of each engine.
func (s Scenario) Capacities() []float64 {
	var all []float64
	for _, group := range s.Engines {
		for range group.Count {
			all = append(all, group.Capacity)
		}
	}
	return all
}

// Tenants returns every tenant in the scenario once.
func (s Scenario) Tenants() []string {
	seen := map[string]bool{}
	var tenants []string
	add := func(names []string) {
		for _, name := range names {
			if !seen[name] {
				seen[name] = true
				tenants = append(tenants, name)
			}
		}
	}
	for _, stream := range s.Online {
		add(stream.Tenants)
	}
	for _, stream := range s.Batch {
		add(stream.Tenants)
	}
	return tenants
}
