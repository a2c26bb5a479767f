package httpclient

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/backend/wire"
)

// table is the adapter of the table service.
type table struct{ *caller }

// Get implements backend.Table.
func (t *table) Get(ctx context.Context, key string) (backend.Record, error) {
	var record wire.Record
	query := url.Values{"key": {key}}
	err := t.call(ctx, request{operation: "get", method: http.MethodGet, path: wire.PathRecord + "?" + query.Encode()}, &record)
	if err != nil {
		return backend.Record{}, err
	}
	return recordOf(record), nil
}

// List implements backend.Table.
func (t *table) List(ctx context.Context, prefix, after string, limit int) ([]backend.Record, error) {
	var answer wire.Records
	path := wire.PathRecords + "?" + pageQuery(prefix, after, limit)
	if err := t.call(ctx, request{operation: "list", method: http.MethodGet, path: path}, &answer); err != nil {
		return nil, err
	}
	return recordsOf(answer.Records), nil
}

// Commit implements backend.Table.
func (t *table) Commit(ctx context.Context, transaction backend.Transaction) (backend.CommitResult, error) {
	body := wire.Transaction{ID: transaction.ID}
	for _, compare := range transaction.Compares {
		body.Compares = append(body.Compares, wire.Compare(compare))
	}
	for _, write := range transaction.Writes {
		body.Writes = append(body.Writes, wire.Write(write))
	}
	var answer wire.CommitResult
	err := t.call(ctx, request{operation: "commit", method: http.MethodPost, path: wire.PathCommit, body: encode(body)}, &answer)
	if err != nil {
		return backend.CommitResult{}, err
	}
	return backend.CommitResult{Applied: answer.Applied, Conflicts: recordsOf(answer.Conflicts), Versions: answer.Versions}, nil
}

func recordOf(record wire.Record) backend.Record { return backend.Record(record) }

func recordsOf(records []wire.Record) []backend.Record {
	var converted []backend.Record
	for _, record := range records {
		converted = append(converted, recordOf(record))
	}
	return converted
}

func pageQuery(prefix, after string, limit int) string {
	return url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}.Encode()
}

// objects is the adapter of the object store.
type objects struct{ *caller }

// Put implements backend.Objects.
func (o *objects) Put(ctx context.Context, name string, body []byte) error {
	return o.call(ctx, request{operation: "put", method: http.MethodPut, path: objectPath(name), body: body}, nil)
}

// Get implements backend.Objects.
func (o *objects) Get(ctx context.Context, name string) ([]byte, error) {
	return o.callRaw(ctx, request{operation: "get", method: http.MethodGet, path: objectPath(name)})
}

// List implements backend.Objects.
func (o *objects) List(ctx context.Context, prefix, after string, limit int) ([]string, error) {
	var answer wire.Names
	path := wire.PathObjects + "?" + pageQuery(prefix, after, limit)
	if err := o.call(ctx, request{operation: "list", method: http.MethodGet, path: path}, &answer); err != nil {
		return nil, err
	}
	return answer.Names, nil
}

// Delete implements backend.Objects.
func (o *objects) Delete(ctx context.Context, name string) error {
	return o.call(ctx, request{operation: "delete", method: http.MethodDelete, path: objectPath(name)}, nil)
}

func objectPath(name string) string {
	return wire.PathObject + "?" + url.Values{"name": {name}}.Encode()
}

// weights is the adapter of the weight store.
type weights struct{ *caller }

// Artifacts implements backend.Weights.
func (w *weights) Artifacts(ctx context.Context) ([]backend.Artifact, error) {
	var answer wire.Artifacts
	err := w.call(ctx, request{operation: "artifacts", method: http.MethodGet, path: wire.PathArtifacts}, &answer)
	if err != nil {
		return nil, err
	}
	var artifacts []backend.Artifact
	for _, artifact := range answer.Artifacts {
		artifacts = append(artifacts, backend.Artifact(artifact))
	}
	return artifacts, nil
}

// Budget implements backend.Weights.
func (w *weights) Budget(ctx context.Context) (int64, error) {
	var answer wire.Budget
	err := w.call(ctx, request{operation: "budget", method: http.MethodGet, path: wire.PathBudget}, &answer)
	return answer.BytesPerSecond, err
}

// machines is the adapter of the machine list.
type machines struct{ *caller }

// Machines implements backend.MachineList.
func (m *machines) Machines(ctx context.Context, since uint64) (backend.MachineSnapshot, error) {
	var answer wire.MachineList
	path := wire.PathMachineList + "?since=" + strconv.FormatUint(since, 10)
	if err := m.call(ctx, request{operation: "list", method: http.MethodGet, path: path}, &answer); err != nil {
		return backend.MachineSnapshot{}, err
	}
	snapshot := backend.MachineSnapshot{Version: answer.Version}
	for _, machine := range answer.Machines {
		snapshot.Machines = append(snapshot.Machines, backend.Machine{
			ID: machine.ID, Kind: backend.MachineKind(machine.Kind), Address: machine.Address,
			Zone: machine.Zone, Region: machine.Region, Pool: machine.Pool,
			Capacity: machine.Capacity, Leaving: machine.Leaving,
		})
	}
	return snapshot, nil
}
