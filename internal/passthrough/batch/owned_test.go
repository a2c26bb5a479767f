package batch

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/passjob"
	"ringstream.example/ringstream/internal/passthrough"
	"ringstream.example/ringstream/internal/passthrough/catalog"
)

// acceptingStore applies every transaction.
type acceptingStore struct {
	passthrough.Rows
	version atomic.Int64
}

// Commit implements passthrough.Rows.
func (s *acceptingStore) Commit(context.Context, passthrough.Transaction) (passthrough.CommitResult, error) {
	return passthrough.CommitResult{Applied: true, Version: s.version.Add(1)}, nil
}

func newTestService(store passthrough.Rows) *Service {
	return New(DefaultConfig(), Dependencies{
		Store: store, Logger: zap.NewNop(), Self: "n1/life", Name: "n1",
		Follow: catalog.DefaultFollowConfig(), Registerer: prometheus.NewRegistry(),
	})
}

// testRecord returns a job of the node n1/life with the given number of open items.
func testRecord(items int) passjob.Record {
	record := passjob.Record{ID: "job1", Host: "host"}
	for index := range items {
		record.Items = append(record.Items, passjob.Item{ID: fmt.Sprintf("item%d", index), Tokens: 10})
	}
	record.Claim("n1/life")
	return record
}

// TestItemsFinishWhileTheRecordIsWritten finishes the items of many jobs at once, so that items are
// logged as finished while the write of other items replaces the record. The race detector found
// such a race in TestJobsSurviveTheLossOfAllNodes, in about one run of fifteen.
func TestItemsFinishWhileTheRecordIsWritten(t *testing.T) {
	const jobs, items = 100, 40
	service := newTestService(&acceptingStore{})
	for range jobs {
		service.adopt(testRecord(items), 1, make([]passthrough.Item, items))
		job := service.ownedJobs()[0]
		start := make(chan struct{})
		for index := range items {
			go func() {
				<-start
				service.finish(job, index, passjob.Succeeded, "whole")
			}()
		}
		close(start)
		<-job.ctx.Done() // the last write drops the job
		service.mu.Lock()
		if job.record.Listed != items || job.record.Active() {
			t.Errorf("%d of %d items are listed", job.record.Listed, items)
		}
		service.mu.Unlock()
	}
}

// TestStaleOwnerWritesNothing puts another owner's record into the store. The first failed compare
// must end the ownership.
func TestStaleOwnerWritesNothing(t *testing.T) {
	other := testRecord(2)
	other.Claim("n2/life")
	service := newTestService(&conflictingStore{current: other})
	service.adopt(testRecord(2), 1, make([]passthrough.Item, 2))
	job := service.ownedJobs()[0]
	service.finish(job, 0, passjob.Succeeded, "whole")
	select {
	case <-job.ctx.Done():
	case <-time.After(10 * time.Second):
		t.Fatal("the ownership did not end")
	}
	if known, found := service.view.job("job1"); !found || known.record.Owner != "n2/life" {
		t.Errorf("the view holds %+v", known.record)
	}
}

// conflictingStore holds one record whose version matches no compare.
type conflictingStore struct {
	passthrough.Rows
	current passjob.Record
}

// Commit implements passthrough.Rows.
func (s *conflictingStore) Commit(_ context.Context, transaction passthrough.Transaction) (passthrough.CommitResult, error) {
	place := transaction.Expected[0]
	row := passthrough.Row{Table: place.Table, Part: place.Part, Key: place.Key, Value: s.current.Encode(), Version: 9}
	return passthrough.CommitResult{Current: []passthrough.Row{row}, Version: 9}, nil
}
