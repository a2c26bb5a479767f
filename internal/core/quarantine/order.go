package quarantine

import "time"

// Order is an operator's word on a content: that it is blocked whatever its crashes tell, or
// no longer. What the crashes tell is lifted by telling them as excused.
type Order struct {
	Content Digest
	// Version orders the words on a content; the highest counts.
	Version int64
	// Left is how long the content is blocked from the moment of telling; 0: it is not.
	Left time.Duration
}

// ordered is an order as the ledger keeps it.
type ordered struct {
	version int64
	until   time.Time
}

// Order takes an operator's word; it reports whether that was news.
func (l *Ledger) Order(order Order, now time.Time) bool {
	if order.Version <= l.orders[order.Content].version {
		return false
	}
	l.orders[order.Content] = ordered{version: order.Version, until: now.Add(order.Left)}
	return true
}

// byOrder gives the verdict on a content that an operator has blocked.
func (l *Ledger) byOrder(content Digest, verdict Verdict, now time.Time) Verdict {
	known, found := l.orders[content]
	if !found || !now.Before(known.until) {
		return verdict
	}
	verdict.Ordered = true
	if !verdict.Blocked || verdict.Until.Before(known.until) {
		verdict.Blocked, verdict.Until = true, known.until
	}
	return verdict
}

// expireOrders forgets orders whose block has long ended: none is told as news again before.
func (l *Ledger) expireOrders(now time.Time) {
	for content, known := range l.orders {
		if now.Sub(known.until) > l.config.KeepFor {
			delete(l.orders, content)
		}
	}
}
