package sharing

import (
	"context"
	"encoding/gob"
	"fmt"
	"math"
	"net"
	"runtime"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ringstream.example/ringstream/internal/passthrough"
)

// fakeTable answers every call with a whole table of engines.
type fakeTable struct {
	rows  []passthrough.Row
	asked atomic.Int64
}

const entryBytes = 200

func newFakeTable(rows int) *fakeTable {
	table := &fakeTable{}
	for i := range rows {
		table.rows = append(table.rows, passthrough.Row{Key: fmt.Sprintf("engine-%06d", i), Value: make([]byte, entryBytes), Version: int64(i + 1)})
	}
	return table
}

// Follow implements Tables.
func (f *fakeTable) Follow(context.Context, FollowCall) FollowAnswer {
	f.asked.Add(1)
	return FollowAnswer{Whole: true, Rows: f.rows, Version: int64(len(f.rows)), At: time.Second, AsOf: time.Second}
}

// startWithTable starts a node that has a table to follow, and waits until it listens.
func startWithTable(t *testing.T, rows int) (table *fakeTable, address string) {
	t.Helper()
	table, address = newFakeTable(rows), freeAddress(t)
	startWith(t, newFakeNode(), address, func(share *Share) { share.UseTables(table) })
	dial(t, address) // waits until the node listens
	return table, address
}

// dial connects to a node. It retries, since the node may not listen yet.
func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	for tries := 0; ; tries++ {
		connection, err := net.Dial("tcp", address)
		if err == nil {
			t.Cleanup(func() { _ = connection.Close() })
			return connection
		}
		if tries == 500 {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// heapInUse returns the bytes of allocated heap objects after a garbage collection.
func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// Guards against memory that grows with followers times engines. In a fleet of 985 nodes and 10,000
// engines, the store had lost its history, and the 24 followers and seven other holders of the node
// that reads for a zone listed the engines again at once. That node peaked at 121 MB, against a median
// of 29 MB. Each answer was encoded completely before its first byte was sent, 2.4 MB in a buffer of up
// to 4 MB: 2.7 MB per follower in this test, and 5.4 MB during encoding. An answer in parts needs the
// memory of one part. All answers together may take half of the 32 MB that a node's control
// may use, at any size of the table.
func TestManyFollowersOfALargeTableTakeLittleMemory(t *testing.T) {
	for _, rows := range []int{10_000, 40_000} {
		t.Run(fmt.Sprint(rows), func(t *testing.T) { followAtOnce(t, rows) })
	}
}

// followAtOnce lets many followers list a table with the given number of rows at once, and checks the growth of the heap.
func followAtOnce(t *testing.T, rows int) {
	const followers, maxGrowth = 31, 16 << 20 // bytes
	table, address := startWithTable(t, rows)
	before := heapInUse()
	for range followers {
		connection := dial(t, address)
		// The answer is left unread: a follower on a small machine takes half a second to read it.
		if err := gob.NewEncoder(connection).Encode(ask{Follow: &FollowCall{Table: "engines", Parts: true}}); err != nil {
			t.Fatal(err)
		}
	}
	for until := time.Now().Add(10 * time.Second); table.asked.Load() < followers && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	// Garbage that is collected soon inflates most of the samples while answers are in flight. Only memory
	// that the answers retain is in every sample, so the minimum counts.
	grown := uint64(math.MaxUint64)
	for range 40 {
		grown = min(grown, max(heapInUse(), before)-before)
		time.Sleep(5 * time.Millisecond)
	}
	t.Logf("%d KB per follower", grown/followers>>10)
	if grown > maxGrowth {
		t.Errorf("%d followers take %d KB, want at most %d KB", followers, grown>>10, maxGrowth>>10)
	}
}

// A table arrives complete and in order in any number of parts, also at a node that does not accept
// parts, like those of older builds.
func TestTableInPartsArrivesComplete(t *testing.T) {
	for _, rows := range []int{0, 1, 700, 5000} {
		t.Run(fmt.Sprint(rows), func(t *testing.T) {
			table, address := startWithTable(t, rows)
			asker := start(t, newFakeNode(), freeAddress(t))
			for range 2 { // the second call uses the kept connection
				got, _, err := asker.Follow(t.Context(), address, FollowCall{Table: "engines"})
				if err != nil {
					t.Fatal(err)
				}
				want := FollowAnswer{Whole: true, Rows: table.rows, Version: int64(rows), At: time.Second, AsOf: time.Second}
				if !slices.EqualFunc(got.Rows, want.Rows, func(a, b passthrough.Row) bool {
					return a.Key == b.Key && a.Version == b.Version && len(a.Value) == len(b.Value)
				}) {
					t.Fatalf("got %d rows, want %d; number or content differs", len(got.Rows), len(want.Rows))
				}
				got.Rows, want.Rows = nil, nil
				if difference := cmp.Diff(want, got); difference != "" {
					t.Fatal(difference)
				}
			}
			if got := followWithoutParts(t, address); len(got.Rows) != rows || got.More {
				t.Errorf("answer without parts has %d rows, More is %v", len(got.Rows), got.More)
			}
		})
	}
}

// followWithoutParts makes a call as builds that do not know parts do.
func followWithoutParts(t *testing.T, address string) FollowAnswer {
	t.Helper()
	connection := dial(t, address)
	if err := gob.NewEncoder(connection).Encode(ask{Follow: &FollowCall{Table: "engines"}}); err != nil {
		t.Fatal(err)
	}
	var response answer
	if err := gob.NewDecoder(connection).Decode(&response); err != nil {
		t.Fatal(err)
	}
	return *response.Follow
}
