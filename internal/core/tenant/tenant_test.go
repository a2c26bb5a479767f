package tenant

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	_ "ringstream.example/ringstream/internal/seedtest" // the same values at every run
)

// referenceHolder is the reference model of ByKey. It returns the name of the tenant
// whose definitions list the key, or an empty string unless there is exactly one.
func referenceHolder(definitions []Definition, key string) string {
	holders := make(map[string]bool)
	for _, definition := range definitions {
		for _, own := range definition.Keys {
			if own != "" && own == key {
				holders[definition.Name] = true
			}
		}
	}
	if len(holders) != 1 {
		return ""
	}
	for name := range holders {
		return name
	}
	return ""
}

func TestByKeyAgainstTheNaiveVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keys := []string{"", "a", "b", "c", "d", strings.Repeat("long", 60)}
		var definitions []Definition
		for range rapid.IntRange(0, 5).Draw(t, "tenants") {
			definition := Definition{Tenant: Tenant{Name: rapid.SampledFrom([]string{"t1", "t2", "t3"}).Draw(t, "name")}}
			definition.Keys = rapid.SliceOfN(rapid.SampledFrom(keys), 0, 3).Draw(t, "keys")
			definitions = append(definitions, definition)
		}
		directory, _ := NewDirectory(definitions)
		for _, key := range append(keys, "unknown") {
			got := ""
			if holder, found := directory.ByKey(key); found {
				got = holder.Name
			}
			if want := referenceHolder(definitions, key); got != want {
				t.Fatalf("key %q: holder %q, want %q in %v", key, got, want, definitions)
			}
		}
	})
}

func TestProblemsNameWhatIsWrongWithoutKeys(t *testing.T) {
	directory, problems := NewDirectory([]Definition{
		{Tenant: Tenant{Name: "one", Limit: Limit{PerSecond: -1}}, Keys: []string{"secret-1", ""}},
		{Tenant: Tenant{Name: "two", Priority: 1, Limit: Limit{PerSecond: 3}}, Keys: []string{"secret-1", "secret-2"}},
		{Tenant: Tenant{Name: "two", Priority: 7}, Keys: []string{"secret-3"}},
	})
	text := fmt.Sprint(problems)
	for _, part := range []string{"taken as no limit", "empty key", "another tenant's too", "defined twice", Mask("secret-1")} {
		if !strings.Contains(text, part) {
			t.Errorf("%q is missing in %s", part, text)
		}
	}
	if strings.Contains(text, "secret") {
		t.Errorf("a problem contains a key in clear text: %s", text)
	}
	one, _ := directory.ByName("one")
	two, _ := directory.ByKey("secret-3")
	if one.Limit.Limited() || two.Priority != 1 || two.Limit.PerSecond != 3 || directory.Len() != 2 {
		t.Errorf("one %+v, two %+v", one, two)
	}
}

func TestNoDirectoryKnowsNobody(t *testing.T) {
	var none *Directory
	if _, found := none.ByKey("a"); found || none.Len() != 0 {
		t.Error("a nil directory has a key or a tenant")
	}
	if _, found := none.ByName("a"); found {
		t.Error("a nil directory has a name")
	}
	none.Each(func(*Tenant) { t.Error("a nil directory has a tenant") })
}

func TestByKeyAllocatesNothing(t *testing.T) {
	directory, _ := NewDirectory([]Definition{{Tenant: Tenant{Name: "t"}, Keys: []string{"wyy7yx5x42q492cqf75r"}}})
	for _, key := range []string{"wyy7yx5x42q492cqf75r", "unknown"} {
		if allocations := testing.AllocsPerRun(100, func() { directory.ByKey(key) }); allocations != 0 {
			t.Errorf("%q: %v allocations", key, allocations)
		}
	}
}

func BenchmarkByKey(b *testing.B) {
	var definitions []Definition
	for i := range 2600 {
		definitions = append(definitions, Definition{Tenant: Tenant{Name: fmt.Sprint(i)}, Keys: []string{fmt.Sprintf("key-of-tenant-%d", i)}})
	}
	directory, _ := NewDirectory(definitions)
	b.ReportAllocs()
	for b.Loop() {
		directory.ByKey("key-of-tenant-1234")
	}
}
