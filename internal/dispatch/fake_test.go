package dispatch_test

import (
	"context"
	"errors"
	"io"
	"strconv"
	"sync"
	"time"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/core/identity"
)

const (
	fakeModel      = "model"
	fakePool       = "pool"
	tokenInterval  = 10 * time.Millisecond
	fakeMaxRunning = 4
)

// fakeEngine generates "prompt/n" as token n of a prompt. Tests set its faults under
// its mutex.
type fakeEngine struct {
	id string

	mutex       sync.Mutex
	attempts    map[identity.AttemptID]*fakeAttempt
	refusal     *backend.Error // returned by Generate while set
	loseAnswers int            // the number of Generate calls that start the attempt but lose the response
	breakAt     map[int]bool   // streams break before these offsets, once each
	hangAt      int            // streams hang before this offset; -1 means never
	skewAt      int            // a stream skips this offset once; -1 means never
	repeatAt    int            // a stream repeats the token before this offset once; -1 means never
	down        bool
	leaving     bool
	cancelled   map[identity.AttemptID]bool
	generates   int
	loads       int
	incarnation identity.Incarnation
}

type fakeAttempt struct {
	request backend.GenerateRequest
	started time.Time
}

func newFakeEngine(id string) *fakeEngine {
	return &fakeEngine{
		id: id, incarnation: "life-1", attempts: map[identity.AttemptID]*fakeAttempt{}, breakAt: map[int]bool{},
		hangAt: -1, skewAt: -1, repeatAt: -1, cancelled: map[identity.AttemptID]bool{},
	}
}

func (f *fakeEngine) set(change func(*fakeEngine)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	change(f)
}

// sends returns the number of Generate calls received.
func (f *fakeEngine) sends() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.generates
}

// cancels returns the number of attempts that were cancelled.
func (f *fakeEngine) cancels() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.cancelled)
}

func (f *fakeEngine) fault(code backend.ErrorCode, effect backend.Effect) *backend.Error {
	return &backend.Error{Code: code, Effect: effect, System: f.id, Operation: "fake"}
}

// running counts the attempts of a priority that are neither cancelled nor finished.
func (f *fakeEngine) running(priority backend.Priority) int {
	count := 0
	for id, attempt := range f.attempts {
		left := time.Duration(attempt.request.MaxTokens-len(attempt.request.Kept)) * tokenInterval
		if !f.cancelled[id] && attempt.request.Priority == priority && time.Since(attempt.started) < left {
			count++
		}
	}
	return count
}

func (f *fakeEngine) Generate(ctx context.Context, request backend.GenerateRequest) (backend.TokenStream, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.generates++
	switch {
	case f.down:
		return nil, f.fault(backend.CodeUnavailable, backend.EffectNone)
	case f.refusal != nil:
		return nil, f.refusal
	case f.leaving:
		return nil, f.fault(backend.CodeLeaving, backend.EffectNone)
	}
	f.attempts[request.Attempt] = &fakeAttempt{request: request, started: time.Now()}
	if f.loseAnswers > 0 {
		f.loseAnswers--
		return nil, f.fault(backend.CodeUnavailable, backend.EffectUnknown)
	}
	return &fakeStream{ctx: ctx, engine: f, id: request.Attempt, offset: len(request.Kept)}, nil
}

func (f *fakeEngine) Resume(ctx context.Context, id identity.AttemptID, offset int) (backend.TokenStream, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.down {
		return nil, f.fault(backend.CodeUnavailable, backend.EffectNone)
	}
	if f.attempts[id] == nil {
		return nil, f.fault(backend.CodeNotFound, backend.EffectNone)
	}
	return &fakeStream{ctx: ctx, engine: f, id: id, offset: offset}, nil
}

func (f *fakeEngine) Cancel(_ context.Context, id identity.AttemptID) (backend.CancelReport, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.down {
		return backend.CancelReport{}, f.fault(backend.CodeUnavailable, backend.EffectNone)
	}
	f.cancelled[id] = true
	found := f.attempts[id] != nil
	return backend.CancelReport{Found: found, Never: !found, Incarnation: f.incarnation}, nil
}

