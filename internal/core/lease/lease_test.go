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

// fleet simulates the machines of several nodes for one shard over one store.
// Which sessions are renewed, and when, is drawn by rapid.
type fleet struct {
	now      time.Time
	version  uint64
	shard    Versioned
	sessions map[string]storedSession
	nodes    []*node
}

type storedSession struct {
	session Session
	version uint64
}

type node struct {
	machine      Machine
	incarnations int
	// reads is the reference model of sessionWatch: all session reads of the node.
	reads []read
	live  bool // whether the membership of other nodes lists this one as live
}

type read struct {
	session string
	version uint64
	at      time.Time
}

func (f *fleet) draw(t *rapid.T) *node {
	return f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(t, "node")]
}

func (f *fleet) restart(n *node, index int) {
	n.incarnations++
	n.reads = nil // a new process has no state
	n.machine = Machine{Node: identity.NodeID(fmt.Sprint(index)), Session: fmt.Sprintf("%d.%d", index, n.incarnations), TimeToLive: timeToLive}
	n.machine.SetWanted(true)
	n.live = true
	f.renew(n)
}

func (f *fleet) renew(n *node) {
	f.version++
	f.sessions[n.machine.Session] = storedSession{Session{Node: n.machine.Node, RenewedAt: f.now}, f.version}
}

// referenceExpired applies the rule for expiry to the list of reads.
func (n *node) referenceExpired(session string, current storedSession, holderLive bool, now time.Time) bool {
	if current.version == 0 {
		return true
	}
	since := now
	for i := len(n.reads) - 1; i >= 0 && n.reads[i].session == session && n.reads[i].version == current.version; i-- {
		since = n.reads[i].at
	}
	return now.Sub(since) >= timeToLive || !holderLive && now.Sub(current.session.RenewedAt) >= timeToLive
}

// checkShard runs one check of the shard by a node that wants it. It returns the
// claim to commit, if any, with the versions of the shard and of the expired
// session that the commit compares.
func (f *fleet) checkShard(t *rapid.T, n *node) (claim *Record, shard, session uint64, ended string) {
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
			t.Fatalf("action %d with holderLive %v", action, holderLive)
		}
		current := f.sessions[holder]
		want := n.referenceExpired(holder, current, holderLive, f.now)
		n.reads = append(n.reads, read{holder, current.version, f.now})
		action = n.machine.SessionRead(current.session, current.version, f.now)
		if (action == Claim) != want {
			t.Fatalf("claims the shard: %v, want %v", action == Claim, want)
		}
	}
	if action != Claim {
		return nil, 0, 0, ""
	}
	record := n.machine.ClaimRecord()
	ended, session, _ = n.machine.SessionFence()
	return &record, f.shard.Version, session, ended
}

// write is a holder's write for the shard. Only its fencing token decides whether
// it takes effect.
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
	record, shard, session, ended := f.checkShard(t, n)
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
	n.machine.SetWanted(true)
}

func TestLeasesAreFencedWhateverTheTiming(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{now: time.Unix(1000, 0), sessions: map[string]storedSession{}}
		for index := range 3 {
			f.nodes = append(f.nodes, &node{})
			f.restart(f.nodes[index], index)
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
				f.restart(f.nodes[index], index)
			},
			"": func(t *rapid.T) {
				holders := 0
				for _, n := range f.nodes {
					if n.machine.State() == Held && n.machine.Lease().Version == f.shard.Version {
						holders++
					}
				}
				if holders > 1 {
					t.Fatalf("%d nodes hold the shard at its current version", holders)
				}
			},
		})
	})
}
