package replicas

import (
	"context"
	"maps"
	"slices"
	"testing"
	"time"
)

// TestOneNodeOfASlotReadsForAll starts a large machine and small ones together. The large one
// reads the store for all. When it and the store become unreachable, the others fall back to the
// store, and one of them takes the slot as soon as the store accepts its claim.
func TestOneNodeOfASlotReadsForAll(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context) {
		z := newZone()
		small, _ := z.start(ctx, "small", 0.2)
		large, _ := z.start(ctx, "large", 0.8)
		other, _ := z.start(ctx, "other", 0.2)
		time.Sleep(2 * time.Second)
		if large.currentMode() != holding || small.currentMode() != following || other.currentMode() != following {
			t.Errorf("large %v, small %v, other %v", large.currentMode(), small.currentMode(), other.currentMode())
		}
		z.peers.setSilent("large", true)
		z.slots.setUnavailable(true)
		time.Sleep(4 * time.Second)
		if small.currentMode() != alone || other.currentMode() != alone {
			t.Errorf("without holder and store: small %v, other %v", small.currentMode(), other.currentMode())
		}
		z.slots.setUnavailable(false)
		time.Sleep(4 * time.Second)
		if one, two := small.currentMode(), other.currentMode(); one+two != holding+following {
			t.Errorf("the store is back: small %v, other %v", one, two)
		}
		z.peers.setSilent("large", false)
		time.Sleep(2 * large.config.CheckInterval)
		if large.currentMode() != following {
			t.Errorf("the former holder: %v", large.currentMode())
		}
	})
}

// TestFollowersCopyIsNotNewerThanItsHolders checks that a follower's copy never counts as newer than
// the holder's copy, and that it stays younger than 2 s while nothing changes, because an older
// copy must not be used for decisions.
func TestFollowersCopyIsNotNewerThanItsHolders(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context) {
		z := newZone()
		_, read := z.start(ctx, "large", 0.8)
		time.Sleep(500 * time.Millisecond)
		_, followed := z.start(ctx, "small", 0.2)
		time.Sleep(2 * time.Second)
		for range 200 {
			time.Sleep(37 * time.Millisecond)
			holder, follower := read.Health().AsOf, followed.Health().AsOf
			if follower.After(holder) {
				t.Errorf("the follower's copy counts as %v newer than the holder's", follower.Sub(holder))
			}
			if behind := time.Since(follower); behind >= 2*time.Second {
				t.Errorf("the follower is %v behind", behind)
			}
		}
	})
}

// TestOneNodeOfAZoneReadsTheStore checks that one holder of a zone reads the store, and that
// another one takes over when it stops answering, while no copy gets older than 2 s. When each
// holder of the eight slots of a zone read the store, forty nodes read each row of 10,000 engines
// in a fleet of five zones, which was most of 0.197 GB in a quiet minute.
func TestOneNodeOfAZoneReadsTheStore(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context) {
		z := newZone()
		services, followers := startMany(ctx, z)
		before := readers(services)
		if len(before) != 1 {
			t.Fatalf("%q read the store", before)
		}
		z.peers.setSilent(before[0], true)
		expectFresh(t, services, followers, 8*time.Second, "")
		time.Sleep(2 * services[0].config.CheckInterval)
		for _, service := range services {
			if mode := service.currentMode(); mode != holding && mode != following {
				t.Errorf("%s is %v", service.Name, mode)
			}
		}
	})
}

// TestFollowersWaitForAReaderThatListsAnew drops the store's history, so that its readers list
// the tables again. Listing 10,000 engines takes a small machine more than 1.2 s. Followers then
// took its copies for too old and listed the tables themselves, up to 25 at a time. They now wait
// for the reader, here 2 s, but leave a reader whose listing takes longer than a leaving engine
// may get requests.
func TestFollowersWaitForAReaderThatListsAnew(t *testing.T) {
	for _, test := range []struct {
		listing time.Duration
		waits   bool
	}{{2 * time.Second, true}, {4 * time.Second, false}} {
		runInBubble(t, func(t *testing.T, ctx context.Context) {
			z := newZone()
			services, followers := startMany(ctx, z)
			reads := readers(services)
			listed := z.store.nodesThatListed()
			names := make([]string, 0, len(services))
			for _, service := range services {
				names = append(names, service.Name)
			}
			z.store.dropHistory(names, test.listing)
			time.Sleep(test.listing + time.Second)
			if waits := z.store.nodesThatListed() == listed; waits != test.waits {
				t.Errorf("a listing of %v: the followers wait: %v", test.listing, waits)
			}
			if !test.waits {
				return
			}
			if now := readers(services); !slices.Equal(now, reads) {
				t.Errorf("%q read the store, before %q", now, reads)
			}
			expectFresh(t, services, followers, time.Second, "")
		})
	}
}

// TestFollowersKeepTheirSourceWhileTheStoreHasNothingNewer guards against followers that leave their source when
// the store sends changes to no node. After one second without changes all copies were too old to
// be followed, and 980 nodes left their sources at the same moment although the store told them
// no more; 166 found the history gone and listed the jobs. Followers now keep their source and
// ask the store in addition.
func TestFollowersKeepTheirSourceWhileTheStoreHasNothingNewer(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context) {
		z := newZone()
		services, _ := startMany(ctx, z)
		before := sources(services)
		names := make([]string, 0, len(services))
		for _, service := range services {
			names = append(names, service.Name)
		}
		z.store.refuse(names...)
		time.Sleep(8 * time.Second)
		if now := sources(services); !maps.Equal(now, before) {
			t.Errorf("the sources are %v, before the store refused calls %v", now, before)
		}
	})
}

// TestReaderThatTheStoreRefusesIsReplaced makes the store refuse only the reader, so that its
// followers have newer copies. Another node soon reads for all, and no other node's copy gets
// older than 2 s meanwhile.
func TestReaderThatTheStoreRefusesIsReplaced(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context) {
		z := newZone()
		services, followers := startMany(ctx, z)
		lost := readers(services)[0]
		z.store.refuse(lost)
		expectFresh(t, services, followers, 15*time.Second, lost)
		for name, followed := range sources(services) {
			if followed == lost {
				t.Errorf("%s still follows the reader that the store refuses", name)
			}
		}
	})
}

// TestFollowersDoNotAskAFeedThatTheirReaderDoubts guards against followers that ask the store
// because their reader's feed lacks a known change. The reader shows this by the age of its
// copies. Followers then asked the store themselves, 985 at the same moment, and took the same
// incomplete feed for fresh because they did not know of the change. They now rely on the reader,
// which lists the table every 2 s.
func TestFollowersDoNotAskAFeedThatTheirReaderDoubts(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context) {
		z := newZone()
		services, followers := startMany(ctx, z)
		reads := readers(services)
		for i, service := range services {
			if service.Name == reads[0] {
				followers[i].Expect("", "row that the feed does not tell", 7)
			}
		}
		z.store.takeFeedCallers()
		time.Sleep(8 * time.Second) // the table is listed every 1 to 2 s meanwhile
		if asked := z.store.takeFeedCallers(); !slices.Equal(asked, reads) {
			t.Errorf("%q asked the store, %q reads it", asked, reads)
		}
	})
}
