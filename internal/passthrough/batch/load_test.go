package batch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"ringstream.example/ringstream/internal/passthrough"
)

// laggingStore has the rows of a body only after a number of reads.
type laggingStore struct {
	acceptingStore
	misses int
}

// List implements passthrough.Rows.
func (s *laggingStore) List(context.Context, string, string, string, string, int) (passthrough.Snapshot, error) {
	if s.misses > 0 {
		s.misses--
		return passthrough.Snapshot{}, nil
	}
	return passthrough.Snapshot{Rows: []passthrough.Row{{Value: []byte("01")}}}, nil
}

// Guards against a job whose items are never placed since the store lacked its body for some reads after the
// job was taken over.
func TestJobIsLoadedOnceItsBodyIsThere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := newTestService(&laggingStore{misses: 100})
		service.Format = bodyFormat{}
		record := testRecord(2)
		record.BodyBytes = 2
		service.adopt(record, 1, nil)
		job := service.ownedJobs()[0]
		time.Sleep(time.Minute)
		service.mu.Lock()
		defer service.mu.Unlock()
		if len(job.items) != 2 {
			t.Errorf("%d items are loaded, want 2", len(job.items))
		}
		job.cancel()
	})
}