func (f *fakeEngine) ExportKV(context.Context, identity.AttemptID) ([]byte, error) { return nil, nil }
func (f *fakeEngine) ImportKV(context.Context, []byte) error                       { return nil }
func (f *fakeEngine) Order(context.Context, backend.Order) error                   { return nil }

func (f *fakeEngine) CacheEvents(context.Context, uint64) ([]backend.CacheEvent, error) {
	return nil, nil
}

func (f *fakeEngine) Load(context.Context) (backend.EngineLoad, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.loads++
	if f.down {
		return backend.EngineLoad{}, f.fault(backend.CodeUnavailable, backend.EffectNone)
	}
	return backend.EngineLoad{
		Engine: identity.EngineID(f.id), ReportedAt: time.Now(), MaxRunning: fakeMaxRunning, Leaving: f.leaving,
		RunningOnline: f.running(backend.PriorityOnline), RunningBatch: f.running(backend.PriorityBatch),
		Models: []backend.LoadedModel{{Model: fakeModel, Version: "1"}}, Incarnation: f.incarnation,
	}, nil
}

type fakeStream struct {
	ctx    context.Context
	engine *fakeEngine
	id     identity.AttemptID
	offset int
}

func (s *fakeStream) Next() (backend.Token, error) {
	s.engine.mutex.Lock()
	hang := s.engine.hangAt >= 0 && s.offset >= s.engine.hangAt
	s.engine.mutex.Unlock()
	if hang {
		<-s.ctx.Done()
	}
	select {
	case <-s.ctx.Done():
		return backend.Token{}, s.engine.fault(backend.CodeBroken, backend.EffectUnknown)
	case <-time.After(tokenInterval):
	}
	s.engine.mutex.Lock()
	defer s.engine.mutex.Unlock()
	attempt := s.engine.attempts[s.id]
	switch {
	case s.engine.down || s.engine.cancelled[s.id]:
		return backend.Token{}, s.engine.fault(backend.CodeBroken, backend.EffectUnknown)
	case s.offset >= attempt.request.MaxTokens:
		return backend.Token{}, io.EOF
	case s.engine.breakAt[s.offset]:
		delete(s.engine.breakAt, s.offset)
		return backend.Token{}, s.engine.fault(backend.CodeBroken, backend.EffectUnknown)
	case s.engine.skewAt == s.offset:
		s.engine.skewAt = -1
		s.offset++
	case s.engine.repeatAt == s.offset && s.offset > 0:
		s.engine.repeatAt = -1
		s.offset--
	}
	token := backend.Token{Offset: s.offset, Text: attempt.request.Prompt + "/" + strconv.Itoa(s.offset)}
	s.offset++
	return token, nil
}

func (s *fakeStream) Finish() backend.Finish {
	return backend.Finish{Reason: "length", OutputTokens: s.offset}
}

func (s *fakeStream) Close() error { return nil }

// fakeFleet is a machine list of fake engines and the source of their clients.
type fakeFleet struct {
	mutex    sync.Mutex
	version  uint64
	machines []backend.Machine
	engines  map[string]*fakeEngine
}

func newFakeFleet(engines ...*fakeEngine) *fakeFleet {
	fleet := &fakeFleet{version: 1, engines: map[string]*fakeEngine{}}
	for _, engine := range engines {
		fleet.engines[engine.id] = engine
		fleet.machines = append(fleet.machines, backend.Machine{
			ID: engine.id, Kind: backend.MachineEngine, Address: engine.id, Zone: "zone-a", Region: "region", Pool: fakePool, Capacity: 1,
		})
	}
	return fleet
}

func (f *fakeFleet) Machines(_ context.Context, since uint64) (backend.MachineSnapshot, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if since == f.version {
		return backend.MachineSnapshot{Version: since}, nil
	}
	return backend.MachineSnapshot{Version: f.version, Machines: append([]backend.Machine(nil), f.machines...)}, nil
}

func (f *fakeFleet) leave(id string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.version++
	for i := range f.machines {
		if f.machines[i].ID == id {
			f.machines[i].Leaving = true
		}
	}
}

func (f *fakeFleet) Engine(machine backend.Machine) backend.Engine { return f.engines[machine.ID] }

var errSinkClosed = errors.New("the reader closed")
