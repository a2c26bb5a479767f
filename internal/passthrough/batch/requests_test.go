package batch

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/passjob"
	"ringstream.example/ringstream/internal/core/passroute"
	"ringstream.example/ringstream/internal/core/quarantine"
	"ringstream.example/ringstream/internal/passthrough"
	"ringstream.example/ringstream/internal/passthrough/catalog"
	"ringstream.example/ringstream/internal/passthrough/guard"
	"ringstream.example/ringstream/internal/passthrough/slots"
)

// tokenHeaders reads the length of the prompt from a header, and nothing else.
type tokenHeaders struct{ passthrough.Headers }

const promptHeader = "Prompt"

func (tokenHeaders) Demand(header http.Header) passthrough.Demand {
	tokens, _ := strconv.Atoi(header.Get(promptHeader)) // 0 if there is none
	return passthrough.Demand{PromptTokens: tokens}
}

// requestTest is a service with one engine in each of two pools, and a route to each.
type requestTest struct {
	service *Service
	known   catalog.RoutesView
}

const testEngineMemory = 1000 // tokens

func newRequestTest(t *testing.T) *requestTest {
	t.Helper()
	service := newTimedService()
	service.Headers = tokenHeaders{}
	service.Slots = slots.New(slots.Config{}, slots.Dependencies{Logger: zap.NewNop()})
	service.Guard = guard.New(quarantine.DefaultConfig(), guard.Dependencies{Logger: zap.NewNop(), Engines: service.Engines})
	service.Routes = catalog.NewRoutes(nil, zap.NewNop())
	service.Engines.Use(func(set *enginechoice.Set, now time.Time) {
		for _, pool := range []string{"p", "q"} {
			set.Upsert(enginechoice.Entry{ID: "engine-" + pool, Pool: pool, Slots: 8, MemoryTokens: testEngineMemory, Software: "v1"}, enginechoice.Ready, now)
		}
		set.Remove(enginechoice.Incarnation{ID: "e1"}, false, now)
	})
	var routes []passroute.Route
	for _, pool := range []string{"p", "q"} {
		routes = append(routes, passroute.Route{Name: pool, Host: "host", PathPrefix: "/" + pool + "/", Kind: passroute.KindBatch, Targets: []passroute.Target{{Pool: pool, Weight: 1}}})
	}
	table := passroute.NewTable(1, routes, nil, passroute.Limits{}, passroute.Tenants{})
	return &requestTest{service: service, known: catalog.RoutesView{Table: table}}
}

// addItems adds a job of items for a pool. Jobs are due in the order in which they are added.
func (r *requestTest) addItems(job, pool string, items, promptTokens int) *ownedJob {
	record := passjob.Record{ID: job, Host: "host", AcceptedAt: time.Hour + time.Duration(len(r.service.owned))*time.Millisecond, Due: testDue}
	var bodies []passthrough.Item
	for index := range items {
		id := fmt.Sprint(job, "-", index)
		record.Items = append(record.Items, passjob.Item{ID: id, Tokens: 10})
		bodies = append(bodies, passthrough.Item{ID: id, Path: "/" + pool + "/x", Header: http.Header{promptHeader: {strconv.Itoa(promptTokens)}}})
	}
	record.Claim(r.service.Self)
	r.service.adopt(record, 1, bodies)
	return r.service.owned[job]
}

// requested returns the number of items of each job for which slots are requested.
func (r *requestTest) requested() map[string]int {
	byID := make(map[uint64]string)
	requests := r.service.selectRequests(r.known, r.service.candidates(nil))
	for _, job := range r.service.owned {
		for _, work := range job.work {
			byID[work.slotRequestID] = job.id
		}
	}
	count := make(map[string]int)
	for _, request := range requests {
		count[byID[request.ID]]++
	}
	return count
}

// Guards against items that no engine can hold taking all slot requests of their node.
func TestItemsTooLargeForAnyEngineTakeNoSlotRequests(t *testing.T) {
	test := newRequestTest(t)
	test.addItems("large", "p", 2*maxSlotRequests, testEngineMemory+1)
	test.addItems("small", "p", 5, 20)
	if requested := test.requested(); requested["large"] != 0 || requested["small"] != 5 {
		t.Errorf("requested %v, want the 5 small items", requested)
	}
	test.service.Engines.Use(func(set *enginechoice.Set, now time.Time) {
		set.Upsert(enginechoice.Entry{ID: "larger", Pool: "p", Slots: 8, MemoryTokens: 2 * testEngineMemory, Software: "v1"}, enginechoice.Ready, now)
	})
	if requested := test.requested(); requested["large"] != maxSlotRequests {
		t.Errorf("requested %v after a larger engine has come, want %d large items", requested, maxSlotRequests)
	}
	test.service.Engines.Use(func(set *enginechoice.Set, now time.Time) {
		for _, id := range []string{"larger", "engine-p"} {
			set.Remove(enginechoice.Incarnation{ID: id}, false, now)
		}
	})
	if requested := test.requested(); requested["large"] != maxSlotRequests {
		t.Errorf("requested %v while no engine is listed, want %d large items", requested, maxSlotRequests)
	}
}

