// Package record defines the stored form of batch state: the keys and values in
// the table service, and the names of objects. It does no I/O.
package record

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/url"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"ringstream.example/ringstream/internal/core/batch"
	"ringstream.example/ringstream/internal/core/identity"
)

// State is the stored state of a job.
type State string

// The stored states. Void marks the id of a job that was never accepted and
// cannot be accepted later. Only the collector of orphaned objects writes it.
const (
	StateOpen      State = "open"
	StateCompleted State = "completed"
	StateCancelled State = "cancelled"
	StateVoid      State = "void"
)

// Job is a job's header. It changes only when the job ends.
type Job struct {
	ID         identity.JobID    `json:"id"`
	Tenant     identity.TenantID `json:"tenant"`
	Key        string            `json:"key"`
	Model      string            `json:"model"`
	Shard      int               `json:"shard"`
	CreatedAt  time.Time         `json:"created_at"`
	Deadline   time.Time         `json:"deadline,omitzero"`
	Repeatable bool              `json:"repeatable"`
	State      State             `json:"state"`
	// Segments holds the number of items in each input segment.
	Segments []int `json:"segments"`
	// Digest is the hash of the content. It distinguishes a job that is submitted
	// again from a reused key.
	Digest  string    `json:"digest"`
	EndedAt time.Time `json:"ended_at,omitzero"`
	// Tokens is the sum of max_tokens over the items, for forecasts.
	Tokens int64 `json:"tokens"`
}

// Total returns the number of items.
func (j *Job) Total() int {
	total := 0
	for _, items := range j.Segments {
		total += items
	}
	return total
}

// Ended reports whether the job has ended, so that no further item completes.
func (j *Job) Ended() bool { return j.State != StateOpen }

