package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	fleetSize  = 21 // the machines of minutewell-ring with its spare ones
	fleetZones = 4
	// leadTime is how long the machines run before the traffic starts.
	leadTime = 10 * time.Second
)

// massLoss ends all nodes but one for good, right after one of them has accepted a job.
func massLoss(ctx context.Context, f *fleet, trouble bool) error {
	for i := range 18 {
		if err := f.addEngine(fmt.Sprintf("i-%d", i), "llm", fmt.Sprintf("z%d", i%fleetZones), "", 50, 100*time.Millisecond); err != nil {
			return err
		}
	}
	f.configure(1, []route{{"online", "streaming", "llm", map[string]any{"resumable": true}}, batchRoute("llm")})
	if err := f.startNodes(ctx, fleetSize, fleetZones); err != nil {
		return err
	}
	time.Sleep(leadTime)
	left, entered, err := f.ringNeighbors()
	if err != nil {
		return err
	}
	made, err := f.submit(ctx, entered, 0, itemsPerJob)
	if err != nil {
		return err
	}
	end := time.Now()
	f.log.note("the traffic has ended")
	if trouble {
		for _, struck := range f.nodes {
			if struck == left {
				continue
			}
			if err := f.kill(struck); err != nil {
				return err
			}
		}
		f.nodes = []*node{left}
	}
	jobs := []*job{made}
	f.readUntil(ctx, jobs, end.Add(finishTime))
	err = f.judge(jobs, end)
	f.log.note("the result stands; the job is read further to see when it is done")
	f.readUntil(ctx, jobs, end.Add(finishTime+leadTime))
	return err
}

// ringNeighbors returns a node, and the one that follows it in the order in which nodes watch each other. They rank by hashes of the keys
// of their rows in the platform's store.
func (f *fleet) ringNeighbors() (first, next *node, err error) {
	var keys []string
	for _, row := range f.store.Rows("jobs") {
		if row.Part == "nodes" && !strings.HasPrefix(row.Key, "pulse/") {
			keys = append(keys, row.Key)
		}
	}
	if len(keys) != len(f.nodes) {
		return nil, nil, fmt.Errorf("the store lists %d nodes of %d", len(keys), len(f.nodes))
	}
	slices.SortFunc(keys, func(a, b string) int { return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)) })
	for _, known := range f.nodes {
		if strings.HasPrefix(keys[0], known.name+"/") {
			first = known
		}
		if strings.HasPrefix(keys[1], known.name+"/") {
			next = known
		}
	}
	if first == nil || next == nil {
		return nil, nil, errors.New("the store's rows do not name the nodes")
	}
	return first, next, nil
}

// kill ends a node's process, which is not started again. The script has left its process id.
func (f *fleet) kill(struck *node) error {
	text, err := os.ReadFile(filepath.Join(f.folder, struck.name+".pid"))
	if err != nil {
		return err
	}
	process, err := strconv.Atoi(strings.TrimSpace(string(text)))
	if err != nil {
		return err
	}
	f.log.note("SIGKILL to %s", struck.name)
	return syscall.Kill(process, syscall.SIGKILL)
}
