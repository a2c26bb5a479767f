package catalog

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/passroute"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/passthrough"
)

// textDocuments reads entries of the form "POOL STATE" and configurations of the form "VERSION
// POOL...", where a pool may have the form NAME:MEMORY. It refuses other documents.
type textDocuments struct{}

func (textDocuments) Places() passthrough.Places { return passthrough.Places{RoutesKey: "routes"} }

func (textDocuments) Routes(document []byte) (*passroute.Table, error) {
	words := strings.Fields(string(document))
	if len(words) == 0 {
		return nil, errors.New("empty")
	}
	version, err := strconv.ParseInt(words[0], 10, 64)
	if err != nil {
		return nil, &passthrough.DocumentError{Reason: passthrough.DocumentWrongType, Field: "version", Detail: err.Error()}
	}
	var pools []passroute.Pool
	for _, word := range words[1:] {
		name, memory, _ := strings.Cut(word, ":")
		tokens, _ := strconv.Atoi(memory) // 0 if it is not told
		pools = append(pools, passroute.Pool{Name: name, MemoryTokens: tokens})
	}
	return passroute.NewTable(version, nil, pools, passroute.Limits{}, passroute.Tenants{}), nil
}

func (textDocuments) Engine(id string, document []byte) (passthrough.EngineEntry, error) {
	pool, state, found := strings.Cut(string(document), " ")
	if !found {
		return passthrough.EngineEntry{}, &passthrough.DocumentError{Reason: passthrough.DocumentMissingField, Field: "state", Detail: "not there"}
	}
	entry := passthrough.EngineEntry{ID: id, Pool: pool, Address: "127.0.0.1:1", Zone: "z1", Slots: 2}
	if state == "draining" {
		entry.State = passthrough.EngineDraining
	}
	return entry, nil
}

// engineList is a set of engines with the routes that its entries are checked against.
type engineList struct {
	t       *testing.T
	engines *Engines
	routes  *Routes
	metrics *prometheus.Registry
	lines   *observer.ObservedLogs
	version int64
}

func newEngineList(t *testing.T) *engineList {
	core, lines := observer.New(zap.InfoLevel)
	logger := zap.New(core)
	l := &engineList{t: t, metrics: prometheus.NewRegistry(), lines: lines}
	l.routes = NewRoutes(textDocuments{}, logger)
	l.engines = NewEngines("n1", textDocuments{}, l.routes, logger)
	refusals := NewRefusals(l.metrics, logger)
	l.routes.SetRefusals(refusals)
	l.engines.SetRefusals(refusals)
	return l
}

func (l *engineList) put(id, document string) {
	l.version++
	l.engines.Change([]passthrough.Row{{Key: id, Value: []byte(document), Version: l.version}})
}

func (l *engineList) remove(id string) {
	l.version++
	l.engines.Change([]passthrough.Row{{Key: id, Version: l.version, Gone: true}})
}

// expect checks which engines of a pool can be picked for a request.
func (l *engineList) expect(when, pool string, want ...string) {
	l.t.Helper()
	l.engines.Use(func(set *enginechoice.Set, now time.Time) {
		if serving := set.Serving(pool); serving != len(want) {
			l.t.Errorf("%s: %d engines of pool %s are in use, want %v", when, serving, pool, want)
		}
		exclude := make(map[enginechoice.Incarnation]bool)
		for range want {
			choice, _ := set.Pick(enginechoice.Query{Pool: pool, Exclude: exclude}, now)
			exclude[choice.Entry.Incarnation()] = true
		}
		for _, id := range want {
			if !exclude[enginechoice.Incarnation{ID: id}] {
				l.t.Errorf("%s: engines picked from pool %s are %v, want %v", when, pool, exclude, want)
			}
		}
	})
}

