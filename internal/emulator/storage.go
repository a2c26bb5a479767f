package emulator

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/backend/wire"
)

// Objects emulates the object store.
type Objects struct {
	Faults *Faults

	mu     sync.Mutex
	bodies map[string][]byte
}

// NewObjects returns an empty object store with a limit of calls per second; zero means no limit.
func NewObjects(seed uint64, ratePerSecond float64) *Objects {
	return &Objects{
		Faults: newFaults("objects", seed, FaultSettings{RatePerSecond: ratePerSecond}),
		bodies: map[string][]byte{},
	}
}

// Handler returns the store's HTTP API.
func (o *Objects) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+wire.PathObject, o.Faults.wrap("put", o.put))
	mux.HandleFunc("GET "+wire.PathObject, o.Faults.wrap("get", o.get))
	mux.HandleFunc("DELETE "+wire.PathObject, o.Faults.wrap("delete", o.remove))
	mux.HandleFunc("GET "+wire.PathObjects, o.Faults.wrap("list", o.list))
	o.Faults.registerAdmin(mux)
	return mux
}

func (o *Objects) put(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		refuse(w, http.StatusBadRequest, backend.CodeInvalid, err.Error())
		return
	}
	o.mu.Lock()
	o.bodies[r.URL.Query().Get("name")] = body
	o.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (o *Objects) get(w http.ResponseWriter, r *http.Request) {
	body, found := o.Object(r.URL.Query().Get("name"))
	if !found {
		refuse(w, http.StatusNotFound, backend.CodeNotFound, "no such object")
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(body) // the caller may have disconnected
}

func (o *Objects) remove(w http.ResponseWriter, r *http.Request) {
	o.mu.Lock()
	delete(o.bodies, r.URL.Query().Get("name"))
	o.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (o *Objects) list(w http.ResponseWriter, r *http.Request) {
	prefix, after, limit := pageOf(r)
	names := []string{}
	for _, name := range o.Names(prefix) {
		if name > after && len(names) < limit {
			names = append(names, name)
		}
	}
	writeJSON(w, wire.Names{Names: names})
}

// Object returns an object's body and whether the object exists.
func (o *Objects) Object(name string) ([]byte, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	body, found := o.bodies[name]
	return body, found
}

// Names returns the names with a prefix in ascending order.
func (o *Objects) Names(prefix string) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var names []string
	for name := range o.bodies {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Weights emulates the weight store. Loads run one after another at its rate.
type Weights struct {
	Faults *Faults

	mu        sync.Mutex
	artifacts []wire.Artifact
	budget    int64 // bytes per second
	busyUntil time.Time
}

// NewWeights returns a weight store that transfers budget bytes per second.
func NewWeights(seed uint64, budget int64, artifacts []backend.Artifact) *Weights {
	w := &Weights{Faults: newFaults("weights", seed, FaultSettings{}), budget: budget}
	for _, artifact := range artifacts {
		w.artifacts = append(w.artifacts, wire.Artifact(artifact))
	}
	return w
}

// Handler returns the store's HTTP API.
func (w *Weights) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.PathArtifacts, w.Faults.wrap("artifacts", func(out http.ResponseWriter, _ *http.Request) {
		w.mu.Lock()
		artifacts := slices.Clone(w.artifacts)
		w.mu.Unlock()
		writeJSON(out, wire.Artifacts{Artifacts: artifacts})
	}))
	mux.HandleFunc("GET "+wire.PathBudget, w.Faults.wrap("budget", func(out http.ResponseWriter, _ *http.Request) {
		writeJSON(out, wire.Budget{BytesPerSecond: w.budget})
	}))
	w.Faults.registerAdmin(mux)
	return mux
}

// reserve reserves one load and returns the time at which it completes. It
// returns false when there is no such artifact or the store is out of service.
func (w *Weights) reserve(model, version, adapter string) (time.Time, bool) {
	if settings := w.Faults.Settings(); settings.Outage || settings.Hang {
		return time.Time{}, false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, artifact := range w.artifacts {
		if artifact.Model != model || artifact.Adapter != adapter || (version != "" && artifact.Version != version) {
			continue
		}
		start := time.Now()
		if w.busyUntil.After(start) {
			start = w.busyUntil
		}
		seconds := float64(artifact.Bytes) / float64(w.budget)
		w.busyUntil = start.Add(time.Duration(seconds * float64(time.Second)))
		return w.busyUntil, true
	}
	return time.Time{}, false
}

// Machines emulates the platform's machine list. Readers see changes after a lag.
type Machines struct {
	Faults *Faults

	mu       sync.Mutex
	lag      time.Duration
	versions []machineVersion // oldest first; of the versions past the lag only the newest is kept
}

type machineVersion struct {
	at       time.Time
	version  uint64
	machines []backend.Machine
}

// NewMachines returns a list with these machines, which are visible at once.
func NewMachines(seed uint64, lag time.Duration, machines []backend.Machine) *Machines {
	return &Machines{
		Faults: newFaults("machines", seed, FaultSettings{}), lag: lag,
		versions: []machineVersion{{at: time.Now().Add(-lag), version: 1, machines: slices.Clone(machines)}},
	}
}

// Handler returns the list's HTTP API.
func (m *Machines) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.PathMachineList, m.Faults.wrap("list", m.list))
	m.Faults.registerAdmin(mux)
	return mux
}

