package batch

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"ringstream.example/ringstream/internal/passthrough"
)

// tenantQueue is what one tenant has waiting on one route.
type tenantQueue struct {
	route, tenant string // by name; no tenant: requests without one
}

// longestKey is the longest key of a row that the store takes, in bytes.
const longestKey = 200

// key names the queue's quota row.
func (q tenantQueue) key() string {
	if q.tenant == "" {
		return q.route
	}
	key := q.route + "/" + q.tenant
	if len(key) > longestKey {
		return fmt.Sprintf("queue-%016x", xxhash.Sum64String(key))
	}
	return key
}

// quotaDocument is a quota row. Builds that wrote the job's id alone compare versions and pass the
// value over.
type quotaDocument struct {
	Job string `json:"job"` // that was accepted last
	// Waiting is the most tokens that wait in the queue, that job's among them: items that end
	// only lower it. Whoever is shown the row by a failed compare goes on from it. Each
	// waited for its copy of the jobs before, and 150 nodes that accepted 4.5 jobs a second
	// held up some hand-ins for more than a second.
	Waiting int64 `json:"waiting"`
}

// row is the quota row once a job was accepted.
func (q tenantQueue) row(job string, waiting int64) passthrough.Row {
	value, err := json.Marshal(quotaDocument{Job: job, Waiting: waiting})
	if err != nil {
		panic(fmt.Sprintf("a quota row of strings and numbers: %v", err))
	}
	return passthrough.Row{Table: tableJobs, Part: partQuotas, Key: q.key(), Value: value}
}

// queueCount is what is known of the tokens that wait in a queue, as of a version of its quota row.
type queueCount struct {
	tokens  int64
	version int64
	exact   bool // else tokens is the most that may wait
	unknown bool // the row was written by a build that tells no number
}

// A hand-in that others have overtaken goes on at once two times, and pauses from then on, longer
// each time. The store takes the writes of a queue's row one after another, and each that is
// accepted fails all that wait behind it: at 300 writes a second 20 hand-ins at once take 0.55 s and
// 100 take 5.9 s on average (model of 6,000 and 800 trials). Twelve tries at once and pauses that
// double took 0.75 and 7.4 s, and over a second for 20 in one of a thousand trials.
const (
	overtakenAtOnce = 2
	overtakenMin    = 50 * time.Millisecond
	overtakenMost   = 800 * time.Millisecond
	overtakenGrowth = 1.3
)

// overtakenPause gives the pause after so many times, by chance; 0: what was shown is new enough to
// go on from. After a pause the row is read again.
func overtakenPause(times int) time.Duration {
	if times <= overtakenAtOnce {
		return 0
	}
	longest := float64(overtakenMin) * math.Pow(overtakenGrowth, float64(times-overtakenAtOnce-1))
	return 1 + rand.N(time.Duration(min(longest, float64(overtakenMost))))
}

// fits says whether so many tokens more fit under a limit; 0: there is none.
func (c queueCount) fits(tokens, limit int64) bool { return limit == 0 || c.tokens+tokens <= limit }

// orNewer gives what is known as of the later version.
func (c queueCount) orNewer(shown queueCount) queueCount {
	if shown.version > c.version && !shown.unknown {
		return shown
	}
	return c
}

// shownBy reads the queue's row among those that a failed compare has shown.
func (q tenantQueue) shownBy(rows []passthrough.Row) queueCount {
	for _, row := range rows {
		if row.Part != partQuotas || row.Key != q.key() {
			continue
		}
		var document quotaDocument
		readable := json.Unmarshal(row.Value, &document) == nil && document.Waiting > 0
		return queueCount{tokens: document.Waiting, version: row.Version, unknown: !readable}
	}
	return queueCount{unknown: true}
}
