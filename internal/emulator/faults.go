package emulator

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/backend/wire"
	"ringstream.example/ringstream/internal/wait"
)

// FaultSettings says how a stand-in misbehaves. The zero value: not at all.
type FaultSettings struct {
	// DelayMillis is added to each call, and up to JitterMillis at random.
	DelayMillis  int `json:"delay_ms"`
	JitterMillis int `json:"jitter_ms"`
	// Outage refuses each call, which then has no effect and says so.
	Outage bool `json:"outage"`
	// Hang takes calls and never answers them; they have no effect.
	Hang bool `json:"hang"`
	// ErrorRate is the share of calls refused without effect, 0 to 1.
	ErrorRate float64 `json:"error_rate"`
	// LoseAnswers counts the next calls that take effect and get no answer.
	LoseAnswers int `json:"lose_answers"`
	// LoseRequests counts the next calls cut before they have an effect.
	LoseRequests int `json:"lose_requests"`
	// RatePerSecond bounds the calls; zero: no bound. The rest get 429.
	RatePerSecond float64 `json:"rate_per_second"`
	// Operations limits the faults above to these operations; empty: all.
	Operations []string `json:"operations,omitempty"`

	// DropStreams counts the next token streams that are cut after
	// DropStreamAfter lines.
	DropStreams     int `json:"drop_streams"`
	DropStreamAfter int `json:"drop_stream_after"`
	// CrossStreams counts the next token streams that get a line of another
	// attempt after DropStreamAfter lines.
	CrossStreams int `json:"cross_streams"`
	// LateMillis holds each batch of token lines back before it is written.
	LateMillis int `json:"late_ms"`
	// Stall stops an engine's steps: it answers calls and makes no token.
	Stall bool `json:"stall"`
}

// CallPhase says when a hook is called.
type CallPhase uint8

// The phases of a call at a stand-in.
const (
	// BeforeEffect: the call has arrived and done nothing yet.
	BeforeEffect CallPhase = iota
	// AfterEffect: the call has taken effect and was not answered yet.
	AfterEffect
)

// The operations of an engine that a hook sees beside its calls: points of a
// token stream, before the line is written.
const (
	OperationFirstToken = "first_token"
	OperationHalfway    = "halfway"
	OperationFinish     = "finish"
)

// Call is one call at a stand-in, as a hook sees it.
type Call struct {
	System    string // "table", an engine's ID
	Operation string // "commit", "generate", OperationFirstToken
	Phase     CallPhase
	// From is the address that the call came from.
	From netip.AddrPort
	// Subject is the key, object name, prefix or attempt that the call is about.
	Subject string
	// Body is what was sent; it must not be changed.
	Body []byte
	// Priority is that of the attempt, for an engine's streams.
	Priority backend.Priority
}

// Faults makes one stand-in misbehave. It is safe for concurrent use.
type Faults struct {
	system string

	mu       sync.Mutex
	settings FaultSettings
	random   *rand.Rand
	limiter  *rate.Limiter
	hook     func(Call)
	calls    map[string]int
	refused  int
}

// newFaults makes the faults of one stand-in; the settings hold its standing
// rate and delay.
func newFaults(system string, seed uint64, settings FaultSettings) *Faults {
	f := &Faults{
		system: system, calls: map[string]int{},
		random: rand.New(rand.NewPCG(seed, PromptHash("faults", system))), //nolint:gosec // seeded on purpose
	}
	f.Set(settings)
	return f
}

// Set replaces the settings.
func (f *Faults) Set(settings FaultSettings) {
	f.Change(func(s *FaultSettings) { *s = settings })
}

// Change edits the settings in place.
func (f *Faults) Change(edit func(*FaultSettings)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.settings.RatePerSecond
	edit(&f.settings)
	switch after := f.settings.RatePerSecond; {
	case after <= 0:
		f.limiter = nil
	case after != before || f.limiter == nil:
		f.limiter = rate.NewLimiter(rate.Limit(after), max(1, int(after)))
	}
}

// Settings gives the settings; counters show what is left of them.
func (f *Faults) Settings() FaultSettings {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.settings
}

// SetHook has a function called at each phase of each call, on the call's own
// goroutine; it may block or change the faults. Nil: none.
func (f *Faults) SetHook(hook func(Call)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hook = hook
}

// Calls counts the calls that came, by operation.
func (f *Faults) Calls() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	calls := make(map[string]int, len(f.calls))
	for operation, count := range f.calls {
		calls[operation] = count
	}
	return calls
}

// Refused counts the calls refused for the rate or by a fault.
func (f *Faults) Refused() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refused
}

// verdict is what becomes of one call.
type verdict struct {
	delay       time.Duration
	hang        bool
	loseRequest bool
	loseAnswer  bool
	refusal     *wire.Error
	status      int
}

