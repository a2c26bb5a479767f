package events

import "go.uber.org/zap/zapcore"

// Events of a node's lifecycle: 1000 to 1999.
var (
	NodeStarting    = Define(Event{Number: 1001, Name: "node starting", Level: zapcore.InfoLevel, Fields: []string{"node", "zone", "version"}})
	NodeReady       = Define(Event{Number: 1002, Name: "node ready", Level: zapcore.InfoLevel, Fields: []string{"node"}})
	NodeDraining    = Define(Event{Number: 1003, Name: "node draining", Level: zapcore.InfoLevel, Fields: []string{"node"}})
	NodeStopped     = Define(Event{Number: 1004, Name: "node stopped", Level: zapcore.InfoLevel, Fields: []string{"node"}})
	NodeFailed      = Define(Event{Number: 1005, Name: "node failed", Level: zapcore.ErrorLevel, Fields: []string{"node", "error"}, Action: "A component stopped and took the node with it; read the error, restart the node."})
	ComponentFailed = Define(Event{Number: 1006, Name: "component failed", Level: zapcore.ErrorLevel, Fields: []string{"component", "error"}, Action: "The node stops after this; read the error, correct its cause, start the node again."})
)
