package catalog

import (
	"strconv"
	"testing"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/passroute"
	"ringstream.example/ringstream/internal/passthrough"
)

// versions reads a document that is the version of its routes.
type versions struct{ passthrough.Documents }

// Routes implements passthrough.Documents.
func (versions) Routes(document []byte) (*passroute.Table, error) {
	version, err := strconv.Atoi(string(document))
	return passroute.NewTable(int64(version), nil, nil, passroute.Limits{}, passroute.Tenants{}), err
}

// TestRoutesAreNoOlderThanTheirAge: the front door read the routes, then a request's body for
// as long as its client took, and only then how long ago the store was last heard. A request
// of 20 s was judged by routes of 20 s ago whose age was given as that of the newest ones:
// keys that had been withdrawn passed, and new ones were unknown. Here the store tells of
// version 2 just when it is asked how long ago it was heard.
func TestRoutesAreNoOlderThanTheirAge(t *testing.T) {
	routes := NewRoutes(versions{}, zap.NewNop())
	routes.Take([]byte("1"), "test")
	heard := time.Now()
	routes.JudgeBy(func() Health {
		routes.Take([]byte("2"), "test")
		return Health{AsOf: heard}
	})
	if known := routes.Known(); known.Table.Version() != 2 || string(known.Document) != "2" || !known.AsOf.Equal(heard) {
		t.Errorf("version %d, document %s, as of %v", known.Table.Version(), known.Document, known.AsOf.Sub(heard))
	}
}

// TestWordOfPeersHoldsForItsVersion takes such word before and after the store's.
func TestWordOfPeersHoldsForItsVersion(t *testing.T) {
	routes := NewRoutes(versions{}, zap.NewNop())
	heard := time.Now()
	routes.JudgeBy(func() Health { return Health{AsOf: heard} })
	routes.Take([]byte("1"), "test")
	routes.Confirm(1, heard.Add(-time.Second))
	routes.Confirm(2, heard.Add(time.Second))
	if known := routes.Known(); !known.AsOf.Equal(heard) {
		t.Errorf("as of %v after the store was heard", known.AsOf.Sub(heard))
	}
	routes.Confirm(1, heard.Add(time.Second))
	if known := routes.Known(); !known.AsOf.Equal(heard.Add(time.Second)) {
		t.Errorf("as of %v after the store was heard", known.AsOf.Sub(heard))
	}
	routes.Take([]byte("2"), "test")
	if known := routes.Known(); !known.AsOf.Equal(heard) {
		t.Errorf("version 2 is confirmed by word on version 1, as of %v", known.AsOf.Sub(heard))
	}
}
