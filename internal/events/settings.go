package events

import "go.uber.org/zap/zapcore"

// Events of the HTTP servers, TLS and keys: 1010 to 1499.
var (
	ServerListening = Define(Event{Number: 1010, Name: "server listening", Level: zapcore.InfoLevel, Fields: []string{"server", "address", "tls"}})
	ServerDraining  = Define(Event{Number: 1011, Name: "server draining", Level: zapcore.InfoLevel, Fields: []string{"server", "running"}})
	ServerCut       = Define(Event{Number: 1012, Name: "server stopped with requests running", Level: zapcore.WarnLevel, Fields: []string{"server", "running"}, Action: "Requests ran longer than drain_time and were cut. Raise drain_time above the longest answer."})
	RequestServed   = Define(Event{Number: 1013, Name: "request served", Level: zapcore.InfoLevel, Fields: []string{"server", "request_id", "method", "path", "status", "bytes", "duration", "remote"}})
	RequestFailed   = Define(Event{Number: 1014, Name: "request failed", Level: zapcore.WarnLevel, Fields: []string{"server", "request_id", "method", "path", "status", "bytes", "duration", "remote", "error"}, Action: "Read the error's code in docs/operations/errors.md."})
	RequestPanicked = Define(Event{Number: 1015, Name: "request panicked", Level: zapcore.ErrorLevel, Fields: []string{"server", "request_id", "panic", "stack"}, Action: "A fault in the program: report it with the stack. The node goes on."})

	TLSReloaded     = Define(Event{Number: 1020, Name: "certificates reloaded", Level: zapcore.InfoLevel, Fields: []string{"file"}})
	TLSReloadFailed = Define(Event{Number: 1021, Name: "certificates not reloaded", Level: zapcore.WarnLevel, Fields: []string{"file", "error"}, Action: "The last good certificate stays in use until it expires. Mend the files named in the error."})

	KeysReloaded     = Define(Event{Number: 1030, Name: "keys reloaded", Level: zapcore.InfoLevel, Fields: []string{"file", "keys"}})
	KeysReloadFailed = Define(Event{Number: 1031, Name: "keys not reloaded", Level: zapcore.WarnLevel, Fields: []string{"file", "error"}, Action: "The last good keys stay in use: new keys are not accepted and removed ones still are. Mend the file."})
)
