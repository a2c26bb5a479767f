package shard

// HandOverRequest asks the holder of shards to hand them over to the sender.
type HandOverRequest struct{ Shards []int }

// Released reports that the sender has released shards. Leaving is true when the
// sender is stopping and claims no more shards.
type Released struct {
	Shards  []int
	Leaving bool
}