// warnings returns the reasons of the logged refusals of entries.
func (l *engineList) warnings() []string {
	var reasons []string
	for _, line := range l.lines.FilterMessage(events.EngineWithheld.Name).All() {
		reasons = append(reasons, fmt.Sprint(line.ContextMap()["reason"]))
	}
	return reasons
}

// count returns the value of the refusal counter for a document kind and reason.
func (l *engineList) count(document, reason string) float64 {
	l.t.Helper()
	families, err := l.metrics.Gather()
	if err != nil {
		l.t.Fatal(err)
	}
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			labels := make(map[string]string)
			for _, label := range metric.GetLabel() {
				labels[label.GetName()] = label.GetValue()
			}
			if labels["document"] == document && labels["reason"] == reason {
				return metric.GetCounter().GetValue()
			}
		}
	}
	return 0
}

// Guards against an engine that keeps getting requests after its entry has become unreadable. An
// entry that could not be read was logged and skipped: what was known of the engine before stayed
// in force, and its later removal was skipped if nothing had been known.
func TestUnreadableEntryTakesItsEngineOutOfUse(t *testing.T) {
	l := newEngineList(t)
	l.routes.Take([]byte("1 chat"), "test")
	l.put("e0", "chat ready")
	l.put("e1", "chat ready")
	work := &enginechoice.Work{}
	l.engines.Use(func(set *enginechoice.Set, _ time.Time) { set.Start(enginechoice.Incarnation{ID: "e0"}, work) })
	l.expect("at first", "chat", "e0", "e1")
	l.put("e0", "unreadable")
	l.expect("unreadable", "chat", "e1")
	l.engines.Use(func(set *enginechoice.Set, _ time.Time) {
		if set.InFlight()[enginechoice.Incarnation{ID: "e0"}].Online != 1 {
			t.Error("the request in flight at the engine is no longer counted")
		}
	})
	l.put("e0", "chat ready")
	l.expect("readable again", "chat", "e0", "e1")
	l.put("e0", "unreadable")
	l.remove("e0")
	l.expect("removed", "chat", "e1")
	l.put("e2", "unreadable")
	l.remove("e2")
	l.put("e2", "chat ready")
	l.expect("unreadable, removed and added as readable", "chat", "e1", "e2")
}

func TestRemovalOfUnreadableEntryIsPassedOn(t *testing.T) {
	l := newEngineList(t)
	copied := NewCopy() // fed as the follower feeds it
	l.engines.SetCopy(copied)
	copied.applyListing(nil, 0)
	l.put("e0", "unreadable")
	copied.applyChanges([]passthrough.Row{{Key: "e0", Version: l.version}})
	l.engines.Replace(nil, l.version+1)
	copied.applyListing(nil, l.version+1)
	if rows := l.engines.Since(0); len(rows) != 1 || !rows[0].Gone {
		t.Errorf("rows for peers: %+v", rows)
	}
}

func TestEntryOfAServiceThatIsNotNamed(t *testing.T) {
	t.Run("entry before configuration", func(t *testing.T) {
		l := newEngineList(t)
		l.put("e0", "chat ready")
		l.put("e1", "other ready")
		l.routes.Take([]byte("1 chat"), "test")
		l.expect("version 1", "chat", "e0")
		l.expect("version 1", "other")
		l.routes.Take([]byte("2 chat other"), "test")
		l.expect("version 2", "other", "e1")
		l.routes.Take([]byte("3 other"), "test")
		l.expect("version 3", "chat")
		if got := l.warnings(); fmt.Sprint(got) != "[unknown_service unknown_service]" {
			t.Errorf("logged reasons: %v", got)
		}
	})
	t.Run("configuration before entry", func(t *testing.T) {
		l := newEngineList(t)
		l.routes.Take([]byte("1 chat"), "test")
		l.put("e1", "other ready")
		l.expect("version 1", "other")
		l.routes.Take([]byte("2 chat other"), "test")
		l.expect("version 2", "other", "e1")
		l.put("e1", "third ready")
		l.expect("entry with another unknown service", "other")
	})
}

