package engineconn

import (
	"hash/maphash"
	"slices"
)

// maxCarriedIDs is the number of latest requests whose ids a connection knows. A surplus answer comes in
// the place of one of the next answers, of which a connection skips maxSurplusResponses.
const maxCarriedIDs = 64

// carriedIDs holds the ids of the latest requests on a connection, as hashes.
type carriedIDs struct {
	ids  []uint64
	next int // index of the oldest id, once maxCarriedIDs are kept
}

// idSeed is the seed of the hashes of ids.
var idSeed = maphash.MakeSeed()

// has reports whether the connection has carried a request with an id.
func (c *carriedIDs) has(id string) bool {
	return id != "" && slices.Contains(c.ids, maphash.String(idSeed, id))
}

// add records the id of a request.
func (c *carriedIDs) add(id string) {
	if id == "" {
		return
	}
	hash := maphash.String(idSeed, id)
	if len(c.ids) < maxCarriedIDs {
		c.ids = append(c.ids, hash)
		return
	}
	c.ids[c.next] = hash
	c.next = (c.next + 1) % maxCarriedIDs
}
