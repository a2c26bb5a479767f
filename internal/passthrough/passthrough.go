// Package passthrough declares what the pass-through gateway needs from the platform that it runs
// on: how requests, answers, routes, engines, rows and objects are written there. Package platform
// at the root implements it; no other package knows a name of the platform's wire format.
package passthrough

import (
	"net/http"
	"time"

	"ringstream.example/ringstream/internal/core/passroute"
)

// PromptPart is one part of a prompt that other requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Demand is what a request states about itself in its headers.
type Demand struct {
	RequestID    string
	TimeLeft     time.Duration // how long the client waits; 0 if not stated
	Parts        []PromptPart  // in order; the last part belongs to this request alone
	PromptTokens int
	OutputTokens int    // the maximum that the request generates
	LengthHint   int    // the client's estimate of the output tokens; 0 if there is none
	LastEvent    string // the stream continues after this event; empty: from its start
	Resumes      string // id of the request that brought the stream's first event; empty if not stated
	Wait         time.Duration
	Key          string // the tenant's key in plain text; must not be logged or forwarded
}

// MaxTokens returns the length of the prompt and of the longest output.
func (d Demand) MaxTokens() int { return d.PromptTokens + d.OutputTokens }

// EngineRequest is what the gateway adds to a request that it sends to an engine.
type EngineRequest struct {
	TimeLeft  time.Duration // how long the engine may work; 0 if not stated
	Instance  string        // the engine's id; another engine must not run the request
	LastEvent string        // the stream continues after this event; empty: the client's header is kept
	Tenant    string        // the request's tenant; empty if there is none
}

// EngineAnswer is what an engine states in the headers of its answer.
type EngineAnswer struct {
	RequestID string
	Instance  string // the engine's own id, if the answer has it
	Signed    bool   // the answer carries the engine's signature
	NotRun    bool   // the engine states that it did not run the request
	Load      EngineLoad
	LoadKnown bool
	// LoadUnreadable reports that the answer states a load in a form that is not known.
	LoadUnreadable bool
}

// EngineLoad is an engine's own count of its requests and slots.
type EngineLoad struct {
	Running, Waiting, Slots int
	// WorkPercent is how long work takes at the engine at present, as a percentage of the
	// usual; 0 if it does not say.
	WorkPercent int
}

// Headers reads and writes the headers of requests and answers.
type Headers interface {
	// Demand reads a request's headers.
	Demand(header http.Header) Demand
	// SetForEngine sets the headers that the gateway owns on a request to an engine, and removes
	// the client's key and the client's headers about its tenant.
	SetForEngine(header http.Header, to EngineRequest)
	// Answer reads the status and headers of an engine's answer.
	Answer(status int, header http.Header) EngineAnswer
	// SetRetryAfter sets on a refusal when the client should retry.
	SetRetryAfter(header http.Header, wait time.Duration)
}

// EngineReports describes the call by which an engine tells its state. The call takes no slot.
type EngineReports interface {
	// Path returns the path of the call.
	Path() string
	// Born reads from the answer when the engine started, as in EngineEntry.BornMs; 0 if it does not tell.
	Born(answer []byte) int64
}

// EngineState says whether an engine accepts new work.
type EngineState uint8

// The states of an engine's entry.
const (
	EngineReady EngineState = iota
	EngineDraining
)

// EngineEntry is one engine as the platform lists it.
type EngineEntry struct {
	ID       string // with BornMs it identifies the incarnation of the engine
	Pool     string
	Software string // version of the software that the engine runs; not empty
	Address  string // host:port
	Zone     string
	Slots    int
	State    EngineState
	ColdFor  time.Duration // remaining time for which the engine is slow after its start
	BornMs   int64         // Unix time of the engine's start in milliseconds; 0 if not stated
}

// Documents reads the platform's documents.
type Documents interface {
	// Routes reads the configuration. An error names what is wrong with it.
	Routes(document []byte) (*passroute.Table, error)
	// Engine reads the entry of the engine with an id.
	Engine(id string, document []byte) (EngineEntry, error)
	// Places returns where the documents are stored.
	Places() Places
}

// Places names the tables and keys of the documents that the platform writes.
type Places struct {
	RoutesTable, RoutesKey string
	EnginesTable           string
}
