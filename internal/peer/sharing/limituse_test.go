package sharing

import (
	"testing"
	"time"

	"ringstream.example/ringstream/internal/core/grant"
	"ringstream.example/ringstream/internal/core/quota"
)

// TestLargestLimitUseFitsADatagram counts far more tenants than a message may hold, with names and
// numbers that take the most bytes.
func TestLargestLimitUseFitsADatagram(t *testing.T) {
	const tenants, after = 2600, time.Second
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	limits := make(map[uint64]quota.RateLimit)
	for tenant := range uint64(tenants) {
		limits[^tenant] = quota.RateLimit{PerSecond: 1, Burst: 1 << 30}
	}
	dispatcher := grant.NewDispatcher(grant.DefaultDispatcherConfig(), grant.Lane{Pool: "p", Parts: 1}, "n0", start)
	dispatcher.KeepLimits(grant.NewUseExchange(^uint64(0), start))
	dispatcher.SetLive(3)
	dispatcher.SetLimits(quota.Margin{Requests: 1.23456789e7}, limits, start)
	dispatcher.ApplyState("n1", grant.State{Life: 1, Sequence: 1, Attached: true}, start.Add(after))
	use, due := dispatcher.TakeLimitUse(start.Add(after))
	if !due || len(use.Use.Tenants) == 0 || len(use.Use.Tenants) == tenants {
		t.Fatalf("due %v with %d tenants, want a part of %d", due, len(use.Use.Tenants), tenants)
	}
	bytes := len(newCodec[message]().Write(message{Lane: grant.Lane{Pool: "p", Parts: 1}, LimitUse: &use}))
	t.Logf("%d tenants in %d bytes", len(use.Use.Tenants), bytes)
	if bytes > maxDatagramBytes {
		t.Errorf("%d bytes for %d tenants, want at most %d", bytes, len(use.Use.Tenants), maxDatagramBytes)
	}
}
