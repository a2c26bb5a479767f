package policy

import (
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"ringstream.example/ringstream/internal/core/identity"
)

// shardCount is the number of shards that each of a table's maps is split into. A
// change copies the two or three shards that it modifies and the two arrays of
// shards, so its cost does not grow with the number of rows until there are many
// more rows than shards.
const shardCount = 256

// Table is an immutable snapshot of all rows. Apply and Merge return a new table
// that shares the unchanged shards, so readers need no lock.
//
// A table holds every change up to its Revision, and may hold later ones that
// arrived out of order. A change with a revision that the table holds is ignored,
// and a row is replaced only by a higher revision, so that no order of arrival and
// no repetition reverts a row. A deleted row leaves a tombstone until the table's
// revision has reached the deletion; from then on the revision itself rejects older
// changes of that row.
type Table struct {
	revision uint64
	// ahead holds the revisions above revision that were applied, ascending.
	ahead []uint64
	rows  [shardCount]map[identity.RowID]*Change
	index [shardCount]map[Match]*Change
	// specificity counts the rows of each of the eight combinations of
	// wildcards, so that Lookup skips those that no row uses.
	specificity [8]int
	count       int // number of rows without tombstones
	digest      uint64
}

// NewTable returns a table that is complete up to a revision. It does not validate
// the rows.
func NewTable(revision uint64, rows []Row) *Table {
	return new(Table).Merge(revision, rows)
}

// Revision returns the highest revision up to which the table holds every change.
// It never decreases.
func (t *Table) Revision() uint64 { return t.revision }

// Highest returns the highest revision of which the table holds a change. It is
// above Revision when changes in between are missing.
func (t *Table) Highest() uint64 {
	if len(t.ahead) > 0 {
		return t.ahead[len(t.ahead)-1]
	}
	return t.revision
}

// Len returns the number of rows.
func (t *Table) Len() int { return t.count }

// Digest returns a checksum over the ids and revisions of all rows. Two tables with
// the same Revision that hold no later changes have the same rows when their digests
// are equal.
func (t *Table) Digest() uint64 { return t.digest }

// Lookup returns the row that governs work of this tenant, model and kind: the most
// specific match, as Match describes. It does not allocate.
func (t *Table) Lookup(tenant, model string, kind Kind) (Row, bool) {
	for bits := range 8 {
		if t.specificity[bits] == 0 {
			continue
		}
		match := Match{Tenant: tenant, Model: model, Kind: kind}
		if bits&4 != 0 {
			match.Tenant = Any
		}
		if bits&2 != 0 {
			match.Model = Any
		}
		if bits&1 != 0 {
			match.Kind = Any
		}
		if entry, ok := t.index[matchShard(match)][match]; ok {
			return entry.Row, true
		}
	}
	return Row{}, false
}

// Row returns the row with an id.
func (t *Table) Row(id identity.RowID) (Row, bool) {
	entry, ok := t.rows[idShard(id)][id]
	if !ok || entry.Deleted {
		return Row{}, false
	}
	return entry.Row, true
}

