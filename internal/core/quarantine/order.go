package quarantine

import "time"

// Order is an operator's instruction to block a content regardless of its crashes, or to end
// such a block. A block that follows from crashes is lifted by reporting them as excused.
type Order struct {
	Content Digest
	// Version orders the instructions for a content; the highest is in force.
	Version int64
	// Left is how long the content stays blocked, counted from the moment the order is sent;
	// 0 ends the block.
	Left time.Duration
}

// orderRecord is the stored form of an Order.
type orderRecord struct {
	version int64
	until   time.Time
}

// Order applies an operator's order and reports whether it was newer than the one known.
func (l *Ledger) Order(order Order, now time.Time) bool {
	if l.judgesParts(order.Content) {
		return l.parts.Order(order, now)
	}
	if order.Version <= l.orders[order.Content].version {
		return false
	}
	l.orders[order.Content] = orderRecord{version: order.Version, until: now.Add(order.Left)}
	return true
}

// applyOrder returns the verdict with the operator's block of the content applied, if there is
// one in force.
func (l *Ledger) applyOrder(content Digest, verdict Verdict, now time.Time) Verdict {
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

// expireOrders removes orders whose block ended longer than Retention ago. Until then the
// stored version keeps a repeated order from being applied as new.
func (l *Ledger) expireOrders(now time.Time) {
	for content, known := range l.orders {
		if now.Sub(known.until) > l.config.Retention {
			delete(l.orders, content)
		}
	}
}
