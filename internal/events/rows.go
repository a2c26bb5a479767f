package events

import "go.uber.org/zap/zapcore"

// Events of the class table and of limits: 4000 to 4499.
var (
	RowsLoaded           = Define(Event{Number: 4001, Name: "rows loaded", Level: zapcore.InfoLevel, Fields: []string{"revision", "rows"}})
	RowsNotLoaded        = Define(Event{Number: 4002, Name: "rows not loaded", Level: zapcore.WarnLevel, Fields: []string{"error"}, Action: "No other node and not the table service could give the table; the node is not ready and tries again. Check the table service and the peer seeds."})
	RowEdit              = Define(Event{Number: 4003, Name: "row edit", Level: zapcore.InfoLevel, Fields: []string{"edit", "by", "row", "status", "revision"}})
	RowsPauseNoticed     = Define(Event{Number: 4004, Name: "rows pause noticed", Level: zapcore.WarnLevel, Fields: []string{"gap", "revision"}, Action: "The process stood still; it is not ready until it has caught up. When it recurs, look for an overcommitted machine."})
	RowsIsolated         = Define(Event{Number: 4005, Name: "rows isolated", Level: zapcore.WarnLevel, Fields: []string{"revision", "error"}, Action: "After a pause neither another node nor the table service answered; the node serves by the table it has. Check its network."})
	RowsDiverged         = Define(Event{Number: 4006, Name: "rows diverged", Level: zapcore.ErrorLevel, Fields: []string{"node", "revision"}, Action: "Two nodes hold different rows at one revision; both reload from the table service. Report it as a defect with both nodes' logs."})
	RowsStoreBehind      = Define(Event{Number: 4007, Name: "rows store behind", Level: zapcore.ErrorLevel, Fields: []string{"store", "node"}, Action: "The table service has an older table than the nodes, as after a restore from a backup. Edits are refused; export the rows from a node, then see docs/operations/rows.md."})
	RowsPollFailed       = Define(Event{Number: 4008, Name: "rows poll failed", Level: zapcore.WarnLevel, Fields: []string{"error"}, Action: "The table service cannot be read; changes still spread between the nodes, edits are refused. See docs/operations/store-outage.md."})
	RowsCompactionFailed = Define(Event{Number: 4009, Name: "rows compaction failed", Level: zapcore.WarnLevel, Fields: []string{"error"}, Action: "Old audit records stay longer. Only when it recurs for hours: check the table service."})
	LimitOwnerSilent     = Define(Event{Number: 4101, Name: "limit owner silent", Level: zapcore.InfoLevel, Fields: []string{"owner", "row"}})
)
