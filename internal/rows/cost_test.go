package rows

import (
	"flag"
	"fmt"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/policy"
	"ringstream.example/ringstream/internal/peer/peertest"
)

var costNodes = flag.String("cost.nodes", "9", "numbers of nodes to measure the cost of the table on")

const (
	costRows     = 2600
	costEdits    = 0.76 // per second, or 66,000 per day
	costMeasured = time.Minute
	targetNodes  = 340
	targetZones  = 18
)

// tableCost is the cost of the table per node and second.
type tableCost struct {
	bytes, messages, busiest, coreFraction float64
	reads, maxInForce                      float64 // store reads per second of the fleet; the longest time, in seconds, until an edit was in force on all nodes
}

func measureTable(t *testing.T, nodes int, edits float64) (result tableCost) {
	runFleet(t, 0, func(f *fleet) {
		rows := make([]policy.Row, costRows)
		for i := range rows {
			rows[i] = exampleRow(identity.RowID(fmt.Sprintf("row-%04d", i)))
		}
		f.preload(rows)
		f.zones = max(3, nodes*targetZones/targetNodes)
		for range nodes {
			f.start()
		}
		f.settle(20 * time.Second)
		before, reads, cpu := f.traffic(), f.table.readCount(), processorTime()
		count := int(edits * costMeasured.Seconds())
		for i := range count {
			result.maxInForce = max(result.maxInForce, f.timedEdit(i, nodes).Seconds())
			time.Sleep(time.Duration(float64(time.Second)/edits) - time.Second)
		}
		if count == 0 {
			f.settle(costMeasured)
		}
		result.coreFraction = (processorTime() - cpu).Seconds() / costMeasured.Seconds() / float64(nodes)
		result.reads = float64(f.table.readCount()-reads) / costMeasured.Seconds()
		for i, after := range f.traffic() {
			sent := float64(after.Bytes-before[i].Bytes) / costMeasured.Seconds()
			result.bytes += sent / float64(nodes)
			result.busiest = max(result.busiest, sent)
			result.messages += float64(after.Messages-before[i].Messages) / costMeasured.Seconds() / float64(nodes)
		}
	})
	return result
}

// preload writes rows to the store in the way of edits.
func (f *fleet) preload(rows []policy.Row) {
	f.table.set(func(table *fakeTable) {
		put := func(key string, value any) {
			table.version++
			table.records[key] = record(key, table.version, value)
		}
		for i := range rows {
			rows[i].Revision = uint64(i + 1)
			row := rows[i]
			put(rowKey(rows[i].ID), rows[i])
			put(logKey(rows[i].Revision), AuditEntry{Revision: rows[i].Revision, EditID: "preload", At: time.Now(), After: &row})
		}
		put(headKey, headRecord{Revision: uint64(len(rows))})
	})
}

// timedEdit makes one edit and returns the time until every node has it. It
// checks every 5 ms for a second, and returns a second if a node still lacks it.
func (f *fleet) timedEdit(number, nodes int) time.Duration {
	node := number * 7 % nodes
	row, _ := f.nodes[node].Table().Row(identity.RowID(fmt.Sprintf("row-%04d", number*31%costRows)))
	row.Weight = 2 + number%900
	began := time.Now()
	result := f.edit(node, Edit{ID: fmt.Sprint("cost", number), By: "cost", Row: row})
	inForce := time.Duration(0)
	for time.Since(began) < time.Second {
		f.settle(5 * time.Millisecond)
		if inForce == 0 && f.allNodesHold(result.Revision) {
			inForce = time.Since(began)
		}
	}
	if inForce == 0 {
		return time.Second
	}
	return inForce
}

func (f *fleet) allNodesHold(revision uint64) bool {
	for _, node := range f.nodes {
		if node.Table().Revision() < revision {
			return false
		}
	}
	return true
}

func (f *fleet) traffic() []peertest.Traffic {
	sent := make([]peertest.Traffic, len(f.nodes))
	for i, node := range f.nodes {
		sent[i] = f.network.Node(node.bus.Self()).Traffic()
	}
	return sent
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func TestCostAtTheTargetsEdits(t *testing.T) {
	for _, field := range strings.Split(*costNodes, ",") {
		nodes, err := strconv.Atoi(field)
		if err != nil {
			t.Fatal(err)
		}
		idle, busy := measureTable(t, nodes, 0), measureTable(t, nodes, costEdits)
		t.Logf("%3d nodes: idle %3.0f B/s, at %.2f edits/s %4.0f B/s and %4.1f messages/s a node (busiest %4.0f B/s), %.2f%% of a core, %.1f store reads/s, in force in %.0f ms at worst",
			nodes, idle.bytes, costEdits, busy.bytes, busy.messages, busy.busiest, 100*busy.coreFraction, busy.reads, 1000*busy.maxInForce)
		if busy.bytes > 3000 || busy.maxInForce >= 1 {
			t.Errorf("%d nodes: %.0f B/s per node, want at most 3000; in force in %.0f ms, want less than 1000", nodes, busy.bytes, 1000*busy.maxInForce)
		}
	}
}
