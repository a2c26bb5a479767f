package sharing

import (
	"fmt"
	"testing"
	"time"
)

// A node that was heard in the current form gets only that form, until it has been silent for a
// while and may have been replaced by an earlier build.
func TestUpgradedPeersExpire(t *testing.T) {
	peers := upgradedPeers{lastHeard: make(map[string]time.Time)}
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	if peers.contains("n1", now) {
		t.Error("a node that was never heard counts as upgraded")
	}
	peers.heard("n1", now)
	if !peers.contains("n1", now.Add(upgradedRetention)) || peers.contains("n1", now.Add(upgradedRetention+1)) {
		t.Error("a node does not count as upgraded for upgradedRetention")
	}
	for i := range 2 * maxUpgradedPeers {
		peers.heard(fmt.Sprint(i), now.Add(time.Duration(i)))
	}
	if len(peers.lastHeard) > maxUpgradedPeers {
		t.Errorf("%d nodes are remembered, want at most %d", len(peers.lastHeard), maxUpgradedPeers)
	}
}
