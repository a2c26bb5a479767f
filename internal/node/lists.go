package node

import (
	"slices"
	"strings"

	"ringstream.example/ringstream/internal/admin"
	"ringstream.example/ringstream/internal/fleet"
)

// engineList lists the node's engines for operators.
type engineList struct{ fleet *fleet.Service }

// Engines implements admin.Engines, sorted by id.
func (l engineList) Engines() []admin.EngineStatus {
	known := l.fleet.Snapshot().Engines()
	list := make([]admin.EngineStatus, 0, len(known))
	for _, engine := range known {
		list = append(list, engineStatus(engine))
	}
	slices.SortFunc(list, func(a, b admin.EngineStatus) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}

func engineStatus(engine *fleet.Engine) admin.EngineStatus {
	machine := engine.Machine()
	candidate := engine.Candidate()
	status := admin.EngineStatus{
		ID: engine.ID, Pool: machine.Pool, Zone: machine.Zone, Address: machine.Address,
		Leaving: candidate.Leaving, Reachable: !candidate.Ejected,
	}
	load, reported := engine.Load()
	if !reported {
		return status
	}
	status.Role, status.ReportedAt = load.Role, load.ReportedAt
	status.RunningOnline, status.RunningBatch, status.Waiting = load.RunningOnline, load.RunningBatch, load.Waiting
	status.MaxRunning, status.KVUsed, status.KVCapacity = load.MaxRunning, load.KVUsed, load.KVCapacity
	for _, loaded := range load.Models {
		status.Models = append(status.Models, loaded.Model+"@"+loaded.Version)
	}
	return status
}

// modelList lists the models that this node's engines have loaded.
type modelList struct{ fleet *fleet.Service }

// Models implements gateway.ModelLister, sorted.
func (l modelList) Models() []string {
	var names []string
	for _, engine := range l.fleet.Snapshot().Engines() {
		load, _ := engine.Load()
		for _, loaded := range load.Models {
			names = append(names, loaded.Model)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}
