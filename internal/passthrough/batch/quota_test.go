package batch

import (
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"ringstream.example/ringstream/internal/passthrough"
)

// TestQuotaRowsOfFormerBuildsHaveNoNumber covers the quota rows of earlier builds, which hold the
// last job's id alone. They have a version but no number, so a submission waits for the view to
// catch up.
func TestQuotaRowsOfFormerBuildsHaveNoNumber(t *testing.T) {
	queue := tenantQueue{route: "batch"}
	own := queue.row("job1", 4200)
	own.Version = 7
	for name, test := range map[string]struct {
		row  passthrough.Row
		want queueCount
	}{
		"this build's":     {own, queueCount{tokens: 4200, version: 7}},
		"a former build's": {passthrough.Row{Part: partQuotas, Key: "batch", Value: []byte("5b22a450e05d0716"), Version: 7}, queueCount{version: 7, unknown: true}},
		"a number's":       {passthrough.Row{Part: partQuotas, Key: "batch", Value: []byte("12345"), Version: 7}, queueCount{version: 7, unknown: true}},
		"another queue's":  {passthrough.Row{Part: partQuotas, Key: "other", Value: own.Value, Version: 7}, queueCount{unknown: true}},
	} {
		if got := queue.countFromRows([]passthrough.Row{test.row}); got.version != test.want.version || got.unknown != test.want.unknown || !got.unknown && got != test.want {
			t.Errorf("%s: got %+v, want %+v", name, got, test.want)
		}
	}
}

// quotaModel is a model of a queue in the store, and of nodes whose copies lag behind it.
type quotaModel struct {
	queue  tenantQueue
	row    passthrough.Row
	jobs   []modelJob // in the order of acceptance
	copies []int      // number of the jobs that each node's copy holds
	limit  int64
}

type modelJob struct {
	tokens  int64
	version int64
	ended   bool
}

func (m *quotaModel) waiting(jobs int) (tokens int64) {
	for _, job := range m.jobs[:jobs] {
		if !job.ended {
			tokens += job.tokens
		}
	}
	return tokens
}

// copyCount returns the count according to a node's copy.
func (m *quotaModel) copyCount(node int) queueCount {
	seen := queueCount{tokens: m.waiting(m.copies[node]), exact: true}
	if m.copies[node] > 0 {
		seen.version = m.jobs[m.copies[node]-1].version
	}
	return seen
}

// accept tries to accept a job based on a count. If another job was accepted first, it returns the
// count in the current row.
func (m *quotaModel) accept(count queueCount, tokens int64) (shown queueCount, applied bool) {
	if count.version != m.row.Version {
		return m.queue.countFromRows([]passthrough.Row{m.row}), false
	}
	version := m.row.Version + 1
	m.row = m.queue.row("job", count.tokens+tokens)
	m.row.Version = version
	m.jobs = append(m.jobs, modelJob{tokens: tokens, version: version})
	return queueCount{}, true
}

// TestQuotaRowCountsKeepTheLimit lets nodes with copies of any age submit jobs while jobs end at
// any time. A node whose compare fails continues from the row that it is given. No order of these
// steps may let more tokens wait than the limit allows.
func TestQuotaRowCountsKeepTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &quotaModel{queue: tenantQueue{route: "batch"}, limit: 100, copies: make([]int, 3)}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			node := rapid.IntRange(0, len(m.copies)-1).Draw(t, "node")
			switch rapid.SampledFrom([]string{"hand in", "end", "follow"}).Draw(t, "step") {
			case "follow":
				m.copies[node] = rapid.IntRange(m.copies[node], len(m.jobs)).Draw(t, "to")
			case "end":
				if len(m.jobs) > 0 {
					m.jobs[rapid.IntRange(0, len(m.jobs)-1).Draw(t, "job")].ended = true
				}
			case "hand in":
				tokens := rapid.Int64Range(1, 60).Draw(t, "tokens")
				count := m.copyCount(node)
				for tries := 0; count.fits(tokens, m.limit); tries++ {
					shown, applied := m.accept(count, tokens)
					if applied {
						break
					}
					if count = count.orNewer(shown); tries > 1 {
						t.Fatalf("the compare failed with the count of the current row: %+v", count)
					}
				}
			}
			if waiting := m.waiting(len(m.jobs)); waiting > m.limit {
				t.Fatalf("%d tokens wait, allowed are %d", waiting, m.limit)
			}
		}
	})
}

// contendedRow is a row whose writes the store handles one after another, 300 a second.
type contendedRow struct {
	turn    chan struct{} // semaphore with one permit
	version atomic.Int64
}

// compare writes the row if it has the expected version, and returns the current version.
func (r *contendedRow) compare(expected int64) (version int64, applied bool) {
	r.turn <- struct{}{}
	defer func() { <-r.turn }()
	time.Sleep(time.Second / 300)
	applied = r.version.Load() == expected
	if applied {
		r.version.Add(1)
	}
	return r.version.Load(), applied
}

// TestConcurrentSubmissionsAreAcceptedInTime checks that 20 concurrent submissions, whose compares
// of the queue's row conflict, are all accepted within the second that a submission may take. On
// 985 nodes five submissions arrive in a second.
func TestConcurrentSubmissionsAreAcceptedInTime(t *testing.T) {
	const submissions, aim = 20, time.Second
	for range 5 {
		synctest.Test(t, func(t *testing.T) {
			row, began := &contendedRow{turn: make(chan struct{}, 1)}, time.Now()
			var all sync.WaitGroup
			for range submissions {
				all.Go(func() {
					version, applied := row.compare(0)
					for conflicts := 1; !applied; conflicts++ {
						if pause := conflictPause(conflicts); pause > 0 {
							time.Sleep(pause)
							version = row.version.Load()
							time.Sleep(4 * time.Millisecond) // latency of the answer with the row
						}
						version, applied = row.compare(version)
					}
				})
			}
			all.Wait()
			t.Logf("all were accepted after %v", time.Since(began))
			if took := time.Since(began); took > aim {
				t.Errorf("the last submission was accepted after %v", took)
			}
		})
	}
}
