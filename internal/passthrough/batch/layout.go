package batch

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"ringstream.example/ringstream/internal/passthrough"
)

// Table is the table of job records, which nodes follow.
const Table = "jobs"

// Tables of the store, and parts of the table of jobs. All nodes follow the table of jobs. Texts
// are read on demand.
const (
	tableJobs  = Table
	tableTexts = "results"
	// tableBodies holds the bodies of jobs as submitted. A body longer than maxInlineBodyBytes is
	// stored as an object.
	tableBodies = "bodies"
	partNodes   = "nodes"
	partCrashes = "crashes"
	partQuotas  = "quotas"

	objectPrefix = "job-"
)

// textChunkBytes is the maximum size of a text's piece in one row.
const textChunkBytes = 40_000

// maxCommitBytes is the size of text in a transaction above which no further text is added.
const maxCommitBytes = 500_000

func (c Config) shard(job string) string {
	return fmt.Sprintf("s%02x", xxhash.Sum64String(job)%uint64(c.Shards))
}

// parts returns all parts of the table of jobs.
func (c Config) parts() []string {
	parts := []string{partNodes, partQuotas, partCrashes}
	for i := range c.Shards {
		parts = append(parts, fmt.Sprintf("s%02x", i))
	}
	return parts
}

// textKey returns the key of one piece of the text at a position.
func textKey(job string, position, piece int) string {
	return fmt.Sprintf("%s/%06d/%04d", job, position, piece)
}

// textLowerBound returns a key that sorts before all texts of the job from a position on.
func textLowerBound(job string, position int) string { return fmt.Sprintf("%s/%06d", job, position) }

// parseTextPosition returns the position in a text's key.
func parseTextPosition(key string) (position int, ok bool) {
	_, rest, found := strings.Cut(key, "/")
	if !found {
		return 0, false
	}
	_, err := fmt.Sscanf(rest, "%06d/", &position)
	return position, err == nil
}

// bodyChunkBytes is the maximum size of a body's piece in one row. maxInlineBodyBytes is the
// maximum size of a body that is written in the transaction that creates the job.
const (
	bodyChunkBytes     = 46_000
	maxInlineBodyBytes = 450_000
	// maxResentBodyBytes is the maximum size of a body that is resent after a failed compare. Each
	// attempt with 450 kB takes 160 ms on a machine with 30 Mbit/s, and another job may be accepted
	// in that time.
	maxResentBodyBytes = bodyChunkBytes
)

func bodyKey(job string, piece int) string { return fmt.Sprintf("%s/%04d", job, piece) }

// bodyRows splits a job's body into rows.
func (c Config) bodyRows(job string, body []byte) []passthrough.Row {
	var rows []passthrough.Row
	for piece := 0; len(body) > 0; piece++ {
		length := min(len(body), bodyChunkBytes)
		rows = append(rows, passthrough.Row{Table: tableBodies, Part: c.shard(job), Key: bodyKey(job, piece), Value: body[:length]})
		body = body[length:]
	}
	return rows
}

func objectName(job string) string { return objectPrefix + job }
