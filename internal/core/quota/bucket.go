package quota

// bucket is a token bucket. Its owner passes the refill and the capacity with
// each call, since both change with the limit.
type bucket struct {
	level float64 // requests, tokens or credits
}

func (b *bucket) fill(amount, capacity float64) { b.level = min(b.level+amount, capacity) }
