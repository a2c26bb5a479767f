package slots

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/passthrough"
)

// TestSlowEngineIsSeenByItsPaces lets two nodes report the paces of all slots. One engine becomes
// four times slower; the dispatcher must say so in its log and its metrics.
func TestSlowEngineIsSeenByItsPaces(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context) {
		f := newFleetWith(ctx, 2, 3, SchedulingConfig{EngineSpeeds: true})
		core, logs := observer.New(zapcore.InfoLevel)
		dispatcher := f.nodes["n0"]
		dispatcher.mu.Lock()
		dispatcher.Logger = zap.New(core)
		registry := prometheus.NewRegistry()
		dispatcher.Metrics = NewMetrics(registry)
		dispatcher.mu.Unlock()
		var all []*Slot
		for i := range 6 {
			all = append(all, (<-f.nodes[[]string{"n0", "n1"}[i%2]].acquire(ctx)).Slot)
		}
		report := func(slowEngine string, rounds int) {
			for range rounds {
				for _, slot := range all {
					waited := paceInterval
					if slot.engine.ID == slowEngine {
						waited *= 4
					}
					slot.RecordEvents(5, waited)
				}
				time.Sleep(paceInterval)
			}
		}
		report("", 20)
		synctest.Wait()
		if lines := logs.FilterMessage(events.EngineSlow.Name).Len(); lines > 0 {
			t.Errorf("%d lines before an engine is slow", lines)
		}
		report("e0", 20)
		synctest.Wait()
		lines := logs.FilterMessage(events.EngineSlow.Name).All()
		if len(lines) != 1 || lines[0].ContextMap()["engine"] != "e0" {
			t.Errorf("logged %+v", lines)
		}
		if slowest := gauge(t, registry, "ringstream_slots_slowest_engine_ratio"); slowest < 3 || slowest > 5 {
			t.Errorf("the slowest engine's ratio is %g", slowest)
		}
		if count := gauge(t, registry, "ringstream_slots_slow_engines"); count != 1 {
			t.Errorf("%g slow engines", count)
		}
		report("", 10)
		synctest.Wait()
		if lines := logs.FilterMessage(events.EngineUsualSpeed.Name).Len(); lines != 1 {
			t.Errorf("%d lines after the engine has recovered", lines)
		}
	})
}

// gauge returns the value of a metric's first gauge.
func gauge(t *testing.T, registry *prometheus.Registry, name string) float64 {
	t.Helper()
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		if family.GetName() == name {
			return family.GetMetric()[0].GetGauge().GetValue()
		}
	}
	t.Fatalf("no metric %s", name)
	return 0
}

// TestNoPacesWithoutTheSetting checks that nothing is reported while speeds are not learned.
func TestNoPacesWithoutTheSetting(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context) {
		f := newFleet(ctx, 1, 1)
		slot := (<-f.nodes["n0"].acquire(ctx)).Slot
		for range 5 {
			slot.RecordEvents(5, time.Second)
		}
		if events, waited := slot.pace.take(); events != 0 || waited != 0 {
			t.Errorf("counted %d events in %v", events, waited)
		}
	})
}

// TestUnreadableLoadIsLoggedOnce checks that an engine whose load cannot be read is logged once.
func TestUnreadableLoadIsLoggedOnce(t *testing.T) {
	core, logs := observer.New(zapcore.InfoLevel)
	runInBubble(t, func(_ *testing.T, ctx context.Context) {
		f := newFleet(ctx, 1, 2)
		node := f.nodes["n0"]
		node.mu.Lock()
		node.Logger = zap.New(core)
		node.mu.Unlock()
		for range 4 {
			slot := (<-node.acquire(ctx)).Slot
			slot.RecordLoad(passthrough.EngineAnswer{LoadUnreadable: true})
			slot.RecordLoad(passthrough.EngineAnswer{LoadKnown: true})
		}
	})
	if lines := logs.FilterMessage(events.EngineLoadUnreadable.Name).Len(); lines != 2 {
		t.Errorf("%d lines for two engines", lines)
	}
}