// judge decides what becomes of a call.
func (f *Faults) judge(operation string) verdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls[operation]++
	s := &f.settings
	if f.limiter != nil {
		if wait := f.reserve(); wait > 0 {
			f.refused++
			return refusedCall(http.StatusTooManyRequests, backend.CodeRateLimited, "over the rate", wait)
		}
	}
	if len(s.Operations) > 0 && !slices.Contains(s.Operations, operation) {
		return verdict{}
	}
	if s.Outage || (s.ErrorRate > 0 && f.random.Float64() < s.ErrorRate) {
		f.refused++
		return refusedCall(http.StatusServiceUnavailable, backend.CodeUnavailable, "out of service", 0)
	}
	v := verdict{delay: time.Duration(s.DelayMillis) * time.Millisecond, hang: s.Hang}
	if s.JitterMillis > 0 {
		v.delay += time.Duration(f.random.IntN(s.JitterMillis+1)) * time.Millisecond
	}
	v.loseRequest = takeOne(&s.LoseRequests)
	if !v.loseRequest {
		v.loseAnswer = takeOne(&s.LoseAnswers)
	}
	return v
}

// reserve takes one call from the rate; above zero it is refused, and the
// duration says when to ask again.
func (f *Faults) reserve() time.Duration {
	reservation := f.limiter.Reserve()
	wait := reservation.Delay()
	if wait > 0 {
		reservation.Cancel()
	}
	return wait
}

func refusedCall(status int, code backend.ErrorCode, message string, wait time.Duration) verdict {
	return verdict{status: status, refusal: &wire.Error{
		Code: string(code), Effect: wire.EffectNone, Message: message, RetryAfterMillis: wait.Milliseconds(),
	}}
}

func takeOne(counter *int) bool {
	if *counter <= 0 {
		return false
	}
	*counter--
	return true
}

// wrap puts the faults before a handler.
func (f *Faults) wrap(operation string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		// Read first: net/http notices that a caller has gone only after that.
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		f.notify(operation, r, body, BeforeEffect)
		v := f.judge(operation)
		switch {
		case v.refusal != nil:
			writeError(w, v.status, *v.refusal)
			return
		case v.hang:
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		case v.loseRequest:
			panic(http.ErrAbortHandler)
		}
		if !wait.For(r.Context(), v.delay) {
			panic(http.ErrAbortHandler)
		}
		if v.loseAnswer {
			next(&discard{header: http.Header{}}, r)
			f.notify(operation, r, body, AfterEffect)
			panic(http.ErrAbortHandler)
		}
		next(&notifying{ResponseWriter: w, notify: func() { f.notify(operation, r, body, AfterEffect) }}, r)
	}
}

// hooked gives the hook, or nil.
func (f *Faults) hooked() func(Call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hook
}

func (f *Faults) notify(operation string, r *http.Request, body []byte, phase CallPhase) {
	hook := f.hooked()
	if hook == nil {
		return
	}
	from, _ := netip.ParseAddrPort(r.RemoteAddr) // zero when there is none
	hook(Call{System: f.system, Operation: operation, Phase: phase, From: from, Subject: subject(r), Body: body})
}

// subject reads what a call is about from its URL.
func subject(r *http.Request) string {
	if id := r.PathValue("id"); id != "" {
		return id
	}
	query := r.URL.Query()
	for _, name := range []string{"key", "name", "prefix"} {
		if value := query.Get(name); value != "" {
			return value
		}
	}
	return ""
}

// notifying tells the hook just before the first byte of the answer.
type notifying struct {
	http.ResponseWriter
	notify func()
	once   sync.Once
}

// WriteHeader implements http.ResponseWriter.
func (n *notifying) WriteHeader(status int) {
	n.once.Do(n.notify)
	n.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (n *notifying) Write(p []byte) (int, error) {
	n.once.Do(n.notify)
	return n.ResponseWriter.Write(p)
}

// Unwrap is for http.ResponseController.
func (n *notifying) Unwrap() http.ResponseWriter { return n.ResponseWriter }

// discard takes an answer that is lost.
type discard struct{ header http.Header }

// Header implements http.ResponseWriter.
func (d *discard) Header() http.Header { return d.header }

// Write implements http.ResponseWriter: a lost stream ends at its first line.
func (d *discard) Write([]byte) (int, error) { return 0, http.ErrAbortHandler }

// WriteHeader implements http.ResponseWriter.
func (d *discard) WriteHeader(int) {}

// admin registers the faults' own endpoint, which no fault touches.
func (f *Faults) admin(mux *http.ServeMux) {
	mux.HandleFunc("GET /admin/faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, f.Settings()) })
	mux.HandleFunc("POST /admin/faults", func(w http.ResponseWriter, r *http.Request) {
		settings := f.Settings()
		decoder := json.NewDecoder(r.Body)
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&settings); err != nil {
			refuse(w, http.StatusBadRequest, backend.CodeInvalid, err.Error())
			return
		}
		f.Set(settings)
		writeJSON(w, settings)
	})
}

// writeJSON answers a call that succeeded.
func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // the caller may have gone
}

// refuse answers a call that did nothing.
func refuse(w http.ResponseWriter, status int, code backend.ErrorCode, message string) {
	writeError(w, status, wire.Error{Code: string(code), Effect: wire.EffectNone, Message: message})
}

func writeError(w http.ResponseWriter, status int, body wire.Error) {
	w.Header().Set("Content-Type", "application/json")
	if body.RetryAfterMillis > 0 {
		const millisPerSecond = 1000
		w.Header().Set("Retry-After", strconv.FormatInt((body.RetryAfterMillis+millisPerSecond-1)/millisPerSecond, 10))
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may have gone
}

// decode reads a JSON body; false after it has refused the call.
func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		refuse(w, http.StatusBadRequest, backend.CodeInvalid, err.Error())
		return false
	}
	return true
}
