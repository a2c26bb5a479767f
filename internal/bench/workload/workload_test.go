package workload_test

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ringstream.example/ringstream/bench/scenarios"
	"ringstream.example/ringstream/internal/bench/scenario"
	"ringstream.example/ringstream/internal/bench/workload"
)

func TestEmbeddedScenariosLoad(t *testing.T) {
	for _, name := range scenarios.Names() {
		loaded, err := scenario.Load(name)
		if err != nil {
			t.Fatal(err)
		}
		if loaded.Name != name {
			t.Errorf("%s.yaml has the name %q", name, loaded.Name)
		}
	}
}

func TestPlanIsTheSameForASeed(t *testing.T) {
	small, err := scenario.Load("demo")
	if err != nil {
		t.Fatal(err)
	}
	small.Duration = 2 * time.Second
	if diff := cmp.Diff(workload.Make(small, 7), workload.Make(small, 7)); diff != "" {
		t.Error(diff)
	}
	if cmp.Equal(workload.Make(small, 7), workload.Make(small, 8)) {
		t.Error("two seeds gave the same plan")
	}
}

func TestArrivalsFollowTheRateAndItsBursts(t *testing.T) {
	stream := scenario.Online{
		Name: "s", Tenants: []string{"t"}, PerSecond: 50,
		Prompt: scenario.Length{Median: 20, Max: 20}, Answer: scenario.Length{Median: 5, Max: 5},
		Bursts: []scenario.Burst{{At: 40 * time.Second, For: 20 * time.Second, Factor: 4}},
	}
	plan := workload.Make(scenario.Scenario{Duration: 100 * time.Second, Zones: []string{"a"}, Online: []scenario.Online{stream}}, 1)
	inBurst, outside := 0, 0
	for _, request := range plan.Requests {
		if workload.NameOf(request.Prompt) != request.Name {
			t.Fatalf("prompt %q does not contain the name %q", request.Prompt, request.Name)
		}
		if request.At >= 40*time.Second && request.At < 60*time.Second {
			inBurst++
		} else {
			outside++
		}
	}
	// The bound is five standard deviations of a Poisson count.
	for _, count := range []struct{ got, mean float64 }{{float64(inBurst), 4000}, {float64(outside), 4000}} {
		if math.Abs(count.got-count.mean) > 5*math.Sqrt(count.mean) {
			t.Errorf("%v arrivals, want about %v", count.got, count.mean)
		}
	}
}
