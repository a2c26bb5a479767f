package batch

import (
	"context"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/streamorigin"
	"ringstream.example/ringstream/internal/passthrough"
)

// servedRowOfThisBuild is a row as this build writes it.
const servedRowOfThisBuild = `{"versions":[{"software":"v1","left_at":3000000000},{"software":"v1.1"}]}`

var versionsOfThatRow = streamorigin.Served{{Software: "v1", LeftAt: 3 * time.Second}, {Software: "v1.1"}}

// TestServedRowIsKept guards against a change of the row's form. Nodes of two builds that do not read
// each other's rows take the version that they list for the only one.
func TestServedRowIsKept(t *testing.T) {
	value, err := encodeServed(versionsOfThatRow)
	if err != nil || string(value) != servedRowOfThisBuild {
		t.Errorf("encoded as %s, %v", value, err)
	}
	served, err := decodeServed([]byte(`{"versions":[{"software":"v1","left_at":3000000000,"of_a_later_build":1},{"software":"v1.1"}],"of_a_later_build":1}`))
	if difference := cmp.Diff(versionsOfThatRow, served); err != nil || difference != "" {
		t.Errorf("decoded with %v: %s", err, difference)
	}
}

// TestServedRowIsNoQueues guards against rows of software versions that disturb queues of jobs, and
// against a part that earlier builds would not list.
func TestServedRowIsNoQueues(t *testing.T) {
	if !slices.Contains([]string{partNodes, partQuotas, partCrashes}, partServed) {
		t.Errorf("earlier builds do not list the part %s", partServed)
	}
	v := newView(DefaultConfig(), zap.NewNop())
	v.Change([]passthrough.Row{{Table: tableJobs, Part: partServed, Key: servedKey("pool"), Value: []byte(servedRowOfThisBuild), Version: 7}})
	if len(v.quotaVersions)+len(v.jobs) != 0 {
		t.Errorf("quotas %v, jobs %v", v.quotaVersions, v.jobs)
	}
	for _, pool := range []string{"", "pool", string(make([]byte, 3*maxKeyBytes))} {
		if key := servedKey(pool); len(key) > maxKeyBytes || !isServed(passthrough.Row{Part: partServed, Key: key}) {
			t.Errorf("key %q", key)
		}
	}
}

// TestServedVersionsAreUnknownUntilTheRowsAreRead guards against a node that takes rows which it has not
// listed yet for missing ones: it took the version that it listed for the only one.
func TestServedVersionsAreUnknownUntilTheRowsAreRead(t *testing.T) {
	service := newTestService(&acceptingStore{})
	row := passthrough.Row{Table: tableJobs, Part: partServed, Key: servedKey("pool"), Value: []byte(servedRowOfThisBuild), Version: 7}
	service.setStoreClock(3*time.Second+streamorigin.Retention, time.Now().Add(time.Hour))
	if versions, known := service.ServedVersions("pool"); known {
		t.Errorf("nothing is listed: %v", versions)
	}
	service.view.Change([]passthrough.Row{row})
	if versions, known := service.ServedVersions("another"); known {
		t.Errorf("one row is read, the part is not listed: %v", versions)
	}
	service.view.Replace([]passthrough.Row{row}, 7)
	if versions, known := service.ServedVersions("pool"); !known || !slices.Equal(versions, []string{"v1", "v1.1"}) {
		t.Errorf("got %v, %t", versions, known)
	}
	if versions, known := service.ServedVersions("another"); !known || len(versions) != 0 {
		t.Errorf("another pool: %v, %t", versions, known)
	}
	service.view.Change([]passthrough.Row{{Table: tableJobs, Part: partServed, Key: servedKey("pool"), Value: []byte("{"), Version: 8}})
	if versions, known := service.ServedVersions("pool"); known {
		t.Errorf("the row is unreadable: %v", versions)
	}
}

// comparingStore keeps rows by key and applies transactions whose expectations hold.
type comparingStore struct {
	passthrough.Rows

	mu      sync.Mutex // guards the rest
	rows    map[string]passthrough.Row
	version int64
	commits int
	err     error // of each transaction, if not nil
}

