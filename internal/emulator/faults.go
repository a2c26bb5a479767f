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

// FaultSettings holds the faults of a stand-in. The zero value injects no faults.
type FaultSettings struct {
	// DelayMillis and a random time of up to JitterMillis are added to each call.
	DelayMillis  int `json:"delay_ms"`
	JitterMillis int `json:"jitter_ms"`
	// Outage refuses each call with an answer that reports no effect.
	Outage bool `json:"outage"`
	// Hang accepts calls and never answers them. They have no effect.
	Hang bool `json:"hang"`
	// ErrorRate is the fraction of calls refused without effect, from 0 to 1.
	ErrorRate float64 `json:"error_rate"`
	// LoseAnswers is the number of next calls that take effect but get no answer.
	LoseAnswers int `json:"lose_answers"`
	// LoseRequests is the number of next calls cut before they have an effect.
	LoseRequests int `json:"lose_requests"`
	// RatePerSecond limits the calls; zero means no limit. Calls over the limit get status 429.
	RatePerSecond float64 `json:"rate_per_second"`
	// Operations limits the faults above, except RatePerSecond, to these operations; empty means all.
	Operations []string `json:"operations,omitempty"`

	// DropStreams is the number of next token streams that are cut after
	// DropStreamAfter lines.
	DropStreams     int `json:"drop_streams"`
	DropStreamAfter int `json:"drop_stream_after"`
	// MixStreams is the number of next token streams that get a line of another
	// attempt after DropStreamAfter lines.
	MixStreams int `json:"cross_streams"`
	// WriteDelayMillis delays each write of token lines.
	WriteDelayMillis int `json:"late_ms"`
	// Stall stops an engine's steps: it answers calls but generates no tokens.
	Stall bool `json:"stall"`
}

// CallPhase is the point of a call at which a hook is called.
type CallPhase uint8

// The phases of a call to a stand-in.
const (
	// BeforeEffect means that the call has arrived and has had no effect yet.
	BeforeEffect CallPhase = iota
	// AfterEffect means that the call has taken effect and has not been answered yet.
	AfterEffect
)

// The operations of an engine that a hook sees in addition to its calls. They
// are points of a token stream; the hook is called before the line is written.
const (
	OperationFirstToken = "first_token"
	OperationHalfway    = "halfway"
	OperationFinish     = "finish"
)

// Call is one call to a stand-in, as passed to a hook.
type Call struct {
	System    string // "table", an engine's ID
	Operation string // "commit", "generate", OperationFirstToken
	Phase     CallPhase
	// From is the remote address of the call.
	From netip.AddrPort
	// Subject is the key, object name, prefix or attempt that the call is about.
	Subject string
	// Body is the request body. The hook must not modify it.
	Body []byte
	// Priority is the attempt's priority, for an engine's streams only.
	Priority backend.Priority
}

// Faults injects faults into one stand-in. It is safe for concurrent use.
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

// newFaults returns the faults of one stand-in. The settings hold its permanent
// rate limit and delay.
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

// Settings returns the current settings. Counters show the number of faults left.
func (f *Faults) Settings() FaultSettings {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.settings
}

// SetHook sets a function that is called at each phase of each call, on the
// call's own goroutine. It may block or change the faults. Nil removes the hook.
func (f *Faults) SetHook(hook func(Call)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hook = hook
}

// Calls returns the number of calls that arrived, by operation.
func (f *Faults) Calls() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	calls := make(map[string]int, len(f.calls))
	for operation, count := range f.calls {
		calls[operation] = count
	}
	return calls
}

// Refused returns the number of calls refused by the rate limit or a fault.
func (f *Faults) Refused() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refused
}

// outcome is the result that the faults decide for one call.
type outcome struct {
	delay       time.Duration
	hang        bool
	loseRequest bool
	loseAnswer  bool
	refusal     *wire.Error
	status      int
}

