package batch

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"ringstream.example/ringstream/internal/passthrough"
)

// Table is the table of job records, which nodes follow.
const Table = "jobs"

// The tables and parts of the store that jobs lie in. Records are followed by
// all nodes; texts are read on demand.
const (
	tableJobs  = Table
	tableTexts = "results"
	// tableBodies holds jobs as they were handed in; those over bodiesMost lie
	// in an object.
	tableBodies = "bodies"
	partNodes   = "nodes"
	partCrashes = "crashes"
	partQuotas  = "quotas"

	objectPrefix = "job-"
)

// textChunk is the longest piece of a text in one row, in bytes.
const textChunk = 40_000

// commitBytes is the most text of one transaction.
const commitBytes = 500_000

func (c Config) shard(job string) string {
	return fmt.Sprintf("s%02x", xxhash.Sum64String(job)%uint64(c.Shards))
}

// parts gives all parts of the table of records.
func (c Config) parts() []string {
	parts := []string{partNodes, partQuotas, partCrashes}
	for i := range c.Shards {
		parts = append(parts, fmt.Sprintf("s%02x", i))
	}
	return parts
}

// textKey is the key of one piece of the text at a position.
func textKey(job string, position, piece int) string {
	return fmt.Sprintf("%s/%06d/%04d", job, position, piece)
}

// textBound is a key below all texts of the job from a position on.
func textBound(job string, position int) string { return fmt.Sprintf("%s/%06d", job, position) }

// positionOf reads a text's key.
func positionOf(key string) (position int, ok bool) {
	_, rest, found := strings.Cut(key, "/")
	if !found {
		return 0, false
	}
	_, err := fmt.Sscanf(rest, "%06d/", &position)
	return position, err == nil
}

// bodyChunk is the longest piece of a job's body in one row, and bodiesMost the
// longest body that goes into the transaction that makes the job exist.
const (
	bodyChunk  = 46_000
	bodiesMost = 450_000
	// bodiesAgain is the longest body that is sent once more when a compare has failed: each try
	// of 450 kB takes a machine of 30 Mbit/s 160 ms, in which the next job is accepted.
	bodiesAgain = bodyChunk
)

func bodyKey(job string, piece int) string { return fmt.Sprintf("%s/%04d", job, piece) }

// bodyRows cuts a job's body into rows.
func (c Config) bodyRows(job string, body []byte) []passthrough.Row {
	var rows []passthrough.Row
	for piece := 0; len(body) > 0; piece++ {
		length := min(len(body), bodyChunk)
		rows = append(rows, passthrough.Row{Table: tableBodies, Part: c.shard(job), Key: bodyKey(job, piece), Value: body[:length]})
		body = body[length:]
	}
	return rows
}

func objectName(job string) string { return objectPrefix + job }
