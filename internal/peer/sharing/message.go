package sharing

import (
	"maps"
	"math"
	"slices"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/loadsum"
)

// messageKind says what a datagram holds.
type messageKind uint8

const (
	kindReport  messageKind = iota + 1 // a node to its aggregator, or to others directly
	kindSummary                        // an aggregator to others
	kindTotal                          // an aggregator to the nodes that ask it
	kindPreempt                        // a node to one whose batch request is to be stopped
)

// message is one datagram. It is sent often, so it is small: loads stand in a
// flat list of loadFields each.
type message struct {
	Kind     messageKind
	Life     uint32 // of the sender; kindTotal: of the receiver
	Sequence uint64
	Included uint64 // kindTotal: the receiver's newest report in it
	// Loads holds for each engine: hash of its id, online and batch requests,
	// tokens to prefill and of memory, in units of tokenUnit.
	Loads   []uint32
	Engine  uint32 // kindPreempt: hash of its id
	Backlog uint32 // kindReport: batch items that wait
	Asks    bool   // kindReport
	Scope   uint8  // kindReport: of the sender; kindTotal: of the receiver
	// Backlogs holds for each node that has one: hash of its life, items.
	Backlogs []uint32 // kindSummary, kindTotal
}

const (
	loadFields    = 5
	backlogFields = 2
	tokenUnit     = 16 // counts of tokens are told in this unit, rounded up
)

// flatten gives the same list for the same loads.
func flatten(loads loadsum.Loads) []uint32 {
	flat := make([]uint32, 0, len(loads)*loadFields)
	for _, engine := range slices.Sorted(maps.Keys(loads)) {
		counts := loads[engine]
		if counts == (enginechoice.Counts{}) {
			continue
		}
		flat = append(flat, engine, small(counts.Online), small(counts.Batch), units(counts.PrefillTokens), units(counts.MemoryTokens))
	}
	return flat
}

func unflatten(flat []uint32) loadsum.Loads {
	loads := make(loadsum.Loads, len(flat)/loadFields)
	for ; len(flat) >= loadFields; flat = flat[loadFields:] {
		loads[flat[0]] = enginechoice.Counts{
			Online: int(flat[1]), Batch: int(flat[2]), PrefillTokens: int(flat[3]) * tokenUnit, MemoryTokens: int(flat[4]) * tokenUnit,
		}
	}
	return loads
}

func flattenBacklogs(backlogs []loadsum.Backlog) []uint32 {
	flat := make([]uint32, 0, len(backlogs)*backlogFields)
	for _, known := range backlogs {
		flat = append(flat, known.Node, small(known.Items))
	}
	return flat
}

func unflattenBacklogs(flat []uint32) []loadsum.Backlog {
	backlogs := make([]loadsum.Backlog, 0, len(flat)/backlogFields)
	for ; len(flat) >= backlogFields; flat = flat[backlogFields:] {
		backlogs = append(backlogs, loadsum.Backlog{Node: flat[0], Items: int(flat[1])})
	}
	return backlogs
}

func small(count int) uint32 { return uint32(min(max(count, 0), math.MaxInt32)) } //nolint:gosec // bounded

func units(tokens int) uint32 { return small((tokens + tokenUnit - 1) / tokenUnit) }
