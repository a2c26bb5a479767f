package peer

import (
	"sync"

	"ringstream.example/ringstream/internal/core/identity"
)

// floodWindow is the number of an origin's latest floods that are tracked individually.
// Older ones count as seen.
const floodWindow = 1024

const wordBits = 64

// seenFloods distinguishes new floods from duplicates. It is safe for concurrent use.
type seenFloods struct {
	mu      sync.Mutex
	origins map[identity.NodeID]*floodHistory
}

// floodHistory is a sliding window over the flood numbers of one origin. Bit number%floodWindow of seen is
// set if the flood has been seen.
type floodHistory struct {
	highest uint64
	seen    [floodWindow / wordBits]uint64
}

// addIfNew reports whether a flood is seen for the first time, and records it.
func (s *seenFloods) addIfNew(origin identity.NodeID, number uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	history := s.origins[origin]
	if history == nil {
		history = &floodHistory{}
		s.origins[origin] = history
	}
	return history.addIfNew(number)
}

// addIfNew reports whether a number is seen for the first time, and records it.
func (h *floodHistory) addIfNew(number uint64) bool {
	if number+floodWindow <= h.highest {
		return false
	}
	if number > h.highest {
		if number-h.highest >= floodWindow {
			clear(h.seen[:])
		} else {
			for skipped := h.highest + 1; skipped <= number; skipped++ {
				h.seen[skipped%floodWindow/wordBits] &^= 1 << (skipped % wordBits)
			}
		}
		h.highest = number
	}
	word, bit := &h.seen[number%floodWindow/wordBits], uint64(1)<<(number%wordBits)
	if *word&bit != 0 {
		return false
	}
	*word |= bit
	return true
}

// retain removes the origins for which keep returns false.
func (s *seenFloods) retain(keep func(identity.NodeID) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for origin := range s.origins {
		if !keep(origin) {
			delete(s.origins, origin)
		}
	}
}

// Broadcast implements Bus. This node's own handler is not called.
func (n *Node) Broadcast(message any) {
	msgType, err := typeOf(message)
	if err != nil {
		n.encodeFailed("", err)
		return
	}
	n.forwardFlood(nil, frame{kind: frameFlood, number: n.floods.Add(1), origin: n.identity.ID, message: message, msgType: msgType})
}

// receiveFlood handles a flood received on a link and forwards it. Duplicates are ignored.
func (n *Node) receiveFlood(source *connection, f frame) {
	if f.origin == n.identity.ID || !n.seen.addIfNew(f.origin, f.number) {
		return
	}
	n.forwardFlood(source, f)
	n.handle(f.origin, f.message)
}

// forwardFlood queues a flood on all links except its source and the spare ones.
func (n *Node) forwardFlood(source *connection, f frame) {
	n.mu.Lock()
	links := make([]*connection, 0, len(n.links))
	for id, link := range n.links {
		if link != source && !n.machine.OutsideOverlay(id) {
			links = append(links, link)
		}
	}
	n.mu.Unlock()
	for _, link := range links {
		_ = link.enqueue(f) // dropped floods are counted and repaired by anti-entropy
	}
}
