package catalog

import (
	"strconv"
	"testing"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/passroute"
	"ringstream.example/ringstream/internal/passthrough"
)

// versionDocuments reads a document that consists of the version of its routes.
type versionDocuments struct{ passthrough.Documents }

// Routes implements passthrough.Documents.
func (versionDocuments) Routes(document []byte) (*passroute.Table, error) {
	version, err := strconv.Atoi(string(document))
	return passroute.NewTable(int64(version), nil, nil, passroute.Limits{}, passroute.Tenants{}), err
}

// Guards against routes that are older than their reported age. The gateway read the routes, then
// a request's body for as long as its client took, and only then the time of the store's last
// answer. A request that took 20 s was checked against routes of 20 s ago that were reported as
// fresh: withdrawn keys passed, and new ones were unknown. Here version 2 arrives while the time
// of the last answer is being read.
func TestRoutesAreNoOlderThanTheirAge(t *testing.T) {
	routes := NewRoutes(versionDocuments{}, zap.NewNop())
	routes.Take([]byte("1"), "test")
	lastAnswer := time.Now()
	routes.SetHealth(func() Health {
		routes.Take([]byte("2"), "test")
		return Health{AsOf: lastAnswer}
	})
	if known := routes.Known(); known.Table.Version() != 2 || string(known.Document) != "2" || !known.AsOf.Equal(lastAnswer) {
		t.Errorf("version %d, document %s, as of %v after the store's last answer", known.Table.Version(), known.Document, known.AsOf.Sub(lastAnswer))
	}
}

// Peer confirmations arrive before and after the time of the store's last answer.
func TestPeerConfirmationHoldsForItsVersion(t *testing.T) {
	routes := NewRoutes(versionDocuments{}, zap.NewNop())
	lastAnswer := time.Now()
	routes.SetHealth(func() Health { return Health{AsOf: lastAnswer} })
	routes.Take([]byte("1"), "test")
	routes.Confirm(1, lastAnswer.Add(-time.Second))
	routes.Confirm(2, lastAnswer.Add(time.Second))
	if known := routes.Known(); !known.AsOf.Equal(lastAnswer) {
		t.Errorf("as of %v after the store's last answer", known.AsOf.Sub(lastAnswer))
	}
	routes.Confirm(1, lastAnswer.Add(time.Second))
	if known := routes.Known(); !known.AsOf.Equal(lastAnswer.Add(time.Second)) {
		t.Errorf("as of %v after the store's last answer", known.AsOf.Sub(lastAnswer))
	}
	routes.Take([]byte("2"), "test")
	if known := routes.Known(); !known.AsOf.Equal(lastAnswer) {
		t.Errorf("version 2 is confirmed by a report on version 1, as of %v after the store's last answer", known.AsOf.Sub(lastAnswer))
	}
}
