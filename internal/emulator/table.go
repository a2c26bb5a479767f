package emulator

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/btree"

	"ringstream.example/ringstream/internal/backend/wire"
)

// Commit is one transaction that the table service decided.
type Commit struct {
	At      time.Time `json:"at"`
	ID      string    `json:"id"`
	Keys    []string  `json:"keys"` // written
	Applied bool      `json:"applied"`
}

// commitLogSize bounds the log of transactions.
const commitLogSize = 200_000

// Table is the transactional table service.
type Table struct {
	Faults *Faults

	mu      sync.Mutex
	records *btree.BTreeG[wire.Record]
	version uint64 // rises with each write of any record: no version is ever reused
	commits []Commit
	applied int
}

// NewTable makes an empty table service with a rate of calls a second.
func NewTable(seed uint64, ratePerSecond float64) *Table {
	const degree = 32
	return &Table{
		Faults:  newFaults("table", seed, FaultSettings{RatePerSecond: ratePerSecond}),
		records: btree.NewG(degree, func(a, b wire.Record) bool { return a.Key < b.Key }),
	}
}

// Handler is the service's HTTP API.
func (t *Table) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.PathRecord, t.Faults.wrap("get", t.get))
	mux.HandleFunc("GET "+wire.PathRecords, t.Faults.wrap("list", t.list))
	mux.HandleFunc("POST "+wire.PathCommit, t.Faults.wrap("commit", t.commit))
	t.Faults.admin(mux)
	return mux
}

func (t *Table) get(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, t.Record(r.URL.Query().Get("key")))
}

func (t *Table) list(w http.ResponseWriter, r *http.Request) {
	prefix, after, limit := pageOf(r)
	writeJSON(w, wire.Records{Records: t.page(prefix, after, limit)})
}

func (t *Table) commit(w http.ResponseWriter, r *http.Request) {
	var transaction wire.Transaction
	if decode(w, r, &transaction) {
		writeJSON(w, t.Apply(transaction))
	}
}

// Record gives a record; Version 0 when absent.
func (t *Table) Record(key string) wire.Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.record(key)
}

func (t *Table) record(key string) wire.Record {
	record, _ := t.records.Get(wire.Record{Key: key})
	record.Key = key
	return record
}

// Records gives all records with a prefix, by key.
func (t *Table) Records(prefix string) []wire.Record { return t.page(prefix, "", 0) }

// page lists records; limit 0: all.
func (t *Table) page(prefix, after string, limit int) []wire.Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	page := []wire.Record{}
	from := wire.Record{Key: max(prefix, after)}
	t.records.AscendGreaterOrEqual(from, func(record wire.Record) bool {
		if !strings.HasPrefix(record.Key, prefix) {
			return record.Key < prefix
		}
		if record.Key > after || after == "" {
			page = append(page, record)
		}
		return limit <= 0 || len(page) < limit
	})
	return page
}

// Apply decides one transaction.
func (t *Table) Apply(transaction wire.Transaction) wire.CommitResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	var result wire.CommitResult
	for _, compare := range transaction.Compares {
		if record := t.record(compare.Key); record.Version != compare.Version {
			result.Conflicts = append(result.Conflicts, record)
		}
	}
	result.Applied = len(result.Conflicts) == 0
	if result.Applied {
		t.applied++
		for _, write := range transaction.Writes {
			result.Versions = append(result.Versions, t.write(transaction.ID, write))
		}
	}
	t.log(transaction, result.Applied)
	return result
}

func (t *Table) write(transactionID string, write wire.Write) uint64 {
	t.version++
	if write.Delete {
		t.records.Delete(wire.Record{Key: write.Key})
		return t.version
	}
	t.records.ReplaceOrInsert(wire.Record{
		Key: write.Key, Version: t.version, TransactionID: transactionID, Value: write.Value,
	})
	return t.version
}

func (t *Table) log(transaction wire.Transaction, applied bool) {
	if len(t.commits) >= commitLogSize {
		t.commits = append(t.commits[:0], t.commits[commitLogSize/2:]...)
	}
	entry := Commit{At: time.Now(), ID: transaction.ID, Applied: applied}
	for _, write := range transaction.Writes {
		entry.Keys = append(entry.Keys, write.Key)
	}
	t.commits = append(t.commits, entry)
}

// Commits gives the transactions decided, oldest first; the oldest are
// forgotten after some hundred thousand.
func (t *Table) Commits() []Commit {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Commit(nil), t.commits...)
}

// Applied counts the transactions that took effect.
func (t *Table) Applied() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.applied
}

// pageOf reads the query of a list.
func pageOf(r *http.Request) (prefix, after string, limit int) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit <= 0 {
		const defaultLimit = 1000
		limit = defaultLimit
	}
	return query.Get("prefix"), query.Get("after"), limit
}

// Version of the last write; for tests that watch for progress.
func (t *Table) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}
