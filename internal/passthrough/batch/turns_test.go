package batch

import (
	"fmt"
	"testing"
	"time"

	"ringstream.example/ringstream/internal/core/loadsum"
)

// TestTurnsAreInProportionToBacklogs draws many turns: each has one holder, and
// nodes hold them as often as their backlogs ask.
func TestTurnsAreInProportionToBacklogs(t *testing.T) {
	backlogs := []loadsum.Backlog{{Node: 1, Items: 10}, {Node: 2, Items: 30}, {Node: 3, Items: 60}}
	held := make(map[uint32]int)
	const turns = 20_000
	for turn := range uint64(turns) {
		held[turnOf(backlogs, turn, "e1")]++
	}
	for _, known := range backlogs {
		if share := float64(held[known.Node]) / turns; share < float64(known.Items)/100-0.02 || share > float64(known.Items)/100+0.02 {
			t.Errorf("node %d with %d of 100 items has %.3f of the turns", known.Node, known.Items, share)
		}
	}
}

// TestTurnsChangeLittleWithBacklogs lets one backlog be seen a little larger: no
// turn goes from one of the other nodes to another.
func TestTurnsChangeLittleWithBacklogs(t *testing.T) {
	before := []loadsum.Backlog{{Node: 1, Items: 10}, {Node: 2, Items: 30}, {Node: 3, Items: 60}}
	after := []loadsum.Backlog{{Node: 3, Items: 60}, {Node: 1, Items: 12}, {Node: 2, Items: 30}}
	for turn := range uint64(1000) {
		engine := fmt.Sprint("e", turn%7)
		if was, is := turnOf(before, turn, engine), turnOf(after, turn, engine); was != is && is != 1 {
			t.Fatalf("turn %d went from node %d to node %d", turn, was, is)
		}
	}
}

// TestOneNodeHoldsEachTurn has each of several nodes ask whose turn it is.
func TestOneNodeHoldsEachTurn(t *testing.T) {
	var services []*Service
	var backlogs []loadsum.Backlog
	for i := range 4 {
		service := newTestService(&takingStore{})
		service.Self = fmt.Sprint("node", i)
		service.backlog = i + 1
		services = append(services, service)
		backlogs = append(backlogs, loadsum.Backlog{Node: loadsum.NodeHash(service.Self), Items: i + 1})
	}
	for turn := range 50 {
		holders := 0
		for i, service := range services {
			var others []loadsum.Backlog
			others = append(append(others, backlogs[:i]...), backlogs[i+1:]...)
			service.Contend(others)
			service.tellTime(time.Hour + time.Duration(turn)*turnLength)
			if service.turns()("e1") {
				holders++
			}
		}
		if holders != 1 {
			t.Fatalf("turn %d has %d holders", turn, holders)
		}
	}
}