func (m *Machines) list(w http.ResponseWriter, r *http.Request) {
	visible := m.visible(time.Now())
	answer := wire.MachineList{Version: visible.version}
	if r.URL.Query().Get("since") != strconv.FormatUint(visible.version, 10) {
		for _, machine := range visible.machines {
			answer.Machines = append(answer.Machines, wire.Machine{
				ID: machine.ID, Kind: string(machine.Kind), Address: machine.Address, Zone: machine.Zone,
				Region: machine.Region, Pool: machine.Pool, Capacity: machine.Capacity, Leaving: machine.Leaving,
			})
		}
	}
	writeJSON(w, answer)
}

// visible returns the version that readers see, and removes older ones.
func (m *Machines) visible(now time.Time) machineVersion {
	m.mu.Lock()
	defer m.mu.Unlock()
	for len(m.versions) > 1 && !m.versions[1].at.Add(m.lag).After(now) {
		m.versions = m.versions[1:]
	}
	return m.versions[0]
}

// Put adds a machine or replaces it.
func (m *Machines) Put(machine backend.Machine) {
	m.change(func(machines []backend.Machine) []backend.Machine {
		for i := range machines {
			if machines[i].ID == machine.ID {
				machines[i] = machine
				return machines
			}
		}
		return append(machines, machine)
	})
}

// Remove removes a machine from the list.
func (m *Machines) Remove(id string) {
	m.change(func(machines []backend.Machine) []backend.Machine {
		return slices.DeleteFunc(machines, func(machine backend.Machine) bool { return machine.ID == id })
	})
}

// SetLeaving marks a machine as leaving.
func (m *Machines) SetLeaving(id string, leaving bool) {
	m.change(func(machines []backend.Machine) []backend.Machine {
		for i := range machines {
			if machines[i].ID == id {
				machines[i].Leaving = leaving
			}
		}
		return machines
	})
}

// SetLag sets the delay before readers see changes.
func (m *Machines) SetLag(lag time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lag = lag
}

func (m *Machines) change(edit func([]backend.Machine) []backend.Machine) {
	m.mu.Lock()
	defer m.mu.Unlock()
	last := m.versions[len(m.versions)-1]
	m.versions = append(m.versions, machineVersion{
		at: time.Now(), version: last.version + 1, machines: edit(slices.Clone(last.machines)),
	})
}

// Current returns the current list, regardless of the lag.
func (m *Machines) Current() []backend.Machine {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.versions[len(m.versions)-1].machines)
}
