package events

import "go.uber.org/zap/zapcore"

// Events of the peer network and the member list: 6000 to 6999.
var (
	PeerListening      = Define(Event{Number: 6001, Name: "peer listening", Level: zapcore.InfoLevel, Fields: []string{"address"}})
	MemberJoined       = Define(Event{Number: 6002, Name: "member joined", Level: zapcore.InfoLevel, Fields: []string{"member", "zone", "state"}})
	MemberLeft         = Define(Event{Number: 6003, Name: "member left as planned", Level: zapcore.InfoLevel, Fields: []string{"member", "zone", "state"}})
	MemberChanged      = Define(Event{Number: 6004, Name: "member changed", Level: zapcore.InfoLevel, Fields: []string{"member", "zone", "state"}})
	MemberSuspected    = Define(Event{Number: 6005, Name: "member suspected", Level: zapcore.InfoLevel, Fields: []string{"member", "reason"}})
	MemberDead         = Define(Event{Number: 6006, Name: "member dead", Level: zapcore.WarnLevel, Fields: []string{"member", "zone", "state"}, Action: "Look at the machine; its work has moved. Many at once in one zone or region: see operations/lost-zone.md."})
	DeathReportRefuted = Define(Event{Number: 6007, Name: "this node denied its death", Level: zapcore.WarnLevel, Fields: []string{"incarnation"}, Action: "Others did not hear this node for a while: look for pauses of the process (6008), an overloaded machine or a bad link."})
	NodePaused         = Define(Event{Number: 6008, Name: "this node was paused", Level: zapcore.WarnLevel, Fields: []string{"seconds"}, Action: "The process did not run for this long: look for an overloaded or suspended machine."})
	PeerRefused        = Define(Event{Number: 6009, Name: "peer connection refused", Level: zapcore.WarnLevel, Fields: []string{"address", "error"}, Action: "Something without this fleet's name or certificate connected to the peer port: check its settings and certificate, or close the port to it."})
	AcceptFailed       = Define(Event{Number: 6010, Name: "accept failed", Level: zapcore.ErrorLevel, Fields: []string{"error"}, Action: "The machine lacks file descriptors or memory; raise the limit."})
	MessageNotSent     = Define(Event{Number: 6011, Name: "message not sent", Level: zapcore.ErrorLevel, Fields: []string{"member", "error"}, Action: "A message is too large or of a type that was not registered: report it as a fault of the program."})
)