// Rows returns all rows, sorted by id.
func (t *Table) Rows() []Row {
	rows := make([]Row, 0, t.count)
	for _, shard := range t.rows {
		for _, entry := range shard {
			if !entry.Deleted {
				rows = append(rows, entry.Row)
			}
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return rows
}

// Page returns up to limit rows with ids after the given one, sorted by id, and
// whether they are the last.
func (t *Table) Page(after identity.RowID, limit int) (rows []Row, last bool) {
	all := t.Rows()
	start, _ := slices.BinarySearchFunc(all, after, func(row Row, id identity.RowID) int {
		if row.ID <= id {
			return -1
		}
		return 1
	})
	all = all[start:]
	if len(all) <= limit {
		return all, true
	}
	return all[:limit], false
}

// Apply returns the table with a change applied, or the same table when it already
// holds the change.
func (t *Table) Apply(change Change) *Table {
	revision := change.Revision()
	if revision <= t.revision {
		return t
	}
	position, known := slices.BinarySearch(t.ahead, revision)
	if known {
		return t
	}
	next := *t
	editor := editor{table: &next}
	editor.put(change)
	next.ahead = slices.Insert(slices.Clone(t.ahead), position, revision)
	editor.advance()
	return &next
}

// Merge returns the table merged with the complete rows of another table at a
// revision. Rows that are missing there and have no later change here are removed.
// Rows may be newer than the revision, for example if they were read during edits.
func (t *Table) Merge(revision uint64, rows []Row) *Table {
	if revision < t.revision || (revision == t.revision && revision > 0) {
		return t
	}
	next := *t
	editor := editor{table: &next}
	kept := make(map[identity.RowID]struct{}, len(rows))
	for _, row := range rows {
		kept[row.ID] = struct{}{}
	}
	for _, row := range t.Rows() {
		if _, ok := kept[row.ID]; !ok && row.Revision <= revision {
			editor.put(Change{Row: Row{ID: row.ID, Revision: revision}, Deleted: true})
		}
	}
	for _, row := range rows {
		editor.put(Change{Row: row})
	}
	next.revision = revision
	editor.advance()
	return &next
}

// editor modifies a table that is not yet shared. It copies each shard once.
type editor struct {
	table       *Table
	copiedRows  [shardCount]bool
	copiedIndex [shardCount]bool
}

func (e *editor) rows(id identity.RowID) map[identity.RowID]*Change {
	shard := idShard(id)
	if !e.copiedRows[shard] {
		e.copiedRows[shard] = true
		e.table.rows[shard] = copyOf(e.table.rows[shard])
	}
	return e.table.rows[shard]
}

func (e *editor) index(match Match) map[Match]*Change {
	shard := matchShard(match)
	if !e.copiedIndex[shard] {
		e.copiedIndex[shard] = true
		e.table.index[shard] = copyOf(e.table.index[shard])
	}
	return e.table.index[shard]
}

func copyOf[K comparable, V any](original map[K]V) map[K]V {
	if original == nil {
		return map[K]V{}
	}
	return maps.Clone(original)
}

// put applies a change unless its row has one that is as new. While changes are
// missing, two rows can have the same match; the newer row is then in the index.
func (e *editor) put(change Change) {
	id := change.Row.ID
	held, exists := e.table.rows[idShard(id)][id]
	if exists && held.Revision() >= change.Revision() {
		return
	}
	if exists {
		e.remove(held)
	}
	entry := &change
	e.rows(id)[id] = entry
	if change.Deleted {
		return
	}
	e.table.count++
	e.table.digest += rowDigest(change.Row)
	index := e.index(change.Row.Match)
	holder, taken := index[change.Row.Match]
	if !taken {
		e.table.specificity[wildcards(change.Row.Match)]++
	}
	if !taken || holder.Revision() < change.Revision() {
		index[change.Row.Match] = entry
	}
}

// remove removes a row's entry from the counts and the index.
func (e *editor) remove(entry *Change) {
	if entry.Deleted {
		return
	}
	e.table.count--
	e.table.digest -= rowDigest(entry.Row)
	match := entry.Row.Match
	if e.table.index[matchShard(match)][match] == entry {
		delete(e.index(match), match)
		e.table.specificity[wildcards(match)]--
	}
}

// advance raises the revision over the changes that follow it without a gap, and
// removes the tombstones up to the new revision in the copied shards.
func (e *editor) advance() {
	t := e.table
	for len(t.ahead) > 0 && t.ahead[0] <= t.revision+1 {
		t.revision = max(t.revision, t.ahead[0])
		t.ahead = t.ahead[1:]
	}
	for _, shard := range e.touchedRows() {
		for id, entry := range t.rows[shard] {
			if entry.Deleted && entry.Revision() <= t.revision {
				delete(t.rows[shard], id)
			}
		}
	}
}

// touchedRows returns the shards that were copied. Tombstones in other shards stay
// until the next change of their shard.
func (e *editor) touchedRows() []int {
	var shards []int
	for shard, copied := range e.copiedRows {
		if copied {
			shards = append(shards, shard)
		}
	}
	return shards
}

// wildcards returns the combination of wildcards in a match as the bits that Lookup
// uses.
func wildcards(match Match) int {
	bits := 0
	if match.Tenant == Any {
		bits |= 4
	}
	if match.Model == Any {
		bits |= 2
	}
	if match.Kind == Any {
		bits |= 1
	}
	return bits
}

func idShard(id identity.RowID) int {
	return int(xxhash.Sum64String(string(id)) % shardCount)
}

func matchShard(match Match) int {
	hash := xxhash.Sum64String(match.Tenant)
	hash = hash*31 + xxhash.Sum64String(match.Model)
	hash = hash*31 + uint64(len(match.Kind)) // the kinds differ in length
	hash ^= hash >> 32
	return int(hash % shardCount)
}

// rowDigest returns a hash of a row's id and revision.
func rowDigest(row Row) uint64 {
	const mixer = 0x9E3779B97F4A7C15
	hash := xxhash.Sum64String(string(row.ID)) ^ row.Revision*mixer
	hash ^= hash >> 29
	return hash * mixer
}
