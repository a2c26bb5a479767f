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

// Commit is the record of one transaction, applied or not.
type Commit struct {
	At      time.Time `json:"at"`
	ID      string    `json:"id"`
	Keys    []string  `json:"keys"` // keys to be written
	Applied bool      `json:"applied"`
}

// commitLogSize is the maximum number of transactions in the log.
const commitLogSize = 200_000

// Table emulates the transactional table service.
type Table struct {
	Faults *Faults

	mu      sync.Mutex
	records *btree.BTreeG[wire.Record]
	version uint64 // increases with each write of any record, so that no version is reused
	commits []Commit
	applied int
}

// NewTable returns an empty table service with a limit of calls per second; zero means no limit.
func NewTable(seed uint64, ratePerSecond float64) *Table {
	const degree = 32
	return &Table{
		Faults:  newFaults("table", seed, FaultSettings{RatePerSecond: ratePerSecond}),
		records: btree.NewG(degree, func(a, b wire.Record) bool { return a.Key < b.Key }),
	}
}

// Handler returns the service's HTTP API.
func (t *Table) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.PathRecord, t.Faults.wrap("get", t.get))
	mux.HandleFunc("GET "+wire.PathRecords, t.Faults.wrap("list", t.list))
	mux.HandleFunc("POST "+wire.PathCommit, t.Faults.wrap("commit", t.commit))
	t.Faults.registerAdmin(mux)
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

// Record returns a record. Its Version is 0 when the record does not exist.
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

// Records returns all records with a prefix in key order.
func (t *Table) Records(prefix string) []wire.Record { return t.page(prefix, "", 0) }

// page returns the records with a prefix after a key; limit 0 means all.
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

// Apply applies one transaction if all its compares match, and logs it.
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

// Commits returns the logged transactions, oldest first. The log holds at most
// commitLogSize transactions; older ones are removed.
func (t *Table) Commits() []Commit {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Commit(nil), t.commits...)
}

// Applied returns the number of transactions that took effect.
func (t *Table) Applied() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.applied
}

// pageOf returns the query parameters of a list call. The limit defaults to 1000.
func pageOf(r *http.Request) (prefix, after string, limit int) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit <= 0 {
		const defaultLimit = 1000
		limit = defaultLimit
	}
	return query.Get("prefix"), query.Get("after"), limit
}

// Version returns the version of the last write, for tests that watch for progress.
func (t *Table) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}
