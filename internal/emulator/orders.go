package emulator

import (
	"slices"
	"time"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/backend/wire"
)

// loading is a model version or adapter that is being loaded from the weight store.
type loading struct {
	order  wire.Order
	doneAt time.Time
}

// applyOrder applies an order unless its epoch is stale. Loads complete later. A
// repeated order is applied once.
func (e *Engine) applyOrder(order wire.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if order.Epoch < e.highestEpoch {
		return &refusal{backend.CodeFenced, "an order of a higher epoch was taken"}
	}
	e.completeLoads(now)
	if e.appliedOrders[order.ID] {
		return nil
	}
	switch backend.OrderKind(order.Kind) {
	case backend.OrderLoadModel, backend.OrderLoadAdapter:
		if err := e.startLoad(order, now); err != nil {
			return err
		}
	case backend.OrderUnloadModel:
		e.models = slices.DeleteFunc(e.models, func(m backend.LoadedModel) bool {
			return m.Model == order.Model && (order.Version == "" || m.Version == order.Version)
		})
	case backend.OrderUnloadAdapter:
		e.eachVersion(order, func(m *backend.LoadedModel) {
			m.Adapters = slices.DeleteFunc(m.Adapters, func(adapter string) bool { return adapter == order.Adapter })
		})
	case backend.OrderSetRole:
		if !slices.Contains([]string{"mixed", "prefill", "decode"}, order.Role) {
			return &refusal{backend.CodeInvalid, "no such role"}
		}
		e.role = order.Role
	default:
		return &refusal{backend.CodeInvalid, "no such kind of order"}
	}
	e.highestEpoch = order.Epoch
	e.appliedOrders[order.ID] = true
	return nil
}

// startLoad reserves a load in the weight store and adds it to the pending loads.
func (e *Engine) startLoad(order wire.Order, now time.Time) error {
	done := now.Add(e.config.LoadTime)
	if e.weights != nil {
		booked, found := e.weights.reserve(order.Model, order.Version, order.Adapter)
		if !found {
			return &refusal{backend.CodeNotFound, "the weight store does not give it"}
		}
		done = booked
	}
	e.loading = append(e.loading, loading{order: order, doneAt: done})
	return nil
}

// completeLoads makes loaded models and adapters available.
func (e *Engine) completeLoads(now time.Time) {
	pending := e.loading[:0]
	for _, load := range e.loading {
		if load.doneAt.After(now) {
			pending = append(pending, load)
			continue
		}
		e.addLoaded(load.order)
	}
	e.loading = pending
}

func (e *Engine) addLoaded(order wire.Order) {
	if backend.OrderKind(order.Kind) == backend.OrderLoadAdapter {
		e.eachVersion(order, func(m *backend.LoadedModel) {
			if !slices.Contains(m.Adapters, order.Adapter) {
				m.Adapters = append(m.Adapters, order.Adapter)
			}
		})
		return
	}
	if !e.isLoaded(order.Model, order.Version, "") || order.Version == "" {
		e.models = append(e.models, backend.LoadedModel{Model: order.Model, Version: order.Version})
	}
}

func (e *Engine) eachVersion(order wire.Order, do func(*backend.LoadedModel)) {
	for i := range e.models {
		if m := &e.models[i]; m.Model == order.Model && (order.Version == "" || m.Version == order.Version) {
			do(m)
		}
	}
}

// isLoaded reports whether the engine can run the model. An empty version matches
// any version, and an empty adapter requires none.
func (e *Engine) isLoaded(model, version, adapter string) bool {
	return slices.ContainsFunc(e.models, func(m backend.LoadedModel) bool {
		return m.Model == model && (version == "" || m.Version == version) &&
			(adapter == "" || slices.Contains(m.Adapters, adapter))
	})
}