// Commit implements passthrough.Rows.
func (s *comparingStore) Commit(_ context.Context, transaction passthrough.Transaction) (result passthrough.CommitResult, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commits++
	if s.err != nil {
		return passthrough.CommitResult{}, s.err
	}
	for _, expected := range transaction.Expected {
		if row := s.rows[expected.Key]; row.Version != expected.Version {
			return passthrough.CommitResult{Current: []passthrough.Row{row}, Version: s.version}, nil
		}
	}
	s.version += 10
	for _, row := range transaction.Put {
		row.Version = s.version
		s.rows[row.Key] = row
	}
	return passthrough.CommitResult{Applied: true, Version: s.version}, nil
}

// servedKeeper is a service that keeps the versions of one pool.
type servedKeeper struct {
	*Service
	store        *comparingStore
	changedSince map[string]time.Time
}

func newServedKeeper() *servedKeeper {
	store := &comparingStore{rows: make(map[string]passthrough.Row), version: 100}
	made := &servedKeeper{Service: newTestService(store), store: store, changedSince: make(map[string]time.Time)}
	made.setStoreClock(time.Hour, time.Now())
	made.view.Replace(nil, 100)
	return made
}

// list keeps the versions for some time while engines of the given ones are listed, with the feed at
// hand after each transaction, and returns the number of transactions.
func (k *servedKeeper) list(lasting time.Duration, software ...string) (commits int) {
	before := k.store.commits
	for end := time.Now().Add(lasting); time.Now().Before(end); time.Sleep(servedInterval) {
		k.keepPool(context.Background(), "pool", software, k.changedSince)
		if k.store.commits > before {
			k.view.Change(slices.Collect(maps.Values(k.store.rows)))
		}
	}
	return k.store.commits - before
}

func (k *servedKeeper) kept(t *testing.T) string {
	t.Helper()
	served, err := decodeServed(k.store.rows[servedKey("pool")].Value)
	if err != nil {
		t.Fatal(err)
	}
	text := ""
	for _, version := range served {
		text += version.Software
		if version.LeftAt > 0 {
			text += " left"
		}
		text += ";"
	}
	return text
}

// TestServedVersionsAreWrittenOnceAChange guards against writes while nothing changes, and against
// departures that are written while nodes still list the next engines at different times.
func TestServedVersionsAreWrittenOnceAChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newServedKeeper()
		for _, step := range []struct {
			listed  []string
			lasting time.Duration
			commits int
			kept    string
		}{
			{[]string{"v1"}, time.Hour, 1, "v1;"},
			{[]string{"v1", "v2"}, servedInterval, 1, "v1;v2;"},
			{[]string{"v2"}, departureDelay - servedInterval, 0, "v1;v2;"},
			{[]string{"v1", "v2"}, time.Minute, 0, "v1;v2;"},
			{[]string{"v2"}, time.Hour, 1, "v1 left;v2;"},
			{nil, time.Hour, 0, "v1 left;v2;"},
			{[]string{"v1"}, time.Hour, 2, "v1;v2 left;"},
			{[]string{"v3"}, time.Hour, 2, "v1 left;v3;"},
		} {
			if commits := k.list(step.lasting, step.listed...); commits != step.commits || k.kept(t) != step.kept {
				t.Errorf("%v listed: %d transactions, kept %s; want %d, %s", step.listed, commits, k.kept(t), step.commits, step.kept)
			}
		}
	})
}

// TestServedVersionsOfAnotherNodeAreKept guards against a node that overwrites, or tries for ever to
// overwrite, what another one wrote meanwhile.
func TestServedVersionsOfAnotherNodeAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newServedKeeper()
		key := servedKey("pool")
		k.store.rows[key] = passthrough.Row{Table: tableJobs, Part: partServed, Key: key, Value: []byte(`{"versions":[{"software":"v1"}]}`), Version: 50}
		if commits := k.list(2*servedRetryPause, "v2"); commits != 2 || k.kept(t) != "v1;v2;" {
			t.Errorf("%d transactions, kept %s", commits, k.kept(t))
		}
		delete(k.store.rows, key)
		if commits := k.list(time.Minute, "v2", "v3"); commits != 2 || k.kept(t) != "v2;v3;" {
			t.Errorf("after the row was removed: %d transactions, kept %s", commits, k.kept(t))
		}
		k.store.err = passthrough.ErrNothingDone
		if commits := k.list(time.Minute, "v2", "v3", "v4"); commits > int(time.Minute/servedRetryPause) {
			t.Errorf("%d transactions while the store refuses them", commits)
		}
	})
}
