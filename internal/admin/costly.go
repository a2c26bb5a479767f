package admin

import (
	"context"
	"sync"
	"time"

	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/jobs"
	"ringstream.example/ringstream/internal/rows"
)

// expensiveDataMaxAge bounds the age of the page's expensive data.
const expensiveDataMaxAge = 5 * time.Second

// expensiveData is the data of the page that needs calls to other nodes or the
// store.
type expensiveData struct {
	revisions map[identity.NodeID]rows.NodeTableStatus
	jobs      []jobs.Job
	jobsError error
}

// expensiveDataCache caches the last expensive data, so that many readers of the
// page cause no more calls than one. Its mutex is held during the calls.
type expensiveDataCache struct {
	mutex     sync.Mutex
	fetchedAt time.Time
	data      expensiveData
}

func (c *expensiveDataCache) get(ctx context.Context, dependencies Dependencies) expensiveData {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.fetchedAt.IsZero() && time.Since(c.fetchedAt) < expensiveDataMaxAge {
		return c.data
	}
	c.data = fetchExpensiveData(ctx, dependencies)
	c.fetchedAt = time.Now()
	return c.data
}

func fetchExpensiveData(ctx context.Context, dependencies Dependencies) expensiveData {
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), expensiveDataMaxAge) // a reader that disconnects does not cancel the calls for the others
	defer cancel()
	var data expensiveData
	if dependencies.Revisions != nil {
		data.revisions = make(map[identity.NodeID]rows.NodeTableStatus)
		for _, held := range dependencies.Revisions.Revisions(limited) {
			data.revisions[held.Node] = held
		}
	}
	if dependencies.Jobs != nil {
		data.jobs, data.jobsError = dependencies.Jobs.List(limited, "", "", maxPageJobs)
	}
	return data
}
