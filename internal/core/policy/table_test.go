package policy

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"ringstream.example/ringstream/internal/core/identity"
	_ "ringstream.example/ringstream/internal/seedtest" // the same values at every run
)

// referenceTable is the reference model: it applies all changes in order of revision and looks
// rows up with loops.
type referenceTable struct{ rows map[identity.RowID]Row }

func newReference(changes []Change) referenceTable {
	rows := map[identity.RowID]Row{}
	for _, change := range changes {
		if change.Deleted {
			delete(rows, change.Row.ID)
		} else {
			rows[change.Row.ID] = change.Row
		}
	}
	return referenceTable{rows}
}

func (n referenceTable) list() []Row {
	rows := []Row{}
	for _, row := range n.rows {
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b Row) int { return int(a.Revision) - int(b.Revision) })
	return rows
}

func (n referenceTable) lookup(tenant, model string, kind Kind) (Row, bool) {
	best, found := Row{}, false
	for _, row := range n.rows {
		m := row.Match
		fits := (m.Tenant == Any || m.Tenant == tenant) && (m.Model == Any || m.Model == model) && (m.Kind == Any || m.Kind == kind)
		if fits && (!found || wildcards(m) < wildcards(best.Match)) {
			best, found = row, true
		}
	}
	return best, found
}

// drawHistory draws a history of accepted edits with unique matches.
func drawHistory(t *rapid.T, length int) []Change {
	var changes []Change
	table := NewTable(0, nil)
	for range length {
		row := testRow(identity.RowID(fmt.Sprintf("r%d", rapid.IntRange(0, 5).Draw(t, "id"))))
		current, exists := table.Row(row.ID)
		row.Revision = current.Revision
		row.Match = Match{
			Tenant: rapid.SampledFrom([]string{Any, "a", "b"}).Draw(t, "tenant"),
			Model:  rapid.SampledFrom([]string{Any, "m"}).Draw(t, "model"),
			Kind:   rapid.SampledFrom([]Kind{Any, KindOnline}).Draw(t, "kind"),
		}
		deleted := exists && rapid.IntRange(0, 2).Draw(t, "delete") == 0
		if check := table.CheckEdit(row, deleted); check.Stale || check.Invalid != nil {
			continue
		}
		row.Revision = uint64(len(changes) + 1)
		changes = append(changes, Change{Row: row, Deleted: deleted})
		table = table.Apply(changes[len(changes)-1])
	}
	return changes
}

func testRow(id identity.RowID) Row {
	return Row{ID: id, Match: Match{Any, Any, Any}, Weight: 1, DeadlineClass: DeadlineInteractive, Pool: "p", NewSiteShare: 1}
}

func byRevision(rows []Row) []Row {
	rows = append([]Row{}, rows...)
	slices.SortFunc(rows, func(a, b Row) int { return int(a.Revision) - int(b.Revision) })
	return rows
}

func TestAnyOrderOfChangesAndSnapshotsEndsAtTheNaiveTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		changes := drawHistory(t, 30)
		table := NewTable(0, nil)
		held := map[identity.RowID]uint64{}
		deliver := rapid.SliceOfN(rapid.IntRange(0, max(0, len(changes)-1)), 0, 60).Draw(t, "arrivals")
		for _, at := range deliver {
			if len(changes) == 0 {
				break
			}
			before := table.Revision()
			if rapid.IntRange(0, 5).Draw(t, "snapshot") == 0 {
				snapshot := newReference(changes[:at])
				table = table.Merge(uint64(at), snapshot.list())
			} else {
				table = table.Apply(changes[at])
			}
			if table.Revision() < before {
				t.Fatalf("revision decreased from %d to %d", before, table.Revision())
			}
			for _, row := range table.Rows() {
				if row.Revision < held[row.ID] {
					t.Fatalf("row %s reverted from revision %d to %d", row.ID, held[row.ID], row.Revision)
				}
				held[row.ID] = row.Revision
			}
		}
		for _, change := range changes {
			table = table.Apply(change)
		}
		compareWithReference(t, table, changes)
	})
}