// decide counts a call and returns its outcome.
func (f *Faults) decide(operation string) outcome {
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
		return outcome{}
	}
	if s.Outage || (s.ErrorRate > 0 && f.random.Float64() < s.ErrorRate) {
		f.refused++
		return refusedCall(http.StatusServiceUnavailable, backend.CodeUnavailable, "out of service", 0)
	}
	v := outcome{delay: time.Duration(s.DelayMillis) * time.Millisecond, hang: s.Hang}
	if s.JitterMillis > 0 {
		v.delay += time.Duration(f.random.IntN(s.JitterMillis+1)) * time.Millisecond
	}
	v.loseRequest = consumeOne(&s.LoseRequests)
	if !v.loseRequest {
		v.loseAnswer = consumeOne(&s.LoseAnswers)
	}
	return v
}

// reserve takes one call from the rate limiter. A result above zero means that
// the call is refused and may be retried after that time.
func (f *Faults) reserve() time.Duration {
	reservation := f.limiter.Reserve()
	wait := reservation.Delay()
	if wait > 0 {
		reservation.Cancel()
	}
	return wait
}

func refusedCall(status int, code backend.ErrorCode, message string, wait time.Duration) outcome {
	return outcome{status: status, refusal: &wire.Error{
		Code: string(code), Effect: wire.EffectNone, Message: message, RetryAfterMillis: wait.Milliseconds(),
	}}
}

func consumeOne(counter *int) bool {
	if *counter <= 0 {
		return false
	}
	*counter--
	return true
}

// wrap applies the faults to a handler.
func (f *Faults) wrap(operation string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		// The body is read first because net/http detects only after that that a caller has disconnected.
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		f.notify(operation, r, body, BeforeEffect)
		v := f.decide(operation)
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
			next(&discardWriter{header: http.Header{}}, r)
			f.notify(operation, r, body, AfterEffect)
			panic(http.ErrAbortHandler)
		}
		next(&hookWriter{ResponseWriter: w, notify: func() { f.notify(operation, r, body, AfterEffect) }}, r)
	}
}

// currentHook returns the hook, or nil if there is none.
func (f *Faults) currentHook() func(Call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hook
}

func (f *Faults) notify(operation string, r *http.Request, body []byte, phase CallPhase) {
	hook := f.currentHook()
	if hook == nil {
		return
	}
	from, _ := netip.ParseAddrPort(r.RemoteAddr) // zero when there is no valid address
	hook(Call{System: f.system, Operation: operation, Phase: phase, From: from, Subject: subject(r), Body: body})
}

// subject returns the key, object name, prefix or attempt that a call's URL names.
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

// hookWriter calls the hook just before the first byte of the answer.
type hookWriter struct {
	http.ResponseWriter
	notify func()
	once   sync.Once
}

// WriteHeader implements http.ResponseWriter.
func (n *hookWriter) WriteHeader(status int) {
	n.once.Do(n.notify)
	n.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (n *hookWriter) Write(p []byte) (int, error) {
	n.once.Do(n.notify)
	return n.ResponseWriter.Write(p)
}

// Unwrap returns the wrapped writer for http.ResponseController.
func (n *hookWriter) Unwrap() http.ResponseWriter { return n.ResponseWriter }

// discardWriter discards a lost answer.
type discardWriter struct{ header http.Header }

// Header implements http.ResponseWriter.
func (d *discardWriter) Header() http.Header { return d.header }

// Write implements http.ResponseWriter. It fails, so that a lost stream ends at its first line.
func (d *discardWriter) Write([]byte) (int, error) { return 0, http.ErrAbortHandler }

// WriteHeader implements http.ResponseWriter.
func (d *discardWriter) WriteHeader(int) {}

// registerAdmin registers the endpoint of the fault settings, to which no fault applies.
func (f *Faults) registerAdmin(mux *http.ServeMux) {
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

// writeJSON answers a successful call.
func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // the caller may have disconnected
}

// refuse answers a call that had no effect.
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
	_ = json.NewEncoder(w).Encode(body) // the caller may have disconnected
}

// decode reads a JSON body. If it cannot, it refuses the call and returns false.
func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		refuse(w, http.StatusBadRequest, backend.CodeInvalid, err.Error())
		return false
	}
	return true
}
