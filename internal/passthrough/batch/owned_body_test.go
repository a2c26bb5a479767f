package batch

import (
	"context"
	"testing"

	"ringstream.example/ringstream/internal/passthrough"
)

// shortObjects returns the answers to reads of an object, in order.
type shortObjects struct {
	passthrough.Objects
	bodies []string
}

// GetObject implements passthrough.Objects.
func (o *shortObjects) GetObject(context.Context, string) ([]byte, error) {
	body := o.bodies[0]
	o.bodies = o.bodies[1:]
	return []byte(body), nil
}

// TestObjectThatEndsEarlyIsReadAgain guards against a job that is never run since the store's answer with its body,
// which ends with its connection, ended early.
func TestObjectThatEndsEarlyIsReadAgain(t *testing.T) {
	service := newTestService(&acceptingStore{})
	service.Format = bodyFormat{}
	service.Objects = &shortObjects{bodies: []string{"0", "", "01"}}
	record := testRecord(2)
	record.Object, record.BodyBytes = objectName(record.ID), 2
	items, err := service.loadItems(t.Context(), record)
	if err != nil || len(items) != 2 {
		t.Errorf("%d items, %v; want 2", len(items), err)
	}
}