func compareWithReference(t *rapid.T, table *Table, changes []Change) {
	reference := newReference(changes)
	if table.Revision() != uint64(len(changes)) || table.Highest() != table.Revision() {
		t.Fatalf("revision %d, highest %d after %d changes", table.Revision(), table.Highest(), len(changes))
	}
	if diff := cmp.Diff(reference.list(), byRevision(table.Rows())); diff != "" {
		t.Fatalf("rows (-reference +table):\n%s", diff)
	}
	if fresh := NewTable(table.Revision(), table.Rows()); fresh.Digest() != table.Digest() || fresh.Len() != table.Len() {
		t.Fatalf("digest %x of %d rows, fresh %x of %d", table.Digest(), table.Len(), fresh.Digest(), fresh.Len())
	}
	for _, tenant := range []string{"a", "b", "c"} {
		for _, model := range []string{"m", "n"} {
			for _, kind := range []Kind{KindOnline, KindBatch} {
				want, wantOK := reference.lookup(tenant, model, kind)
				got, ok := table.Lookup(tenant, model, kind)
				if ok != wantOK || got != want {
					t.Fatalf("lookup %s %s %s: %v %v, reference model has %v %v", tenant, model, kind, got, ok, want, wantOK)
				}
			}
		}
	}
}

func TestValidateNamesTheFieldAndWhatIsAllowed(t *testing.T) {
	cases := []struct {
		field string
		wrong func(*Row)
	}{
		{"id", func(r *Row) { r.ID = "Row_1" }},
		{"id", func(r *Row) { r.ID = "-a" }},
		{"match.tenant", func(r *Row) { r.Match.Tenant = "" }},
		{"match.model", func(r *Row) { r.Match.Model = "a b" }},
		{"match.kind", func(r *Row) { r.Match.Kind = "stream" }},
		{"weight", func(r *Row) { r.Weight = 0 }},
		{"weight", func(r *Row) { r.Weight = 1001 }},
		{"new_site_share", func(r *Row) { r.NewSiteShare = 1.01 }},
		{"new_site_share", func(r *Row) { r.NewSiteShare = -0.1 }},
		{"deadline_class", func(r *Row) { r.DeadlineClass = "soon" }},
		{"pool", func(r *Row) { r.Pool = "" }},
		{"limits.requests_per_second", func(r *Row) { r.Limits.RequestsPerSecond = -1 }},
		{"tenant_limits.concurrency", func(r *Row) { r.TenantLimits.Concurrency = -1 }},
	}
	for _, c := range cases {
		row := testRow("row-1")
		if err := row.Validate(); err != nil {
			t.Fatal(err)
		}
		c.wrong(&row)
		failure, ok := row.Validate().(*FieldError) //nolint:errorlint // Validate states the concrete type
		if !ok || failure.Field != c.field || failure.Allowed == "" {
			t.Errorf("%s: got %v", c.field, failure)
		}
	}
}

func TestCheckEditRefusesAMatchThatAnotherRowHas(t *testing.T) {
	first := testRow("first")
	first.Revision = 1
	table := NewTable(1, []Row{first})
	if check := table.CheckEdit(testRow("second"), false); check.Invalid == nil {
		t.Error("a second row with the match of the first was accepted")
	}
	if check := table.CheckEdit(testRow("first"), false); !check.Stale || check.Current.Revision != 1 {
		t.Errorf("create of an existing row: %+v", check)
	}
	if check := table.CheckEdit(first, false); check.Stale || check.Invalid != nil {
		t.Errorf("edit at the current revision: %+v", check)
	}
}

const benchTenants = 2600

func benchTable() *Table {
	rows := make([]Row, 0, benchTenants+1)
	for i := range benchTenants {
		row := testRow(identity.RowID(fmt.Sprintf("row-%d", i)))
		row.Match.Tenant = fmt.Sprintf("tenant-%d", i)
		row.Revision = uint64(i + 1)
		rows = append(rows, row)
	}
	fallback := testRow("fallback")
	fallback.Revision = benchTenants + 1
	return NewTable(benchTenants+1, append(rows, fallback))
}

func BenchmarkLookupAmong2600Tenants(b *testing.B) {
	table := benchTable()
	b.ReportAllocs()
	for b.Loop() {
		if row, ok := table.Lookup("tenant-1300", "model", KindOnline); !ok || row.ID == "fallback" {
			b.Fatal("wrong row")
		}
	}
}

func BenchmarkApplyAmong2600Tenants(b *testing.B) {
	table := benchTable()
	row, _ := table.Row("row-1300")
	b.ReportAllocs()
	for b.Loop() {
		row.Revision = table.Revision() + 1
		table = table.Apply(Change{Row: row})
	}
}

func TestLookupDoesNotAllocate(t *testing.T) {
	table := benchTable()
	if allocs := testing.AllocsPerRun(100, func() { table.Lookup("tenant-7", "m", KindBatch) }); allocs != 0 {
		t.Errorf("%v allocations", allocs)
	}
}
