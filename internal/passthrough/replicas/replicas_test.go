package replicas

import (
	"context"
	"maps"
	"slices"
	"testing"
	"time"
)

// A large machine and small ones start together, and later the holder falls silent, and the store
// with it. One reads for all; the next one does as soon as the store takes its claim; meanwhile
// each asks the store for itself.
func TestOneNodeOfASlotReadsForAll(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		z := newZone()
		small, _ := z.start(ctx, "small", 0.2)
		large, _ := z.start(ctx, "large", 0.8)
		other, _ := z.start(ctx, "other", 0.2)
		time.Sleep(2 * time.Second)
		if large.modeNow() != holding || small.modeNow() != following || other.modeNow() != following {
			t.Errorf("large %v, small %v, other %v", large.modeNow(), small.modeNow(), other.modeNow())
		}
		z.peers.setSilent("large", true)
		z.slots.setLost(true)
		time.Sleep(4 * time.Second)
		if small.modeNow() != alone || other.modeNow() != alone {
			t.Errorf("without holder and store: small %v, other %v", small.modeNow(), other.modeNow())
		}
		z.slots.setLost(false)
		time.Sleep(4 * time.Second)
		if one, two := small.modeNow(), other.modeNow(); one+two != holding+following {
			t.Errorf("the store is back: small %v, other %v", one, two)
		}
		z.peers.setSilent("large", false)
		time.Sleep(2 * large.config.CheckEvery)
		if large.modeNow() != following {
			t.Errorf("the former holder: %v", large.modeNow())
		}
	})
}

// What a follower knows is never said to be newer than the holder knew it. It is less than 2 s old
// while nothing changes, for nothing is decided by a copy that is older.
func TestFollowerIsAsOfWhatTheHolderKnew(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		z := newZone()
		_, read := z.start(ctx, "large", 0.8)
		time.Sleep(500 * time.Millisecond)
		_, followed := z.start(ctx, "small", 0.2)
		time.Sleep(2 * time.Second)
		for range 200 {
			time.Sleep(37 * time.Millisecond)
			holder, follower := read.Health().AsOf, followed.Health().AsOf
			if follower.After(holder) {
				t.Errorf("the follower is as of %v after what the holder knew", follower.Sub(holder))
			}
			if behind := time.Since(follower); behind >= 2*time.Second {
				t.Errorf("the follower is %v behind", behind)
			}
		}
	})
}

// Each of the eight holders of a zone's slots read the store for itself: forty of them read each row
// of 10,000 engines in a fleet of five zones, most of 0.197 GB in a quiet minute. One of
// a zone reads it now; when it falls silent another does, and nobody's copy gets older than 2 s.
func TestOneNodeOfAZoneReadsTheStore(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		z := newZone()
		services, followers := startMany(ctx, z)
		before := readers(services)
		if len(before) != 1 {
			t.Fatalf("%q read the store", before)
		}
		z.peers.setSilent(before[0], true)
		expectFresh(t, services, followers, 8*time.Second, "")
		time.Sleep(2 * services[0].config.CheckEvery)
		for _, service := range services {
			if mode := service.modeNow(); mode != holding && mode != following {
				t.Errorf("%s is %v", service.Name, mode)
			}
		}
	})
}

// A store that forgets its history has its readers list the tables anew. 10,000 engines take a small
// machine more than 1.2 s, after which its followers took its copies for too old and listed
// the tables themselves, up to 25 at a time. They wait for the reader, 2 s here, and one
// whose listing takes longer than a leaving engine may get requests is left.
func TestFollowersWaitForAReaderThatListsAnew(t *testing.T) {
	for _, test := range []struct {
		listing time.Duration
		waits   bool
	}{{2 * time.Second, true}, {4 * time.Second, false}} {
		inBubble(t, func(t *testing.T, ctx context.Context) {
			z := newZone()
			services, followers := startMany(ctx, z)
			reads := readers(services)
			listed := z.store.listedBy()
			names := make([]string, 0, len(services))
			for _, service := range services {
				names = append(names, service.Name)
			}
			z.store.forget(names, test.listing)
			time.Sleep(test.listing + time.Second)
			if waits := z.store.listedBy() == listed; waits != test.waits {
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

// A store whose feeds told nothing for a second had 980 nodes leave their sources at one moment, since
// all copies were too old to be followed. The store told them no more than it told those; 166 found
// the history gone and listed the jobs. They stay now, and ask the store beside.
func TestNobodyLeavesASourceThatKnowsAsMuch(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
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
			t.Errorf("followed are %v, before the store told nothing %v", now, before)
		}
	})
}

// A reader that alone is refused by the store knows less than those who follow it. Nobody's copy gets
// older than 2 s meanwhile, and another node reads for all soon.
func TestReaderThatTheStoreRefusesIsReplaced(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		z := newZone()
		services, followers := startMany(ctx, z)
		lost := readers(services)[0]
		z.store.refuse(lost)
		expectFresh(t, services, followers, 15*time.Second, lost)
		for name, followed := range sources(services) {
			if followed == lost {
				t.Errorf("%s still follows the reader that knows nothing", name)
			}
		}
	})
}

// A reader whose feed lacks what the store is known to have says so by the age of its copies. Its
// followers asked the store themselves then, 985 at one moment, and took the same silent feed for fresh,
// since nothing had shown them otherwise. They go by the reader, which lists the table each 2 s.
func TestFollowersDoNotAskAFeedThatTheirReaderDoubts(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		z := newZone()
		services, followers := startMany(ctx, z)
		reads := readers(services)
		for i, service := range services {
			if service.Name == reads[0] {
				followers[i].Expect("", "row that the feed does not tell", 7)
			}
		}
		z.store.askedBy()
		time.Sleep(8 * time.Second) // in which the table is listed each 1 to 2 s
		if asked := z.store.askedBy(); !slices.Equal(asked, reads) {
			t.Errorf("%q asked the store, %q reads it", asked, reads)
		}
	})
}
