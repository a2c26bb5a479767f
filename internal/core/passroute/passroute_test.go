package passroute

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "ringstream.example/ringstream/internal/seedtest" // the same values at every run
)

// referenceLookup is the reference model of Table.Lookup: among the routes of the
// host whose prefix matches the path, the one with the longest prefix.
func referenceLookup(routes []Route, host, path string) string {
	best, length := "", -1
	for _, route := range routes {
		if strings.EqualFold(route.Host, host) && strings.HasPrefix(path, route.PathPrefix) && len(route.PathPrefix) > length {
			best, length = route.Name, len(route.PathPrefix)
		}
	}
	return best
}

func TestLookupMatchesReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prefix := rapid.SampledFrom([]string{"/", "/a/", "/a/b/", "/a/b/c/", "/b/"})
		host := rapid.SampledFrom([]string{"one.example", "two.example"})
		seen := make(map[string]bool)
		var routes []Route
		for i := range rapid.IntRange(0, 8).Draw(t, "routes") {
			route := Route{Name: fmt.Sprint(i), Host: host.Draw(t, "host"), PathPrefix: prefix.Draw(t, "prefix")}
			if key := route.Host + route.PathPrefix; !seen[key] {
				seen[key] = true
				routes = append(routes, route)
			}
		}
		table := NewTable(1, append([]Route(nil), routes...), nil, Limits{}, Tenants{})
		asked := rapid.SampledFrom([]string{"one.example", "TWO.example", "three.example"}).Draw(t, "asked")
		path := rapid.SampledFrom([]string{"/", "/a", "/a/", "/a/b/x", "/a/b/c/d", "/b/", "/c"}).Draw(t, "path")
		got := ""
		if route, found := table.Lookup(asked+":8080", path); found {
			got = route.Name
		}
		if want := referenceLookup(routes, asked, path); got != want {
			t.Fatalf("%s%s: route %q, want %q", asked, path, got, want)
		}
	})
}

// TestSplitterKeepsTheWeights checks that the shares of a split are within a few
// requests of the weights for any start and any part of the sequence.
func TestSplitterKeepsTheWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		splitter := NewSplitter(func() float64 { return rapid.Float64Range(0, 0.999).Draw(t, "phase") })
		weight := rapid.IntRange(1, 99).Draw(t, "weight")
		route := &Route{Name: "r", Targets: []Target{{Pool: "a", Weight: float64(weight)}, {Pool: "b", Weight: float64(100 - weight)}}}
		for range rapid.IntRange(0, 500).Draw(t, "skip") {
			splitter.Choose(route)
		}
		const requests = 200
		count := 0
		for range requests {
			if splitter.Choose(route) == "a" {
				count++
			}
		}
		if want := requests * float64(weight) / 100; math.Abs(float64(count)-want) > 4 {
			t.Fatalf("pool a got %d of %d requests, want about %.0f", count, requests, want)
		}
	})
}

func TestSplitterSkipsZeroWeightAndRemovesRoutes(t *testing.T) {
	splitter := NewSplitter(func() float64 { return 0.99 })
	route := &Route{Name: "r", Targets: []Target{{Pool: "a", Weight: 1}, {Pool: "b"}}}
	for range 50 {
		if pool := splitter.Choose(route); pool != "a" {
			t.Fatalf("chose %q, want the only pool with a weight above 0", pool)
		}
	}
	splitter.Retain(NewTable(2, nil, nil, Limits{}, Tenants{}))
	if len(splitter.points) != 0 {
		t.Error("the state of a removed route is kept")
	}
	if pool := splitter.Choose(&Route{Name: "none"}); pool != "" {
		t.Errorf("Choose returned %q for a route without targets", pool)
	}
}

func TestRepeatable(t *testing.T) {
	for _, test := range []struct {
		route Route
		want  bool
	}{
		{Route{Kind: KindSafe}, true},
		{Route{Kind: KindUnsafe}, false},
		{Route{Kind: KindStream}, false},
		{Route{Kind: KindStream, Resumable: true}, true},
		{Route{Kind: KindBatch}, true},
	} {
		if got := test.route.Repeatable(); got != test.want {
			t.Errorf("Repeatable of kind %s: %t", test.route.Kind, got)
		}
	}
}

// TestPoolsWithOneObjective checks pools of streaming routes with equal, different and no objectives.
func TestPoolsWithOneObjective(t *testing.T) {
	route := func(kind Kind, objective time.Duration, pools ...string) Route {
		route := Route{Host: "h", Kind: kind, Objective: objective}
		for _, pool := range pools {
			route.Targets = append(route.Targets, Target{Pool: pool, Weight: 1})
		}
		return route
	}
	table := NewTable(1, []Route{
		route(KindStream, time.Second, "equal", "different"), route(KindStream, time.Second, "equal"), route(KindStream, 2*time.Second, "different"),
		route(KindStream, 3*time.Second, "different"), route(KindStream, 0, "none"), route(KindSafe, time.Minute, "equal", "safe"),
	}, nil, Limits{}, Tenants{})
	for pool, want := range map[string]bool{"equal": true, "different": false, "none": false, "safe": false} {
		if got := table.PoolsWithOneObjective()[pool]; got != want {
			t.Errorf("%s: got %t", pool, got)
		}
	}
}
