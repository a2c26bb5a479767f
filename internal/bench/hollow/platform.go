package hollow

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"ringstream.example/ringstream/internal/backend"
)

const (
	enginePools  = 5
	engineSlots  = 64
	engineKV     = 400_000
	engineStepMs = 27
)

// engines are load reporters: an engine's report is a function of its name and
// the time, and its other calls are refused.
type engines struct {
	mu       sync.Mutex
	machines []backend.Machine
	version  uint64
	reads    int64
	polls    int64
}

func newEngines(options Options) *engines {
	e := &engines{version: 1}
	for i := range options.Engines {
		zone := i % options.Zones
		e.machines = append(e.machines, backend.Machine{
			ID: fmt.Sprintf("engine-%05d", i), Kind: backend.MachineEngine,
			Address: fmt.Sprintf("10.%d.%d.%d:9000", 128+zone, i/256%256, i%256),
			Zone:    zoneName(zone), Region: regionName(zone, options), Pool: fmt.Sprintf("pool-%d", i%enginePools), Capacity: 1,
		})
	}
	return e
}

// Machines implements backend.MachineList. Each reader gets strings of its
// own, as a decoder would make them.
func (e *engines) Machines(_ context.Context, since uint64) (backend.MachineSnapshot, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reads++
	snapshot := backend.MachineSnapshot{Version: e.version}
	if since == e.version {
		return snapshot, nil
	}
	snapshot.Machines = make([]backend.Machine, len(e.machines))
	for i, machine := range e.machines {
		machine.ID, machine.Address = strings.Clone(machine.ID), strings.Clone(machine.Address)
		machine.Zone, machine.Region, machine.Pool = strings.Clone(machine.Zone), strings.Clone(machine.Region), strings.Clone(machine.Pool)
		snapshot.Machines[i] = machine
	}
	return snapshot, nil
}

// Engine implements backend.Engines.
func (e *engines) Engine(machine backend.Machine) backend.Engine {
	return reporter{engines: e, machine: machine}
}

func (e *engines) counts() (reads, polls int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reads, e.polls
}

type reporter struct {
	engines *engines
	machine backend.Machine
}

func refused(operation string) error {
	return &backend.Error{Code: backend.CodeUnavailable, Effect: backend.EffectNone, System: "engine", Operation: operation}
}

// Load implements backend.Engine.
func (r reporter) Load(context.Context) (backend.EngineLoad, error) {
	r.engines.mu.Lock()
	r.engines.polls++
	r.engines.mu.Unlock()
	now := time.Now()
	busy := int(now.Unix()+int64(len(r.machine.ID))) % engineSlots
	return backend.EngineLoad{
		Engine: r.machine.EngineID(), ReportedAt: now, RunningOnline: busy, MaxRunning: engineSlots,
		KVUsed: busy * engineKV / engineSlots, KVCapacity: engineKV, StepMillis: engineStepMs, Role: "mixed",
		Models: []backend.LoadedModel{{Model: "model-" + r.machine.Pool, Version: "1"}},
	}, nil
}

// CacheEvents implements backend.Engine.
func (reporter) CacheEvents(context.Context, uint64) ([]backend.CacheEvent, error) { return nil, nil }

// Generate implements backend.Engine.
func (reporter) Generate(context.Context, backend.GenerateRequest) (backend.TokenStream, error) {
	return nil, refused("generate")
}

// Resume implements backend.Engine.
func (reporter) Resume(context.Context, attemptID, int) (backend.TokenStream, error) {
	return nil, refused("resume")
}

// Cancel implements backend.Engine.
func (reporter) Cancel(context.Context, attemptID) (backend.CancelReport, error) {
	return backend.CancelReport{}, refused("cancel")
}

// ExportKV implements backend.Engine.
func (reporter) ExportKV(context.Context, attemptID) ([]byte, error) {
	return nil, refused("export")
}

// ImportKV implements backend.Engine.
func (reporter) ImportKV(context.Context, []byte) error { return refused("import") }

// Order implements backend.Engine.
func (reporter) Order(context.Context, backend.Order) error { return refused("order") }
