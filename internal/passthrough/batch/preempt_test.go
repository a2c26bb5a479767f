package batch

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/passjob"
	"ringstream.example/ringstream/internal/passthrough"
	"ringstream.example/ringstream/internal/passthrough/catalog"
)

// testDue is the time from a test job's acceptance to its deadline.
const testDue = 20 * time.Second

// newTimedService returns a service with a store clock of one hour, which has observed items of 100
// events that took ten seconds each.
func newTimedService() *Service {
	service := newTestService(&acceptingStore{})
	service.Engines = catalog.NewEngines("n1", nil, nil, service.Logger)
	service.Engines.Use(func(set *enginechoice.Set, now time.Time) {
		set.Upsert(enginechoice.Entry{ID: "e1", Pool: "p", Zone: "z1", Slots: 8}, enginechoice.Ready, now)
	})
	service.setStoreClock(time.Hour, time.Now())
	for range minForecastItems {
		service.forecast.observeItem(100)
		service.forecast.observeRun(100, 10*time.Second, 0)
	}
	return service
}

// addJob makes the service own a job of one item that was accepted the given time ago.
func addJob(service *Service, id string, ago time.Duration) *ownedJob {
	record := passjob.Record{ID: id, Host: "host", AcceptedAt: time.Hour - ago, Due: testDue, Items: []passjob.Item{{ID: "item-" + id, Tokens: 10}}}
	record.Claim(service.Self)
	service.adopt(record, 1, make([]passthrough.Item, 1))
	return service.owned[id]
}

func candidateIDs(service *Service) []string {
	var ids []string
	for _, next := range service.candidates(nil) {
		ids = append(ids, next.job.id)
	}
	return ids
}

// TestLateItemsComeLast checks that an item that cannot meet its deadline comes after those that
// can, although its deadline is the earliest. Past maxLateFactor it is no longer put back, or it
// would never run.
func TestLateItemsComeLast(t *testing.T) {
	service := newTimedService()
	addJob(service, "late", 15*time.Second)
	addJob(service, "fresh", time.Second)
	addJob(service, "urgent", 4*time.Second)
	if difference := cmp.Diff([]string{"urgent", "fresh", "late"}, candidateIDs(service)); difference != "" {
		t.Error(difference)
	}
	addJob(service, "starving", maxLateFactor*testDue+time.Second)
	if difference := cmp.Diff([]string{"starving", "urgent", "fresh", "late"}, candidateIDs(service)); difference != "" {
		t.Error(difference)
	}
}

// TestNothingIsLateBeforeTimesAreKnown checks that on a node without observations only items past
// their deadline are late.
func TestNothingIsLateBeforeTimesAreKnown(t *testing.T) {
	service := newTimedService()
	service.forecast = forecast{}
	addJob(service, "past", testDue+time.Second)
	addJob(service, "close", testDue-time.Second)
	if difference := cmp.Diff([]string{"close", "past"}, candidateIDs(service)); difference != "" {
		t.Error(difference)
	}
}

func TestForecast(t *testing.T) {
	var known forecast
	if known.remaining(0) != 0 || known.remainingWithMargin(0) != 0 {
		t.Error("forecast without observations is not zero")
	}
	for range minForecastItems {
		known.observeItem(100)
		known.observeRun(100, 10*time.Second, 0)
	}
	known.observeRun(minForecastEvents-1, time.Hour, 0) // too short to be recorded
	for kept, want := range map[int]time.Duration{0: 10 * time.Second, 60: 4 * time.Second, 100: time.Second, 400: time.Second} {
		if got := known.remaining(kept).Round(time.Millisecond); got != want {
			t.Errorf("with %d events: %v, want %v", kept, got, want)
		}
	}
	if got := known.remainingWithMargin(0).Round(time.Millisecond); got != 13500*time.Millisecond {
		t.Errorf("remaining time with margin: %v", got)
	}
}

// TestNodeThatHasJustStartedStartsNothing guards against nodes that start together overloading the
// engines: thirteen nodes that started at once each filled all engines (event 8320, 311 starts
// within 0.2 s at 216 slots).
func TestNodeThatHasJustStartedStartsNothing(t *testing.T) {
	service := newTimedService()
	for after, want := range map[time.Duration]bool{0: false, service.config.StartupDelay - 1: false, service.config.StartupDelay: true, time.Hour: true} {
		if got := service.settled(service.started.Add(after)); got != want {
			t.Errorf("after %v: %t", after, got)
		}
	}
}
