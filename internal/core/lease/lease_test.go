package lease

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ringstream.example/ringstream/internal/core/identity"
	_ "ringstream.example/ringstream/internal/seedtest" // the same values at every run
)

const timeToLive = 7 * time.Second

// fleet is some nodes' machines for one shard over one store, with sessions
// that are renewed, or not, as rapid likes.
type fleet struct {
	now      time.Time
	version  uint64
	shard    Versioned
	sessions map[string]stored
	nodes    []*node
}

type stored struct {
	session Session
	version uint64
}

type node struct {
	machine Machine
	lives   int
	// The naive twin of the watch: all that the node has read of sessions.
	reads []read
	live  bool // as others' membership lists say
}

type read struct {
	session string
	version uint64
	at      time.Time
}

func (f *fleet) draw(t *rapid.T) *node {
	return f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(t, "node")]
}

func (f *fleet) begin(n *node, index int) {
	n.lives++
	n.reads = nil // a new process remembers nothing
	n.machine = Machine{Node: identity.NodeID(fmt.Sprint(index)), Session: fmt.Sprintf("%d.%d", index, n.lives), TimeToLive: timeToLive}
	n.machine.Want(true)
	n.live = true
	f.renew(n)
}

func (f *fleet) renew(n *node) {
	f.version++
	f.sessions[n.machine.Session] = stored{Session{Node: n.machine.Node, RenewedAt: f.now}, f.version}
}

// naiveLapsed reads the rule off the list of reads.
func (n *node) naiveLapsed(session string, current stored, holderLive bool, now time.Time) bool {
	if current.version == 0 {
		return true
	}
	since := now
	for i := len(n.reads) - 1; i >= 0 && n.reads[i].session == session && n.reads[i].version == current.version; i-- {
		since = n.reads[i].at
	}
	return now.Sub(since) >= timeToLive || !holderLive && now.Sub(current.session.RenewedAt) >= timeToLive
}

// look is one check of the shard by a node that wants it; late says how long
// its claim is on the way, during which others act.
func (f *fleet) look(t *rapid.T, n *node) (claim *Record, shard, session uint64, ended string) {
	holder := f.shard.Record.Session
	holderLive := false
	for _, other := range f.nodes {
		if other.machine.Session == holder && other != n {
			holderLive = other.live
		}
	}
	action := n.machine.ShardRead(f.shard, holderLive)
	if action == ReadSession || action == AskHolder {
		if (action == AskHolder) != holderLive {
			t.Fatalf("action %d with a live holder: %v", action, holderLive)
		}
		current := f.sessions[holder]
		want := n.naiveLapsed(holder, current, holderLive, f.now)
		n.reads = append(n.reads, read{holder, current.version, f.now})
		action = n.machine.SessionRead(current.session, current.version, f.now)
		if (action == Claim) != want {
			t.Fatalf("claims: %v, want %v", action == Claim, want)
		}
	}
	if action != Claim {
		return nil, 0, 0, ""
	}
	record := n.machine.ClaimRecord()
	ended, session, _ = n.machine.SessionFence()
	return &record, f.shard.Version, session, ended
}

// write is a holder's write for the shard: it takes effect by its fence alone.
func (f *fleet) write(t *rapid.T, n *node) {
	if n.machine.State() != Held && n.machine.State() != Leaving {
		return
	}
	if n.machine.Lease().Version != f.shard.Version {
		n.machine.Lost()
		return
	}
	if f.shard.Record.Session != n.machine.Session {
		t.Fatalf("a write of %s took effect while %s holds the shard", n.machine.Session, f.shard.Record.Session)
	}
}

func (f *fleet) claim(t *rapid.T) {
	n := f.draw(t)
	if n.machine.State() != Seeking {
		return
	}
	record, shard, session, ended := f.look(t, n)
	if record == nil {
		return
	}
	if rapid.Bool().Draw(t, "raced") { // others act between the read and the commit
		f.release(t)
		if holder := f.draw(t); holder.machine.Session == ended {
			f.renew(holder)
		}
	}
	if f.shard.Version != shard || ended != "" && f.sessions[ended].version != session {
		return // the compare fails
	}
	if ended != "" {
		delete(f.sessions, ended)
	}
	if record.Epoch != f.shard.Record.Epoch+1 {
		t.Fatalf("epoch %d after %d", record.Epoch, f.shard.Record.Epoch)
	}
	f.version++
	f.shard = Versioned{*record, f.version}
	if !rapid.Bool().Draw(t, "answer lost") {
		n.machine.Claimed(f.version)
	}
}

func (f *fleet) release(t *rapid.T) {
	n := f.draw(t)
	if n.machine.HandOver() != Flush || n.machine.Flushed() != Release {
		return
	}
	if n.machine.Lease().Version == f.shard.Version {
		f.version++
		f.shard = Versioned{n.machine.ReleaseRecord(), f.version}
	}
	n.machine.Released()
	n.machine.Want(true)
}

func TestLeasesAreFencedWhateverTheTiming(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{now: time.Unix(1000, 0), sessions: map[string]stored{}}
		for index := range 3 {
			f.nodes = append(f.nodes, &node{})
			f.begin(f.nodes[index], index)
		}
		t.Repeat(map[string]func(*rapid.T){
			"time passes": func(t *rapid.T) {
				f.now = f.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
			},
			"claim": f.claim, "claim again": f.claim, "release": f.release,
			"write": func(t *rapid.T) { f.write(t, f.draw(t)) },
			"renew": func(t *rapid.T) {
				if n := f.draw(t); f.sessions[n.machine.Session].version != 0 {
					f.renew(n)
				}
			},
			"membership": func(t *rapid.T) { f.draw(t).live = rapid.Bool().Draw(t, "live") },
			"restart": func(t *rapid.T) {
				index := rapid.IntRange(0, len(f.nodes)-1).Draw(t, "node")
				f.begin(f.nodes[index], index)
			},
			"": func(t *rapid.T) {
				holders := 0
				for _, n := range f.nodes {
					if n.machine.State() == Held && n.machine.Lease().Version == f.shard.Version {
						holders++
					}
				}
				if holders > 1 {
					t.Fatalf("%d nodes hold the shard by its present version", holders)
				}
			},
		})
	})
}
