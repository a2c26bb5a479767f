package events

import "go.uber.org/zap/zapcore"

// Events of the pass-through gateway: 8000 to 8999.
var (
	TableListed   = Define(Event{Number: 8001, Name: "store table listed", Level: zapcore.InfoLevel, Fields: []string{"table", "rows", "store_version"}})
	HistoryGone   = Define(Event{Number: 8002, Name: "store history gone", Level: zapcore.InfoLevel, Fields: []string{"table", "store_version"}})
	StoreLost     = Define(Event{Number: 8003, Name: "store lost", Level: zapcore.WarnLevel, Fields: []string{"table", "last_answer_age", "error"}, Action: "The node goes on with what it knows and with what peers tell. Look at the platform's store, and at other nodes for the same line: one node alone points at its machine."})
	StoreRegained = Define(Event{Number: 8004, Name: "store regained", Level: zapcore.InfoLevel, Fields: []string{"table", "after", "failures"}})

	RoutesTaken   = Define(Event{Number: 8010, Name: "routes taken", Level: zapcore.InfoLevel, Fields: []string{"version", "replaces", "source"}})
	RoutesRefused = Define(Event{Number: 8011, Name: "routes refused", Level: zapcore.ErrorLevel, Fields: []string{"source", "error"}, Action: "The configuration document cannot be read; the version before stays in force. Correct the document."})

	EngineSeen       = Define(Event{Number: 8020, Name: "engine entry", Level: zapcore.InfoLevel, Fields: []string{"engine", "address", "state", "store_version"}})
	EngineGone       = Define(Event{Number: 8021, Name: "engine entry gone", Level: zapcore.InfoLevel, Fields: []string{"engine", "store_was_sick", "store_version"}})
	EngineUnreadable = Define(Event{Number: 8022, Name: "engine entry unreadable", Level: zapcore.ErrorLevel, Fields: []string{"engine", "error"}, Action: "The engine's entry in the store is malformed; look at what wrote it."})

	RequestTaken   = Define(Event{Number: 8101, Name: "request taken", Level: zapcore.DebugLevel, Fields: []string{"request", "route", "routes_version", "left"}})
	RequestDone    = Define(Event{Number: 8102, Name: "request ended", Level: zapcore.InfoLevel, Fields: []string{"request", "route", "routes_version", "routes_age", "outcome", "status", "attempts", "events", "first_event", "elapsed"}})
	EngineChosen   = Define(Event{Number: 8103, Name: "engine chosen", Level: zapcore.InfoLevel, Fields: []string{"request", "engine", "attempt", "score_ms", "in_flight", "prefill_tokens", "makes_room", "state", "left", "last_event"}})
	AttemptEnded   = Define(Event{Number: 8104, Name: "attempt ended", Level: zapcore.InfoLevel, Fields: []string{"request", "engine", "attempt", "outcome", "status", "events", "elapsed", "error"}})
	NoEngine       = Define(Event{Number: 8105, Name: "no engine can take the request", Level: zapcore.InfoLevel, Fields: []string{"request", "pool", "excluded"}})
	SurplusAnswer  = Define(Event{Number: 8106, Name: "answer of another request dropped", Level: zapcore.InfoLevel, Fields: []string{"request", "engine", "answered"}})
	NoRoute        = Define(Event{Number: 8107, Name: "no route", Level: zapcore.InfoLevel, Fields: []string{"request", "host", "path", "routes_version", "routes_age"}})
	RequestTooBig  = Define(Event{Number: 8108, Name: "request body over the limit", Level: zapcore.InfoLevel, Fields: []string{"request", "limit"}})
	NotReadable    = Define(Event{Number: 8109, Name: "request body not read", Level: zapcore.InfoLevel, Fields: []string{"request", "error"}})
	RequestRefused = Define(Event{Number: 8110, Name: "request refused, not run", Level: zapcore.InfoLevel, Fields: []string{"request", "reason", "retry_after"}})

	PeerNotAsked      = Define(Event{Number: 8030, Name: "peer did not answer", Level: zapcore.DebugLevel, Fields: []string{"peer", "error"}})
	PeerTold          = Define(Event{Number: 8031, Name: "documents taken from a peer", Level: zapcore.InfoLevel, Fields: []string{"peer", "routes_version", "rows", "age"}})
	AggregatorChanged = Define(Event{Number: 8032, Name: "load aggregator changed", Level: zapcore.InfoLevel, Fields: []string{"from", "to", "silent"}})
	EngineExpired     = Define(Event{Number: 8023, Name: "unlisted engine not listed again", Level: zapcore.InfoLevel, Fields: []string{"engine", "after"}})

	ClockGap         = Define(Event{Number: 8201, Name: "process was paused", Level: zapcore.WarnLevel, Fields: []string{"gap"}, Action: "The machine stood still, or gave the process no time; what the node believes may be that old. Look at the machine if it repeats."})
	LogLinesShed     = Define(Event{Number: 8202, Name: "log lines shed", Level: zapcore.WarnLevel, Fields: []string{"lines"}, Action: "Standard output was not read fast enough, and lines were dropped rather than hold requests up. Read it faster or raise log.level."})
	SettingsReread   = Define(Event{Number: 8203, Name: "settings read again", Level: zapcore.InfoLevel, Fields: []string{"changed", "error"}})
	PassReady        = Define(Event{Number: 8204, Name: "pass-through ready", Level: zapcore.InfoLevel, Fields: []string{"node", "routes_version", "engines", "after"}})
	PassDraining     = Define(Event{Number: 8205, Name: "pass-through draining", Level: zapcore.InfoLevel, Fields: []string{"node", "running"}})
	PassStopped      = Define(Event{Number: 8206, Name: "pass-through stopped", Level: zapcore.InfoLevel, Fields: []string{"node", "running", "elapsed"}})
	JobRowUnreadable = Define(Event{Number: 8301, Name: "job row unreadable", Level: zapcore.ErrorLevel, Fields: []string{"row", "error"}, Action: "A row of the jobs table is malformed, or of a later version; look at what wrote it."})
	JobHandedIn      = Define(Event{Number: 8302, Name: "job handed in", Level: zapcore.InfoLevel, Fields: []string{"job", "outcome", "route", "routes_version", "items", "tokens", "waiting", "limit", "quota_version", "elapsed", "error"}})
	JobNotLoaded     = Define(Event{Number: 8303, Name: "job not loaded", Level: zapcore.WarnLevel, Fields: []string{"job", "error"}, Action: "The bodies of a job could not be read from the store; its items do not run here. Look at the store; another node takes over when this one ends."})
	JobLetGo         = Define(Event{Number: 8304, Name: "job let go", Level: zapcore.InfoLevel, Fields: []string{"job", "why", "epoch", "listed", "items"}})
	JobWritten       = Define(Event{Number: 8305, Name: "job written", Level: zapcore.InfoLevel, Fields: []string{"job", "applied", "epoch", "expected_version", "results", "failures", "listed", "elapsed"}})
	JobClaimed       = Define(Event{Number: 8306, Name: "job claimed", Level: zapcore.InfoLevel, Fields: []string{"job", "won", "epoch", "former", "why", "listed", "items", "error"}})
	JobReleased      = Define(Event{Number: 8307, Name: "job released", Level: zapcore.InfoLevel, Fields: []string{"job", "applied", "epoch", "rows_of_progress", "error"}})
	JobsHandedOver   = Define(Event{Number: 8308, Name: "jobs handed over", Level: zapcore.InfoLevel, Fields: []string{"jobs", "left", "elapsed"}})
	JobCollected     = Define(Event{Number: 8309, Name: "job collected", Level: zapcore.InfoLevel, Fields: []string{"job", "error"}})
	JobCallAnswered  = Define(Event{Number: 8310, Name: "call about a job answered", Level: zapcore.InfoLevel, Fields: []string{"job", "call", "status", "from", "row_version", "view_age", "elapsed"}})
	ProgressLoaded   = Define(Event{Number: 8311, Name: "progress loaded", Level: zapcore.InfoLevel, Fields: []string{"job", "epoch", "items"}})
	ItemStarted      = Define(Event{Number: 8320, Name: "item started", Level: zapcore.InfoLevel, Fields: []string{"job", "request", "epoch", "engine", "in_flight", "last_event", "routes_version", "routes_age"}})
	ItemRunEnded     = Define(Event{Number: 8321, Name: "item run ended", Level: zapcore.InfoLevel, Fields: []string{"job", "request", "epoch", "engine", "outcome", "status", "events_kept", "elapsed", "error"}})
	ItemFinished     = Define(Event{Number: 8322, Name: "item finished", Level: zapcore.InfoLevel, Fields: []string{"job", "request", "succeeded", "why"}})
	ItemYields       = Define(Event{Number: 8323, Name: "item yields", Level: zapcore.InfoLevel, Fields: []string{"job", "request", "engine", "events_kept", "why"}})
	SignNotWritten   = Define(Event{Number: 8330, Name: "sign of life not written", Level: zapcore.WarnLevel, Fields: []string{"count", "error"}, Action: "The store did not take this node's sign of life. After batch.dead_after the others take its jobs over; look at the store and the way to it."})
	PassStarting     = Define(Event{Number: 8207, Name: "pass-through starting", Level: zapcore.InfoLevel, Fields: []string{"node", "incarnation", "zone", "version"}})
)
