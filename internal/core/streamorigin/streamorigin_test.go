package streamorigin

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "ringstream.example/ringstream/internal/seedtest" // fixed seed for rapid
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestRecordsAgainstAPlainList compares the records with a list of all that were added. What was added
// within Retention is known, and nothing is known that was not added or that conflicts.
func TestRecordsAgainstAPlainList(t *testing.T) {
	type added struct {
		software string
		at       time.Time
	}
	rapid.Check(t, func(t *rapid.T) {
		now := start
		records := NewRecords(now)
		list := make(map[Key][]added)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "seconds")) * time.Second)
			key := KeyOf(fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "stream")))
			if rapid.Bool().Draw(t, "add") {
				software := rapid.SampledFrom([]string{"v1", "v1", "v1", "v2"}).Draw(t, "software")
				records.Add(Record{Key: key, Software: software}, now)
				list[key] = append(list[key], added{software: software, at: now})
			}
			software, found := records.Software(key, now)
			var recent []string
			for _, one := range list[key] {
				if now.Sub(one.at) < Retention {
					recent = append(recent, one.software)
				}
			}
			slices.Sort(recent)
			recent = slices.Compact(recent)
			switch {
			case len(recent) > 1 && found:
				t.Fatalf("%s is known, though %v were recorded", software, recent)
			case found && !slices.ContainsFunc(list[key], func(one added) bool { return one.software == software }):
				t.Fatalf("%s was never recorded", software)
			case found && len(recent) == 1 && software != recent[0]:
				t.Fatalf("%s is known, %v was recorded", software, recent)
			}
		}
	})
}

func TestRecordIsKeptForRetention(t *testing.T) {
	for _, age := range []time.Duration{0, Retention - time.Second, 2 * Retention} {
		records := NewRecords(start.Add(-age))
		records.Add(Record{Key: KeyOf("r"), Software: "v1"}, start)
		if software, found := records.Software(KeyOf("r"), start.Add(Retention-time.Millisecond)); !found || software != "v1" {
			t.Errorf("generation of age %v: got %q, %v", age, software, found)
		}
		if _, found := records.Software(KeyOf("r"), start.Add(4*Retention)); found {
			t.Errorf("generation of age %v: known after four times the retention", age)
		}
	}
}

func TestRecordsAreBounded(t *testing.T) {
	records := NewRecords(start)
	for i := range 5 * maxRecords {
		records.Add(Record{Key: KeyOf(fmt.Sprint(i)), Software: "v1"}, start)
	}
	if kept := len(records.All()); kept > 2*maxRecords {
		t.Errorf("%d records are kept", kept)
	}
	if _, found := records.Software(KeyOf(fmt.Sprint(5*maxRecords-1)), start); !found {
		t.Error("the newest record is not known")
	}
}

func TestResultOfALookup(t *testing.T) {
	one, two := []string{"v1"}, []string{"v1", "v2"}
	for _, test := range []struct {
		name     string
		evidence []Evidence
		complete bool
		software string
		source   Source
	}{
		{"record", []Evidence{{Versions: two}, {Software: "v2", Versions: two}}, false, "v2", FromRecord},
		{"records agree", []Evidence{{Software: "v2"}, {Software: "v2"}}, true, "v2", FromRecord},
		{"records differ", []Evidence{{Software: "v1"}, {Software: "v2"}}, true, "", NotFound},
		{"one version, more to come", []Evidence{{Versions: one}}, false, "", Undecided},
		{"one version", []Evidence{{Versions: one}, {Versions: one}}, true, "v1", OnlyVersion},
		{"another node knows a second version", []Evidence{{Versions: one}, {Versions: two}}, true, "", NotFound},
		{"another node knows another version", []Evidence{{Versions: one}, {Versions: []string{"v2"}}}, true, "", NotFound},
		{"no engines", []Evidence{{}}, true, "", NotFound},
	} {
		var lookup Lookup
		for _, evidence := range test.evidence {
			lookup.Add(evidence)
		}
		if software, source := lookup.Result(test.complete); software != test.software || source != test.source {
			t.Errorf("%s: got %q from %v, want %q from %v", test.name, software, source, test.software, test.source)
		}
	}
}

// The holders of a record are asked also while the nodes' lists differ by a few nodes.
func TestHoldersAreAmongThoseAsked(t *testing.T) {
	var nodes []Node
	for i := range 340 {
		nodes = append(nodes, Node{Address: fmt.Sprintf("10.0.%d.%d:1", i/200, i%200), Zone: fmt.Sprint("z", i%18)})
	}
	for stream := range 200 {
		key := KeyOf(fmt.Sprint(stream))
		holders := HoldersOf(key, nodes)
		zones := make(map[string]bool)
		for _, node := range nodes {
			if slices.Contains(holders, node.Address) {
				zones[node.Zone] = true
			}
		}
		if len(holders) != Holders || len(zones) != Holders {
			t.Fatalf("holders %v in zones %v", holders, zones)
		}
		fewer := slices.DeleteFunc(slices.Clone(nodes), func(node Node) bool { return node.Zone == "z3" && !slices.Contains(holders, node.Address) })
		asked := AskedFor(key, fewer)
		for _, holder := range holders {
			if !slices.Contains(asked, holder) {
				t.Errorf("%s holds the record of stream %d and is not asked", holder, stream)
			}
		}
	}
	if HoldersOf(KeyOf("r"), nil) != nil {
		t.Error("a node alone has holders")
	}
}
