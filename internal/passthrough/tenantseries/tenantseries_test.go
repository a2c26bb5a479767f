package tenantseries

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestTenantWithTheMostRequestsHasSeriesOfItsOwn(t *testing.T) {
	var dropped []string
	labels := New(func(tenant string) { dropped = append(dropped, tenant) })
	for i := range maxTenants {
		tenant := fmt.Sprintf("t%02d", i)
		for range 4 + i {
			if label := labels.Record(tenant, start); label != tenant {
				t.Fatalf("label %q of %s", label, tenant)
			}
		}
	}
	for range 7 {
		if label := labels.Record("new", start); label != Others {
			t.Fatalf("label %q of a tenant with few requests", label)
		}
	}
	if label := labels.Record("new", start); label != "new" || len(dropped) != 1 || dropped[0] != "t00" {
		t.Fatalf("label %q of a tenant with twice the requests of the smallest one, dropped %v", label, dropped)
	}
	if label := labels.Record("t00", start); label != Others {
		t.Fatalf("label %q of the tenant that lost its series", label)
	}
}

func TestTenantsWithoutRequestsAreForgotten(t *testing.T) {
	labels := New(func(string) {})
	for i := range 1000 {
		labels.Record(fmt.Sprint("t", i), start)
	}
	for minute := range 4 {
		labels.Record("t0", start.Add(time.Duration(minute)*halfLife))
	}
	if len(labels.requests) > maxTenants || len(labels.listed) > maxTenants {
		t.Fatalf("%d tenants are counted and %d listed", len(labels.requests), len(labels.listed))
	}
}