// Guards against items that wait for a nearly idle engine and take the slot requests of small ones, which
// could run beside others.
func TestLargeItemsDoNotTakeAllSlotRequests(t *testing.T) {
	test := newRequestTest(t)
	test.addItems("large", "p", 2*maxSlotRequests, testEngineMemory*6/10)
	test.addItems("small", "p", 5, 20)
	if requested := test.requested(); requested["large"] != maxSlotRequests || requested["small"] != 5 {
		t.Errorf("requested %v, want %d large items and 5 small ones", requested, maxSlotRequests)
	}
}

// Guards against items of a pool without free engines that take the slot requests of other pools.
func TestEachPoolHasItsSlotRequests(t *testing.T) {
	test := newRequestTest(t)
	test.addItems("p", "p", 2*maxSlotRequests, 20)
	test.addItems("q", "q", 5, 20)
	if requested := test.requested(); requested["p"] != maxSlotRequests || requested["q"] != 5 {
		t.Errorf("requested %v, want %d of p and 5 of q", requested, maxSlotRequests)
	}
}

// Guards against items bound to a software version, whose engines are full, that take the slot requests of
// items for which any version will do.
func TestEachSoftwareVersionHasItsSlotRequests(t *testing.T) {
	test := newRequestTest(t)
	bound := test.addItems("bound", "p", 2*maxSlotRequests, 20)
	for index := range bound.work {
		bound.work[index].text = progress{events: 1, software: "v1", lastEvent: "1"}
	}
	test.addItems("free", "p", 5, 20)
	if requested := test.requested(); requested["bound"] != maxSlotRequests || requested["free"] != 5 {
		t.Errorf("requested %v, want %d bound items and 5 free ones", requested, maxSlotRequests)
	}
}

// Guards against items under which engines ended, which wait for each other, that take the slot requests of
// all others.
func TestSuspectsDoNotTakeAllSlotRequests(t *testing.T) {
	test := newRequestTest(t)
	suspects := test.addItems("suspect", "p", 2*maxSlotRequests, 20)
	for index := range suspects.items {
		suspects.items[index].Body = []byte(strings.Repeat("a", index+1))
		identity := test.service.identityOf(suspects, suspects.items[index])
		test.service.Guard.AddStoredCrashes([]quarantine.Crash{{Content: identity.Content.Item(), Engine: uint64(index) + 1, Age: quarantine.MaxItemPause}})
	}
	test.addItems("other", "p", 5, 20)
	if requested := test.requested(); requested["suspect"] != maxSlotRequests || requested["other"] != 5 {
		t.Errorf("requested %v, want %d suspects and 5 others", requested, maxSlotRequests)
	}
}

// Guards against an item that is never placed again after engines ended under it, and against one that takes
// one engine after the other without a pause.
func TestItemPausesAfterCrashes(t *testing.T) {
	test := newRequestTest(t)
	job := test.addItems("unlucky", "p", 1, 20)
	content := test.service.identityOf(job, job.items[0]).Content
	for engine := range uint64(10) {
		test.service.Guard.AddStoredCrashes([]quarantine.Crash{{Content: content, Engine: engine, Age: time.Minute}})
	}
	if requested := test.requested(); requested["unlucky"] != 1 {
		t.Errorf("requested %v after crashes under a request with the content", requested)
	}
	test.service.Guard.AddStoredCrashes([]quarantine.Crash{{Content: content.Item(), Engine: 100}, {Content: content.Item(), Engine: 101}})
	if requested := test.requested(); requested["unlucky"] != 0 {
		t.Errorf("requested %v right after engines ended under the item", requested)
	}
	time.Sleep(quarantine.ItemPause(2))
	if requested := test.requested(); requested["unlucky"] != 1 {
		t.Errorf("requested %v after the pause", requested)
	}
}

// Guards against an item that takes an idle engine again and again, though each engine rejects it since its
// output may not fit.
func TestItemThatMayExceedTheMemoryPausesLonger(t *testing.T) {
	service := newRequestTest(t).service
	rejected := func(promptTokens, refusals int) time.Duration {
		return service.notStartedPause(itemRun{
			item:     passthrough.Item{Header: http.Header{promptHeader: {strconv.Itoa(promptTokens)}}},
			decision: slots.Decision{Choice: enginechoice.Choice{Entry: enginechoice.Entry{MemoryTokens: testEngineMemory}}},
		}, refusals)
	}
	if first, last := rejected(testEngineMemory, 0), rejected(testEngineMemory, 20); first != notStartedPause || last != maxNotStartedPause {
		t.Errorf("an item that fits pauses %v to %v", first, last)
	}
	if first, last := rejected(testEngineMemory+1, 0), rejected(testEngineMemory+1, 20); first != notStartedPause || last != maxSizeRejectedPause {
		t.Errorf("an item that may not fit pauses %v to %v", first, last)
	}
}
