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

// listed answers every call with a table whose rows have entries of engines.
type listed struct {
	rows  []passthrough.Row
	asked atomic.Int64
}

const entryBytes = 200

func newListed(rows int) *listed {
	table := &listed{}
	for i := range rows {
		table.rows = append(table.rows, passthrough.Row{Key: fmt.Sprintf("engine-%06d", i), Value: make([]byte, entryBytes), Version: int64(i + 1)})
	}
	return table
}

// Follow implements Tables.
func (l *listed) Follow(context.Context, FollowCall) FollowAnswer {
	l.asked.Add(1)
	return FollowAnswer{Whole: true, Rows: l.rows, Version: int64(len(l.rows)), At: time.Second, AsOf: time.Second}
}

// startListed starts a node that has a table to follow.
func startListed(t *testing.T, rows int) (table *listed, address string) {
	t.Helper()
	table, address = newListed(rows), freeAddress(t)
	startWith(t, newLocal(), address, func(share *Share) { share.UseTables(table) })
	dial(t, address) // until it listens
	return table, address
}

// dial connects to a node that may not listen yet.
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

// inUse gives the bytes of the heap that are in use.
func inUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// In a fleet of 985 nodes and 10,000 engines one node had 121 MB at its peak where half of the nodes
// had 29: the store had forgotten its history, and the 24 followers and seven other holders of the
// node that reads for a zone listed the engines again at one moment. Each answer was encoded
// whole before its first byte was sent, 2.4 MB in a buffer of up to 4 MB, so that what the node
// needed grew with followers times engines: 2.7 MB a follower here, and 5.4 while it was made. An answer in parts needs that
// of one part. All of them may take half of the 32 MB that a node's control may, at any size of
// the table.
func TestManyFollowersOfALargeTableTakeLittleMemory(t *testing.T) {
	for _, rows := range []int{10_000, 40_000} {
		t.Run(fmt.Sprint(rows), func(t *testing.T) { followAtOnce(t, rows) })
	}
}

// followAtOnce has many followers list a table of so many rows at one moment.
func followAtOnce(t *testing.T, rows int) {
	const followers, most = 31, 16 << 20 // bytes
	table, address := startListed(t, rows)
	before := inUse()
	for range followers {
		connection := dial(t, address)
		// Its answer waits on the way: a follower on a small machine takes half a second for it.
		if err := gob.NewEncoder(connection).Encode(ask{Follow: &FollowCall{Table: "engines", Parts: true}}); err != nil {
			t.Fatal(err)
		}
	}
	for until := time.Now().Add(10 * time.Second); table.asked.Load() < followers && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	// What is collected soon counts in most looks, since answers are under way; what they hold on
	// to counts in each.
	grown := uint64(math.MaxUint64)
	for range 40 {
		grown = min(grown, max(inUse(), before)-before)
		time.Sleep(5 * time.Millisecond)
	}
	t.Logf("%d KB a follower", grown/followers>>10)
	if grown > most {
		t.Errorf("%d followers take %d KB, at most %d wanted", followers, grown>>10, most>>10)
	}
}

// A table comes whole and in order however many parts it takes, also to one who asks for no parts,
// as nodes of builds before do.
func TestTableInPartsComesWhole(t *testing.T) {
	for _, rows := range []int{0, 1, 700, 5000} {
		t.Run(fmt.Sprint(rows), func(t *testing.T) {
			table, address := startListed(t, rows)
			asker := start(t, newLocal(), freeAddress(t))
			for range 2 { // the second on the kept connection
				got, _, err := asker.Follow(t.Context(), address, FollowCall{Table: "engines"})
				if err != nil {
					t.Fatal(err)
				}
				want := FollowAnswer{Whole: true, Rows: table.rows, Version: int64(rows), At: time.Second, AsOf: time.Second}
				if !slices.EqualFunc(got.Rows, want.Rows, func(a, b passthrough.Row) bool {
					return a.Key == b.Key && a.Version == b.Version && len(a.Value) == len(b.Value)
				}) {
					t.Fatalf("%d rows of %d, or others", len(got.Rows), len(want.Rows))
				}
				got.Rows, want.Rows = nil, nil
				if difference := cmp.Diff(want, got); difference != "" {
					t.Fatal(difference)
				}
			}
			if got := followAsBefore(t, address); len(got.Rows) != rows || got.More {
				t.Errorf("without parts: %d rows, more %v", len(got.Rows), got.More)
			}
		})
	}
}

// followAsBefore asks as builds do that know of no parts.
func followAsBefore(t *testing.T, address string) FollowAnswer {
	t.Helper()
	connection := dial(t, address)
	if err := gob.NewEncoder(connection).Encode(ask{Follow: &FollowCall{Table: "engines"}}); err != nil {
		t.Fatal(err)
	}
	var told answer
	if err := gob.NewDecoder(connection).Decode(&told); err != nil {
		t.Fatal(err)
	}
	return *told.Follow
}
