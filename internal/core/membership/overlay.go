package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"ringstream.example/ringstream/internal/core/identity"
)

// The overlay is the union of three kinds of rings: one ring through the members
// of each zone, one through those of each region, and one through all members. A
// zone or region therefore stays connected when all others are unreachable. A
// join or loss changes at most two links on each ring, and a node has at most six
// overlay links.
const (
	zoneRing = iota
	regionRing
	globalRing
	ringCount
)

// positions returns a node's position on each ring.
func positions(id identity.NodeID) [ringCount]uint64 {
	var places [ringCount]uint64
	for ring := range places {
		var digest xxhash.Digest
		digest.Reset()
		_, _ = digest.Write([]byte{byte(ring)}) // xxhash writes never fail
		_, _ = digest.WriteString(string(id))
		places[ring] = digest.Sum64()
	}
	return places
}

// sameRing reports whether other is on the same ring of the given kind as self.
func sameRing(ring int, self, other *Member) bool {
	switch ring {
	case zoneRing:
		return self.Zone == other.Zone && self.Region == other.Region
	case regionRing:
		return self.Region == other.Region
	default:
		return true
	}
}

// neighbours returns the overlay neighbours of self among the records that are
// not dead, sorted by id.
func neighbours(self *record, records []*record) []identity.NodeID {
	chosen := make([]identity.NodeID, 0, 2*ringCount)
	for ring := range ringCount {
		for _, neighbour := range ringNeighbours(ring, self, records) {
			if !slices.Contains(chosen, neighbour) {
				chosen = append(chosen, neighbour)
			}
		}
	}
	slices.Sort(chosen)
	return chosen
}

// ringNeighbours returns the members directly after and directly before self on a ring.
func ringNeighbours(ring int, self *record, records []*record) []identity.NodeID {
	var after, before identity.NodeID
	var afterGap, beforeGap uint64
	for _, other := range records {
		if other == self || other.member.State == Dead || !sameRing(ring, &self.member, &other.member) {
			continue
		}
		id := other.member.ID
		gap := other.ringPositions[ring] - self.ringPositions[ring] // unsigned arithmetic wraps around the ring
		if after == "" || gap < afterGap || (gap == afterGap && id < after) {
			after, afterGap = id, gap
		}
		if gap = -gap; before == "" || gap < beforeGap || (gap == beforeGap && id < before) {
			before, beforeGap = id, gap
		}
	}
	if after == "" {
		return nil
	}
	return []identity.NodeID{after, before}
}
