package slots

import (
	"cmp"
	"slices"

	"github.com/prometheus/client_golang/prometheus"

	"ringstream.example/ringstream/internal/passthrough/tenantseries"
)

// TenantQueue is the number of a tenant's requests that wait in the lanes of this node's
// dispatchers.
type TenantQueue struct {
	Tenant string
	Queued int
}

// maxTenantQueues is the number of tenants whose queues are reported apart.
const maxTenantQueues = 20

// TenantQueues returns the longest queues of tenants in the lanes for which this node is the
// dispatcher, and the sum of all others. Requests without a tenant are not counted.
func (s *Service) TenantQueues() []TenantQueue {
	s.mu.Lock()
	total := make(map[uint64]int)
	for _, dispatcher := range s.dispatchers {
		for owner, queued := range dispatcher.QueuedByOwner() {
			total[owner] += queued
		}
	}
	names := s.limits.names
	s.mu.Unlock()
	var queues []TenantQueue
	for owner, queued := range total {
		if name, known := names[owner]; known {
			queues = append(queues, TenantQueue{Tenant: name, Queued: queued})
		}
	}
	slices.SortFunc(queues, func(a, b TenantQueue) int {
		return cmp.Or(cmp.Compare(b.Queued, a.Queued), cmp.Compare(a.Tenant, b.Tenant))
	})
	if len(queues) <= maxTenantQueues {
		return queues
	}
	others := TenantQueue{Tenant: tenantseries.Others}
	for _, queue := range queues[maxTenantQueues:] {
		others.Queued += queue.Queued
	}
	return append(queues[:maxTenantQueues], others)
}

// TenantQueueCollector collects TenantQueues as a metric.
type TenantQueueCollector struct{ Service *Service }

var tenantQueueMetric = prometheus.NewDesc("ringstream_slots_tenant_queued", "Requests of a tenant that wait in the lanes that this node is the dispatcher of. Tenants with short queues are in one series.", []string{"tenant"}, nil)

// Describe implements prometheus.Collector.
func (TenantQueueCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- tenantQueueMetric
}

// Collect implements prometheus.Collector.
func (c TenantQueueCollector) Collect(metrics chan<- prometheus.Metric) {
	for _, queue := range c.Service.TenantQueues() {
		metrics <- prometheus.MustNewConstMetric(tenantQueueMetric, prometheus.GaugeValue, float64(queue.Queued), queue.Tenant)
	}
}
