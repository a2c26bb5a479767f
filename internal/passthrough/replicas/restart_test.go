package replicas

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"ringstream.example/ringstream/internal/passthrough"
	"ringstream.example/ringstream/internal/passthrough/catalog"
)

// startAgain starts so many nodes of one slot at one moment, whose first listings of the store take a
// time. The slot's row is that of a life before of one of them.
func startAgain(ctx context.Context, z *zone, nodes int, listing time.Duration) (services []*Service, followers []*catalog.Follower) {
	former, _ := json.Marshal(holderDocument{Address: "node-3", Life: "node-3/0"})
	z.slots.version = 1
	z.slots.rows["z/00"] = passthrough.Row{Table: tableSlots, Part: "z", Key: "00", Value: former, Version: 1}
	for i := range nodes {
		name := fmt.Sprint("node-", i)
		z.store.listing[name] = listing
		service, follower := z.start(ctx, name, 0.2)
		services, followers = append(services, service), append(followers, follower)
	}
	return services, followers
}

// All 985 nodes of a fleet before 10,000 engines lost power and started again together. After 6.1 s
// 123 of them were ready, and of 1,557 requests a second some 1,300 were refused for want of an engine.
// By the logs each node asked the address that its slot's row named, where a new life was searching
// itself and said that it had not listed the tables yet; after 1.5 s of that the node took the slot. Who
// held it by then was still listing the engines, and the next ones took it from that for the same
// reason: 165 claims were won where there are 40 slots, 2,090 lost, and 572 nodes asked the store. A listing takes
// 2 s here, and one node does it for all.
func TestNodesThatAllStartAgainListTheStoreOnce(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		const nodes, listing = 12, 2 * time.Second
		z := newZone()
		services, followers := startAgain(ctx, z, nodes, listing)
		time.Sleep(listing + 500*time.Millisecond)
		for i, follower := range followers {
			if !follower.Health().Listed {
				t.Errorf("%s has not listed the table, it is %v", services[i].Name, services[i].modeNow())
			}
		}
		if listed := z.store.listedBy(); listed != 1 {
			t.Errorf("%d nodes listed the store", listed)
		}
		if won := z.slots.version - 1; won != 1 {
			t.Errorf("the slot was taken %d times", won)
		}
	})
}

// A holder whose listing does not end is left to itself after some time: the others have listed the
// store 8 s after the start, which is 2 s after they gave up to wait for it.
func TestNodesDoNotWaitForAListingThatDoesNotEnd(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		z := newZone()
		services, followers := startAgain(ctx, z, 12, 0)
		for _, service := range services {
			z.store.listing[service.Name] = time.Second
		}
		time.Sleep(100 * time.Millisecond) // the first has its slot, and lists
		for _, service := range services {
			if service.modeNow() == holding {
				z.peers.setSilent(service.Name, false)
				z.store.refuse(service.Name)
			}
		}
		time.Sleep(8 * time.Second)
		listed := 0
		for _, follower := range followers {
			if follower.Health().Listed {
				listed++
			}
		}
		if listed < len(followers)-1 {
			t.Errorf("%d of %d have listed the table", listed, len(followers))
		}
	})
}
