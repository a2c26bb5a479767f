package batch

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"ringstream.example/ringstream/internal/core/ordering"
	"ringstream.example/ringstream/internal/core/quarantine"
	"ringstream.example/ringstream/internal/passthrough"
)

// Quarantine gives operators access to the contents that crash engines, as recorded in the store.
// No node is asked, and all nodes that follow the store learn of a change.
type Quarantine struct{ Rows passthrough.Rows }

// KnownContent is a content that is recorded in the store.
type KnownContent struct {
	quarantine.BlockedContent
	Reason string // of the operator's last order; empty: none
}

// operatorKey returns the key of the row with the operators' order for a content.
func operatorKey(content quarantine.Digest) string { return content.Key() + "/operator" }

// LongestBlock is the longest time that an operator can block a content for.
const LongestBlock = 7 * 24 * time.Hour

// ErrBlockLength is returned for a block that is too short or too long.
var ErrBlockLength = fmt.Errorf("a block lasts for more than 0 and at most %s", LongestBlock)

// Read returns the contents that are recorded in the store, blocked ones first. Items of jobs are not among
// them, since their crashes block nothing. The error names
// rows that cannot be decoded, which nodes ignore; the other contents are returned beside it.
func (q Quarantine) Read(ctx context.Context) ([]KnownContent, error) {
	rows, storeNow, err := q.list(ctx)
	if err != nil {
		return nil, err
	}
	ledger, now := quarantine.NewLedger(quarantine.DefaultConfig()), time.Now()
	known := make(map[quarantine.Digest]*KnownContent)
	var unreadable []error
	for _, row := range rows {
		content, kept, err := parseCrashRow(row)
		if err != nil {
			unreadable = append(unreadable, fmt.Errorf("row %s: %w", row.Key, err))
			continue
		}
		if known[content] == nil {
			known[content] = &KnownContent{BlockedContent: quarantine.BlockedContent{Content: content}}
		}
		since := max(storeNow-kept.WrittenAt, 0)
		for _, entry := range kept.Crashes {
			ledger.RecordCrash(quarantine.Crash{Content: content, Engine: entry.Engine, Age: entry.Age + since, Excused: entry.Excused}, now)
		}
		if kept.Order != nil {
			known[content].Reason = kept.Order.Reason
			ledger.Order(quarantine.Order{Content: content, Version: row.Version, Left: max(kept.Order.BlockFor-since, 0)}, now)
		}
	}
	list := make([]KnownContent, 0, len(known))
	for content, summary := range known {
		if content.IsItem() {
			continue
		}
		summary.Verdict, summary.Crashes = ledger.Verdict(content, now), ledger.Crashes(content, now)
		list = append(list, *summary)
	}
	slices.SortFunc(list, func(a, b KnownContent) int {
		return cmp.Or(ordering.FalseFirst(b.Verdict.Blocked, a.Verdict.Blocked), cmp.Compare(b.Verdict.Crashes, a.Verdict.Crashes), slices.Compare(a.Content[:], b.Content[:]))
	})
	return list, errors.Join(unreadable...)
}

// Block blocks a content for some time, whatever crashes are recorded for it.
func (q Quarantine) Block(ctx context.Context, content quarantine.Digest, lasting time.Duration, reason string) error {
	if lasting <= 0 || lasting > LongestBlock {
		return ErrBlockLength
	}
	_, storeNow, err := q.list(ctx)
	if err != nil {
		return err
	}
	return q.put(ctx, content, crashRow{WrittenAt: storeNow, Order: &orderEntry{BlockFor: lasting, Reason: reason}})
}

// Lift ends the block of a content, whether an operator or crashes caused it. The crashes recorded
// in the store no longer count. Later crashes count again. Lift returns ErrNotFound for a content
// that is not recorded in the store.
func (q Quarantine) Lift(ctx context.Context, content quarantine.Digest, reason string) error {
	rows, storeNow, err := q.list(ctx)
	if err != nil {
		return err
	}
	lifted := crashRow{WrittenAt: storeNow, Order: &orderEntry{Reason: reason}}
	found := false
	for _, row := range rows {
		of, kept, err := parseCrashRow(row)
		if err != nil || of != content {
			continue
		}
		found = true
		for _, entry := range kept.Crashes {
			entry.Age += max(storeNow-kept.WrittenAt, 0)
			entry.Excused = true
			lifted.Crashes = append(lifted.Crashes, entry)
		}
	}
	if !found {
		return passthrough.ErrNotFound
	}
	return q.put(ctx, content, lifted)
}

// errNotWritten is returned if the store does not apply the write of a row.
var errNotWritten = errors.New("the store did not take the row")

func (q Quarantine) put(ctx context.Context, content quarantine.Digest, row crashRow) error {
	value, err := json.Marshal(row)
	if err != nil {
		return err
	}
	result, err := q.Rows.Commit(ctx, passthrough.Transaction{Put: []passthrough.Row{{Table: tableJobs, Part: partCrashes, Key: operatorKey(content), Value: value}}})
	if err == nil && !result.Applied {
		return errNotWritten
	}
	return err
}

// list reads all rows with crashes, and the store's clock.
func (q Quarantine) list(ctx context.Context) (rows []passthrough.Row, storeNow time.Duration, err error) {
	from := ""
	for {
		snapshot, err := q.Rows.List(ctx, tableJobs, partCrashes, from, "", 0)
		if err != nil {
			return nil, 0, err
		}
		rows, storeNow = append(rows, snapshot.Rows...), snapshot.StoreAt
		if !snapshot.More || len(snapshot.Rows) == 0 {
			return rows, storeNow, nil
		}
		from = snapshot.Rows[len(snapshot.Rows)-1].Key + "\x00"
	}
}
