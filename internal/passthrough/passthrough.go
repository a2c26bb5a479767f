// Package passthrough declares what the pass-through gateway asks of the
// platform that it runs on: how requests, answers, routes, engines, rows and
// objects are written there. Package platform at the root implements it; no
// other package knows a name of the wire.
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

// Demand is what a request says of itself.
type Demand struct {
	RequestID    string
	TimeLeft     time.Duration // that the client waits; 0: not said
	Parts        []PromptPart  // in order; the last belongs to the request itself
	PromptTokens int
	OutputTokens int    // the most that it generates
	LengthHint   int    // the client's guess of its output; 0: none
	LastEvent    string // the stream goes on after this event; empty: from its start
	Wait         time.Duration
	Key          string // of the tenant, in clear; never to be logged or sent on
}

// EngineRequest is what the gateway itself says to an engine with a request.
type EngineRequest struct {
	TimeLeft  time.Duration // that the engine may work; 0: not said
	Instance  string        // the engine's id: another one must not run it
	LastEvent string        // the stream goes on after this event; empty: the client's own word stays
	Tenant    string        // that the request is of; empty: of none
}

// EngineAnswer is what an engine says in the head of its answer.
type EngineAnswer struct {
	RequestID string
	Instance  string // the engine's own id, where it tells it
	Sealed    bool   // carries the engine's signature
	NotRun    bool   // the engine's word that it did not run the request
	Load      EngineLoad
	LoadKnown bool
}

// EngineLoad is an engine's own count.
type EngineLoad struct {
	Running, Waiting, Slots int
}

// Headers reads and writes the headers of requests and answers.
type Headers interface {
	// Demand reads a request's headers.
	Demand(header http.Header) Demand
	// SetForEngine sets the headers that the gateway owns on a request to an
	// engine, and takes the client's key and what it says of its tenant out.
	SetForEngine(header http.Header, to EngineRequest)
	// Answer reads the head of an engine's answer.
	Answer(status int, header http.Header) EngineAnswer
	// SetRetryAfter says on a refusal when the client should come back.
	SetRetryAfter(header http.Header, wait time.Duration)
}

// EngineState says whether an engine takes new work.
type EngineState uint8

// The states of an engine's entry.
const (
	EngineReady EngineState = iota
	EngineDraining
)

// EngineEntry is one engine as the platform lists it.
type EngineEntry struct {
	ID      string // of this life of the engine
	Pool    string
	Address string // host:port
	Zone    string
	Slots   int
	State   EngineState
	ColdFor time.Duration // how much longer it is slow from its start
	BornMs  int64         // Unix time of its start in milliseconds; 0: not told
}

// Documents reads the platform's documents.
type Documents interface {
	// Routes reads the configuration; an error names what is wrong with it.
	Routes(document []byte) (*passroute.Table, error)
	// Engine reads an engine's entry, kept under its id.
	Engine(id string, document []byte) (EngineEntry, error)
	// Places says where the documents lie.
	Places() Places
}

// Places names the rows that the platform writes.
type Places struct {
	RoutesTable, RoutesKey string
	EnginesTable           string
}
