package events

import "go.uber.org/zap/zapcore"

// Events of the client API: 2000 to 2999.
var (
	RequestEnded       = Define(Event{Number: 2003, Name: "request ended", Level: zapcore.DebugLevel, Fields: []string{"request", "tenant", "model", "outcome", "tokens", "elapsed"}})
	AnswerOutOfOrder   = Define(Event{Number: 2004, Name: "answer out of order", Level: zapcore.ErrorLevel, Fields: []string{"request", "expected", "offset"}, Action: "A token arrived at the wrong place and the request was failed rather than given a wrong answer. Report it with the engine's log."})
	ExpiredKeysDeleted = Define(Event{Number: 2010, Name: "expired idempotency keys deleted", Level: zapcore.DebugLevel, Fields: []string{"keys"}})
	ClaimSuperseded    = Define(Event{Number: 2011, Name: "idempotency claim taken over", Level: zapcore.WarnLevel, Fields: []string{"request", "tenant"}, Action: "Another node held this one for dead, or the run outlived its claim; the key's answer is the other node's. Frequent: look for pauses of this node."})
	ResultNotRecorded  = Define(Event{Number: 2012, Name: "keyed result not recorded", Level: zapcore.WarnLevel, Fields: []string{"request", "tenant", "error"}, Action: "The store did not take a finished answer; its caller was told to send the key again. Check the table service and the object store."})
	KeysRefused        = Define(Event{Number: 2013, Name: "keyed request refused", Level: zapcore.WarnLevel, Fields: []string{"request", "tenant", "error"}, Action: "The store could not be asked about an idempotency key. Requests without a key go on; check the table service."})
	ResultUnreadable   = Define(Event{Number: 2014, Name: "kept result unreadable", Level: zapcore.ErrorLevel, Fields: []string{"request", "error"}, Action: "The record or object of an idempotency key is damaged, or of a later version; look at what wrote it."})
	SiteRefused        = Define(Event{Number: 2020, Name: "other site not reached", Level: zapcore.WarnLevel, Fields: []string{"request", "error"}, Action: "The request provably did not run there; without a key it runs here. Check the other site, or raise the rows' new_site_share."})
	SiteLost           = Define(Event{Number: 2021, Name: "other site did not answer", Level: zapcore.WarnLevel, Fields: []string{"request", "error"}, Action: "The request may have run there, and its caller was told so. Check the other site and the way to it."})
)