// Item is one line of a submission, and of an input object.
type Item struct {
	ID        string `json:"custom_id"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	// Repeatable overrides the job's value when set.
	Repeatable *bool `json:"repeatable,omitempty"`
}

// Result is one item's final outcome, and one JSON line of a result object.
type Result struct {
	Index   int    `json:"index"`
	ID      string `json:"custom_id"`
	Outcome string `json:"outcome"` // outcome.Kind's label
	Text    string `json:"text"`
	Reason  string `json:"reason,omitempty"`
}

// KeyHolder is the value of an idempotency key's record.
type KeyHolder struct {
	Job    identity.JobID `json:"job"`
	Digest string         `json:"digest"`
}

// Encode returns a value's stored form. It panics if the value cannot be encoded,
// which does not happen for the types of this package.
func Encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("record: %T does not encode: %v", value, err))
	}
	return data
}

// Decode decodes a value that Encode encoded.
func Decode[T any](data []byte) (T, error) {
	var value T
	if err := json.Unmarshal(data, &value); err != nil {
		return value, fmt.Errorf("stored %T: %w", value, err)
	}
	return value, nil
}

// DecodeSegment decodes a segment's record. Empty data stands for a segment
// without changes, all of whose items are open.
func DecodeSegment(data []byte, items int) (batch.Segment, error) {
	if len(data) == 0 {
		return batch.NewSegment(items), nil
	}
	return batch.DecodeSegment(data)
}

// ShardOf returns the shard of a new job among count shards.
func ShardOf(job identity.JobID, count int) int {
	return int(xxhash.Sum64String(string(job)) % uint64(count)) //nolint:gosec // below count
}

// The prefixes of the table's keys.
const (
	jobPrefix     = "batch/job/"
	segmentPrefix = "batch/segment/"
	sessionPrefix = "batch/session/"
	// OrphanCursorKey is the key of the position up to which the collector of
	// orphaned objects has scanned the input objects.
	OrphanCursorKey = "batch/orphan-cursor"
	// AllOpenPrefix is the prefix of the keys of all open jobs.
	AllOpenPrefix = "batch/open/"
	// ShardPrefix is the prefix of all leases.
	ShardPrefix = "batch/lease/"
)

// JobKey is the key of a job's header.
func JobKey(job identity.JobID) string { return jobPrefix + string(job) }

// SegmentsPrefix is the prefix of a job's segment records.
func SegmentsPrefix(job identity.JobID) string { return segmentPrefix + string(job) + "/" }

// SegmentKey is the key of one segment's state.
func SegmentKey(job identity.JobID, segment int) string {
	return fmt.Sprintf("%s%05d", SegmentsPrefix(job), segment)
}

// TrailingNumber parses the number at the end of a SegmentKey, an InputObject or a
// ShardKey.
func TrailingNumber(key string) (int, error) {
	var number int
	_, err := fmt.Sscanf(key[strings.LastIndexByte(key, '/')+1:], "%05d", &number)
	return number, err
}

// IdempotencyKey is the key of the record that maps a tenant's idempotency key to
// its job.
func IdempotencyKey(tenant identity.TenantID, key string) string {
	sum := sha256.Sum256([]byte(key))
	return "batch/key/" + url.PathEscape(string(tenant)) + "/" + hex.EncodeToString(sum[:16])
}

// OpenPrefix is the prefix of the keys of a shard's open jobs.
func OpenPrefix(shard int) string { return fmt.Sprintf("%s%05d/", AllOpenPrefix, shard) }

// OpenKey is the key of the record that exists while a job is open.
func OpenKey(shard int, job identity.JobID) string { return OpenPrefix(shard) + string(job) }

// TenantPrefix is the prefix of a tenant's jobs, which are listed newest first.
func TenantPrefix(tenant identity.TenantID) string {
	return "batch/tenant/" + url.PathEscape(string(tenant)) + "/"
}

// TenantKey is the key of a job in its tenant's list.
func TenantKey(tenant identity.TenantID, job identity.JobID) string {
	return TenantPrefix(tenant) + reverseOrder(string(job))
}

// JobOfTenantKey returns the job of a TenantKey.
func JobOfTenantKey(key string) identity.JobID {
	return identity.JobID(reverseOrder(lastPart(key)))
}

// ExpiryPrefix is the prefix of a shard's ended jobs, which are listed in the
// order of their expiry.
func ExpiryPrefix(shard int) string { return fmt.Sprintf("batch/expiry/%05d/", shard) }

// ExpiryKey is the key of an ended job in its shard's list of jobs to expire.
func ExpiryKey(shard int, expires time.Time, job identity.JobID) string {
	return fmt.Sprintf("%s%012d/%s", ExpiryPrefix(shard), expires.Unix(), job)
}

// ParseExpiryKey returns the expiry time and the job of an ExpiryKey.
func ParseExpiryKey(key string) (expires time.Time, job identity.JobID, err error) {
	parts := strings.Split(key, "/")
	var seconds int64
	if len(parts) != 5 {
		return time.Time{}, "", fmt.Errorf("expiry key %q", key)
	}
	if _, err := fmt.Sscanf(parts[3], "%012d", &seconds); err != nil {
		return time.Time{}, "", fmt.Errorf("expiry key %q: %w", key, err)
	}
	return time.Unix(seconds, 0), identity.JobID(parts[4]), nil
}

// ShardKey is the key of a shard's lease.
func ShardKey(shard int) string { return fmt.Sprintf("%s%05d", ShardPrefix, shard) }

// SessionKey is the key of a node's session.
func SessionKey(session string) string { return sessionPrefix + session }

// InputPrefix is the prefix of all input objects. They sort by the creation time
// of their jobs, because job ids do.
const InputPrefix = "batch/input/"

// InputObjectsPrefix is the prefix of a job's input objects.
func InputObjectsPrefix(job identity.JobID) string { return InputPrefix + string(job) + "/" }

// InputObject is the name of one input segment.
func InputObject(job identity.JobID, segment int) string {
	return fmt.Sprintf("%s%05d", InputObjectsPrefix(job), segment)
}

// ResultObjectsPrefix is the prefix of a job's result objects.
func ResultObjectsPrefix(job identity.JobID) string { return "batch/result/" + string(job) + "/" }

// ResultObject is the name of one result object.
func ResultObject(job identity.JobID, reference batch.Reference) string {
	return fmt.Sprintf("%s%08d-%08d", ResultObjectsPrefix(job), reference.Epoch, reference.Sequence)
}

// JobOfObject returns the job of an input or result object, or an empty id when
// the name has fewer than four parts.
func JobOfObject(name string) identity.JobID {
	parts := strings.Split(name, "/")
	if len(parts) < 4 {
		return ""
	}
	return identity.JobID(parts[2])
}

// JobOfOpenKey returns the job of an OpenKey.
func JobOfOpenKey(key string) identity.JobID { return identity.JobID(lastPart(key)) }

func lastPart(key string) string { return key[strings.LastIndexByte(key, '/')+1:] }

// jobIDAlphabet is the alphabet of job ids (Crockford's Base32), in byte order.
const jobIDAlphabet = "0123456789ABCDEFGHJKMNPQRSTVWXYZ"

// reverseOrder maps job ids so that they sort in reverse order. It is its own
// inverse.
func reverseOrder(id string) string {
	inverted := make([]byte, len(id))
	for i := range len(id) {
		position := strings.IndexByte(jobIDAlphabet, id[i])
		if position < 0 {
			inverted[i] = id[i]
			continue
		}
		inverted[i] = jobIDAlphabet[len(jobIDAlphabet)-1-position]
	}
	return string(inverted)
}
