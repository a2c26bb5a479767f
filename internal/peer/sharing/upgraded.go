package sharing

import (
	"sync"
	"time"
)

// upgradedRetention is how long a node counts as one that reads the current form after a message
// in it. A node that is replaced by an earlier build is sent both forms again after that time; a
// dispatcher and its nodes hear each other four times as often.
const upgradedRetention = time.Second

// maxUpgradedPeers bounds the nodes that are remembered.
const maxUpgradedPeers = 4096

// upgradedPeers remembers which nodes have sent messages in the current form. Its field lastHeard
// must be set.
type upgradedPeers struct {
	mu        sync.Mutex
	lastHeard map[string]time.Time // by address
}

// heard records a message in the current form.
func (p *upgradedPeers) heard(from string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known := p.lastHeard[from]; !known && len(p.lastHeard) >= maxUpgradedPeers {
		p.removeExpired(now)
		if len(p.lastHeard) >= maxUpgradedPeers {
			return
		}
	}
	p.lastHeard[from] = now
}

// contains reports whether a node was heard in the current form within upgradedRetention.
func (p *upgradedPeers) contains(address string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, known := p.lastHeard[address]
	return known && now.Sub(at) <= upgradedRetention
}

// removeExpired forgets the nodes that have not been heard lately. The caller holds mu.
func (p *upgradedPeers) removeExpired(now time.Time) {
	for address, at := range p.lastHeard {
		if now.Sub(at) > upgradedRetention {
			delete(p.lastHeard, address)
		}
	}
}