func TestEachChangeOfRefusedEntryIsLoggedOnce(t *testing.T) {
	l := newEngineList(t)
	l.routes.Take([]byte("1 chat"), "test")
	l.put("e0", "unreadable")
	for range 5 {
		l.engines.Replace([]passthrough.Row{{Key: "e0", Value: []byte("unreadable"), Version: l.version}}, l.version)
	}
	l.put("e0", "unreadable")
	l.put("e0", "other ready")
	l.routes.Take([]byte("2 chat"), "test")
	l.put("e0", "chat ready")
	l.put("e0", "unreadable")
	if got := l.warnings(); fmt.Sprint(got) != "[missing_field missing_field unknown_service missing_field]" {
		t.Errorf("logged reasons: %v", got)
	}
	if got := l.count("engine", "missing_field"); got != 3 {
		t.Errorf("refusal counter is %v", got)
	}
	if got := l.count("engine", "unknown_service"); got != 1 {
		t.Errorf("refusal counter is %v", got)
	}
}

func TestFloodOfBadEntriesDoesNotFloodTheLog(t *testing.T) {
	const entries = 5000
	l := newEngineList(t)
	for i := range entries {
		l.put(fmt.Sprint("e", i), "unreadable")
	}
	// The logger writes at most 20 lines in 10 s. A run that crosses a tick may write the lines of two.
	if got := len(l.warnings()); got < 20 || got > 40 {
		t.Errorf("%d log lines", got)
	}
	if got := l.count("engine", "missing_field"); got != entries {
		t.Errorf("refusal counter is %v", got)
	}
}

func TestRefusedRoutesLeaveTheFormerInForce(t *testing.T) {
	l := newEngineList(t)
	l.routes.Take([]byte("4 chat"), "test")
	l.routes.Change([]passthrough.Row{{Key: "routes", Value: []byte("five chat"), Version: 9}, {Key: "routes", Value: nil, Version: 10}})
	if table, _ := l.routes.Table(); table.Version() != 4 {
		t.Errorf("version %d is in force, want 4", table.Version())
	}
	if wrong, unreadable := l.count("routes", "wrong_type"), l.count("routes", "unreadable"); wrong != 1 || unreadable != 1 {
		t.Errorf("counted %v of wrong type and %v unreadable, want 1 of each", wrong, unreadable)
	}
	if lines := l.lines.FilterMessage(events.RoutesRefused.Name).Len(); lines != 2 {
		t.Errorf("%d log lines", lines)
	}
}

// Guards against engines whose memory counts as unknown since their entries came before the first routes, or
// as what former routes told.
func TestMemoryOfEnginesFollowsTheRoutes(t *testing.T) {
	l := newEngineList(t)
	l.put("e1", "llm ready")
	memory := func() (tokens int) {
		l.engines.Use(func(set *enginechoice.Set, _ time.Time) { tokens = set.LargestMemory(enginechoice.Query{Pool: "llm"}) })
		return tokens
	}
	for _, test := range []struct {
		routes string
		want   int
	}{{"1 llm:1000", 1000}, {"2 llm:2000", 2000}, {"3 llm", 0}, {"4 other:5", 0}, {"5 llm:3000 other:5", 3000}} {
		l.routes.Take([]byte(test.routes), "test")
		if got := memory(); got != test.want {
			t.Errorf("routes %q: memory %d, want %d", test.routes, got, test.want)
		}
	}
	l.put("e1", "llm draining")
	l.routes.Take([]byte("6 llm:4000"), "test")
	l.engines.Use(func(set *enginechoice.Set, _ time.Time) {
		if known, _ := set.Find(enginechoice.Incarnation{ID: "e1"}); known.State != enginechoice.Leaving || known.Entry.MemoryTokens != 4000 {
			t.Errorf("a draining engine became %+v", known)
		}
	})
}
