// Package streamorigin decides at which software version a stream may be resumed. The events of
// two versions do not form one stream, and engines do not check this, so a stream is resumed only
// at the version that wrote its first event.
//
// Nodes record the origin of each stream under the id of the request that brought its first event.
// A Lookup combines what several nodes know. The current time is an argument; the package does no
// I/O and takes no locks.
package streamorigin

import (
	"crypto/sha256"
	"slices"
	"time"
)

// Key identifies a stream. It is the first half of a SHA-256 sum, so that requests with different
// ids have different keys.
type Key [sha256.Size / 2]byte

// KeyOf returns the key of the stream whose first event a request brought.
func KeyOf(requestID string) Key {
	sum := sha256.Sum256([]byte(requestID))
	return Key(sum[:len(Key{})])
}

// Record states which software version began a stream.
type Record struct {
	Key      Key
	Software string
}

// Retention is how long origins and the versions of engines that have left are remembered. A
// stream ends with its client's deadline, which is at most the longest timeout of a route.
const Retention = time.Minute

// maxRecords bounds the records of one generation, at about 100 bytes each.
const maxRecords = 32 << 10

// Records holds the origins of recent streams. It keeps a record for Retention at least, unless
// maxRecords are newer, and for twice that time at most.
type Records struct {
	recent, previous map[Key]string
	rotatedAt        time.Time
}

// NewRecords returns an empty set.
func NewRecords(now time.Time) *Records {
	return &Records{recent: make(map[Key]string), previous: make(map[Key]string), rotatedAt: now}
}

// conflicting marks a key for which two versions were recorded. No engine has it as its version.
const conflicting = ""

// Add adds a record. If the key is known with another version, neither is returned any longer.
func (r *Records) Add(record Record, now time.Time) {
	r.rotate(now)
	if known, found := r.find(record.Key); found && known != record.Software {
		record.Software = conflicting
	}
	r.recent[record.Key] = record.Software
}

// Software returns the version that began a stream. It returns false if that is not known.
func (r *Records) Software(key Key, now time.Time) (string, bool) {
	r.rotate(now)
	software, found := r.find(key)
	return software, found && software != conflicting
}

// All returns all records in unspecified order.
func (r *Records) All() []Record {
	var list []Record
	for _, generation := range []map[Key]string{r.previous, r.recent} {
		for key, software := range generation {
			if software != conflicting {
				list = append(list, Record{Key: key, Software: software})
			}
		}
	}
	return list
}

func (r *Records) find(key Key) (software string, found bool) {
	if software, found = r.recent[key]; found {
		return software, true
	}
	software, found = r.previous[key]
	return software, found
}

// rotate starts a new generation once the current one is Retention old, or full.
func (r *Records) rotate(now time.Time) {
	age := now.Sub(r.rotatedAt)
	if age < Retention && len(r.recent) < maxRecords {
		return
	}
	r.previous = r.recent
	if age >= 2*Retention {
		r.previous = make(map[Key]string)
	}
	r.recent, r.rotatedAt = make(map[Key]string), now
}

// Evidence is what one node knows about the origin of a stream.
type Evidence struct {
	Software string // the version that began the stream; empty if the node does not know it
	// Versions holds the versions of the pool's engines that the node has known within
	// Retention, at most maxVersions of them.
	Versions []string
}

// maxVersions bounds the versions in an Evidence. Two are enough to tell that there are several.
const maxVersions = 2

// NewEvidence returns the evidence of a node from its records and the versions of a pool's engines.
func NewEvidence(software string, versions []string) Evidence {
	return Evidence{Software: software, Versions: versions[:min(maxVersions, len(versions))]}
}

// Source tells how a version was found.
type Source uint8

// The sources of a version.
const (
	Undecided   Source = iota // more evidence may tell
	FromRecord                // a node has a record of the stream
	OnlyVersion               // no other version has served within Retention
	NotFound                  // no node knows which of several versions began the stream
)

var sourceNames = [...]string{"undecided", "record", "only_version", "not_found"}

// String returns the name for logs.
func (s Source) String() string { return sourceNames[s] }

// Lookup combines the evidence of several nodes about one stream.
type Lookup struct {
	software    string
	contradicts bool
	versions    []string
}

// Add adds the evidence of a node.
func (l *Lookup) Add(evidence Evidence) {
	if evidence.Software != "" {
		l.contradicts = l.contradicts || (l.software != "" && l.software != evidence.Software)
		l.software = evidence.Software
	}
	for _, version := range evidence.Versions {
		if !slices.Contains(l.versions, version) {
			l.versions = append(l.versions, version)
		}
	}
}

// Result returns the version at which the stream may be resumed. Before the evidence is complete,
// only a record decides. Complete evidence is that of this node and of all nodes that may have a
// record, or of as many as this node can rely on.
func (l *Lookup) Result(complete bool) (software string, source Source) {
	switch {
	case l.contradicts:
		return "", NotFound
	case l.software != "":
		return l.software, FromRecord
	case !complete:
		return "", Undecided
	case len(l.versions) == 1:
		return l.versions[0], OnlyVersion
	default:
		return "", NotFound
	}
}

// Versions returns the versions that the nodes know.
func (l *Lookup) Versions() []string { return l.versions }
