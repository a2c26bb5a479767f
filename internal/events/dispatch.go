package events

import "go.uber.org/zap/zapcore"

// Events of the fleet's engines and of request dispatch: 3000 to 3999.
var (
	EngineAdded        = Define(Event{Number: 3001, Name: "engine added", Level: zapcore.InfoLevel, Fields: []string{"engine", "pool", "zone"}})
	EngineRemoved      = Define(Event{Number: 3002, Name: "engine removed", Level: zapcore.InfoLevel, Fields: []string{"engine"}})
	EngineLeaving      = Define(Event{Number: 3003, Name: "engine leaving", Level: zapcore.InfoLevel, Fields: []string{"engine", "source"}})
	EngineEjected      = Define(Event{Number: 3004, Name: "engine ejected", Level: zapcore.WarnLevel, Fields: []string{"engine", "cause"}, Action: "The engine does not answer or gives no tokens; it gets no work until a probe succeeds. Look at the engine if it stays out."})
	EngineProbing      = Define(Event{Number: 3005, Name: "engine probing", Level: zapcore.InfoLevel, Fields: []string{"engine"}})
	EngineBack         = Define(Event{Number: 3006, Name: "engine back", Level: zapcore.InfoLevel, Fields: []string{"engine"}})
	MachineListStale   = Define(Event{Number: 3007, Name: "machine list unreachable", Level: zapcore.WarnLevel, Fields: []string{"error"}, Action: "The last list stays in force; engines that leave are noticed by their own reports. Restore the platform's machine list."})
	AttemptFailed      = Define(Event{Number: 3101, Name: "attempt failed", Level: zapcore.InfoLevel, Fields: []string{"request", "attempt", "engine", "offset", "error"}})
	AttemptCrossed     = Define(Event{Number: 3102, Name: "attempt gave a wrong offset", Level: zapcore.WarnLevel, Fields: []string{"request", "attempt", "engine", "want", "got"}, Action: "The engine mixed up or lost tokens; the stream was resumed at the exact offset. Report the engine if it repeats."})
	RetryBudgetSpent   = Define(Event{Number: 3103, Name: "retry budget spent", Level: zapcore.WarnLevel, Fields: []string{"request"}, Action: "Too large a part of requests fail on their engines; further failures are answered without a retry. Look for ejected engines."})
	RequestOutcomeLost = Define(Event{Number: 3104, Name: "request outcome unknown", Level: zapcore.WarnLevel, Fields: []string{"request", "engine", "offset"}, Action: "A request that may not be repeated was sent and its engine cannot be asked. Its caller was told that the outcome is unknown; check with the caller before running it again."})
	CancelFailed       = Define(Event{Number: 3105, Name: "cancel not confirmed", Level: zapcore.InfoLevel, Fields: []string{"attempt", "engine", "error"}})
	ForwardLost        = Define(Event{Number: 3107, Name: "forwarded request lost", Level: zapcore.InfoLevel, Fields: []string{"request", "node", "error"}})
	BatchPreempted     = Define(Event{Number: 3106, Name: "batch preempted", Level: zapcore.DebugLevel, Fields: []string{"engine", "count"}})
)
