package sharing

import (
	"ringstream.example/ringstream/internal/core/grant"
	"ringstream.example/ringstream/internal/core/quarantine"
)

// message is the content of one datagram: a node's state in a lane, a dispatcher's reply, a report
// of engines that crashed while they served requests, or a request for such reports. Exactly one
// of the four is set; Lane belongs to State and Reply.
type message struct {
	Lane       grant.Lane
	State      *grant.State
	Reply      *grant.Reply
	Crashes    []quarantine.Crash
	AskCrashes bool
}
