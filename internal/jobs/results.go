package jobs

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"io"
	"slices"

	"golang.org/x/sync/errgroup"

	"ringstream.example/ringstream/internal/apierror"
	"ringstream.example/ringstream/internal/core/batch"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/outcome"
	"ringstream.example/ringstream/internal/jobs/record"
)

// maxParallelResultReads bounds the objects that one call reads concurrently.
const maxParallelResultReads = 8

// maxResultRange bounds the items of one call, and thereby its memory.
const maxResultRange = 10_000

// Results implements Service. Items without an outcome when their job was
// cancelled are returned as cancelled.
func (m *Manager) Results(ctx context.Context, tenant identity.TenantID, id identity.JobID, from, to int) ([]Result, error) {
	header, _, err := m.header(ctx, tenant, id)
	if err != nil {
		return nil, err
	}
	to = min(to, header.Total())
	if from < 0 || from > to {
		return nil, apierror.Invalid("the range %d to %d is not within the job's %d items", from, to, header.Total())
	}
	if to-from > maxResultRange {
		return nil, apierror.Invalid("a range has at most %d items", maxResultRange)
	}
	low, high, first := segmentsOf(&header, from, to)
	segments, err := m.segmentRange(ctx, &header, low, high)
	if err != nil {
		return nil, err
	}
	var results []Result
	for i := range segments {
		segment := &segments[i]
		found, err := m.segmentResults(ctx, &header, segment, low+i, first, max(from-first, 0), min(to-first, segment.Items))
		if err != nil {
			return nil, err
		}
		results = append(results, found...)
		first += segment.Items
	}
	return results, nil
}

// segmentsOf returns the range of segments, from low to below high, that holds the
// items from from to below to, and the index of the first item of segment low.
func segmentsOf(header *record.Job, from, to int) (low, high, first int) {
	if from == to {
		return 0, 0, 0
	}
	start := 0
	for number, items := range header.Segments {
		if start+items <= from {
			low, first = number+1, start+items
		}
		if start < to {
			high = number + 1
		}
		start += items
	}
	return min(low, high), high, first
}

// segmentResults returns the outcomes of a segment's items from low to below high.
// first is the index of the segment's first item in the job.
func (m *Manager) segmentResults(ctx context.Context, header *record.Job, segment *batch.Segment, number, first, low, high int) ([]Result, error) {
	written, err := m.readObjects(ctx, header.ID, segment.References(low, high), first+low, first+high)
	if err != nil {
		return nil, err
	}
	var results []Result
	var ids []string
	for offset := low; offset < high; offset++ {
		if segment.Code(offset) != batch.Open {
			result, found := written[first+offset]
			if !found {
				return nil, errors.New("jobs: a final item has no result object")
			}
			result.Outcome = segment.Code(offset).Outcome().String()
			results = append(results, result)
			continue
		}
		if header.State != record.StateCancelled {
			continue
		}
		if ids == nil {
			if ids, err = m.itemIDs(ctx, header.ID, number); err != nil {
				return nil, err
			}
		}
		results = append(results, Result{Index: first + offset, ID: ids[offset], Outcome: outcome.Cancelled.String(), Reason: "the job was cancelled"})
	}
	return results, nil
}

// readObjects returns the results in the objects whose index is at least from and
// below to, by index.
func (m *Manager) readObjects(ctx context.Context, id identity.JobID, references []batch.Reference, from, to int) (map[int]Result, error) {
	read := make([][]Result, len(references))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelResultReads)
	for i, reference := range references {
		group.Go(func() error {
			body, err := m.blobs.Get(ctx, record.ResultObject(id, reference))
			if err != nil {
				return readFailed(err)
			}
			read[i], err = decodeResults(body, from, to)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	found := make(map[int]Result)
	for _, results := range read {
		for _, result := range results {
			found[result.Index] = result
		}
	}
	return found, nil
}

func decodeResults(body []byte, from, to int) ([]Result, error) {
	var results []Result
	decoder := json.NewDecoder(bytes.NewReader(body))
	for {
		var result Result
		err := decoder.Decode(&result)
		if errors.Is(err, io.EOF) {
			slices.SortFunc(results, func(a, b Result) int { return cmp.Compare(a.Index, b.Index) })
			return results, nil
		}
		if err != nil {
			return nil, err
		}
		if result.Index >= from && result.Index < to {
			results = append(results, result)
		}
	}
}

// itemIDs returns the custom_id of each of a segment's items.
func (m *Manager) itemIDs(ctx context.Context, id identity.JobID, number int) ([]string, error) {
	body, err := m.blobs.Get(ctx, record.InputObject(id, number))
	if err != nil {
		return nil, readFailed(err)
	}
	var ids []string
	decoder := json.NewDecoder(bytes.NewReader(body))
	for decoder.More() {
		var item Item
		if err := decoder.Decode(&item); err != nil {
			return nil, err
		}
		ids = append(ids, item.ID)
	}
	return ids, nil
}
