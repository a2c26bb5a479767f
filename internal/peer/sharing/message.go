package sharing

import (
	"ringstream.example/ringstream/internal/core/grant"
	"ringstream.example/ringstream/internal/core/quarantine"
)

// message is the content of one datagram: a node's state in a lane, a dispatcher's reply, what a
// dispatcher has counted against the tenants' limits, a report of engines that crashed while they
// served requests, or a request for such reports. Exactly one of them is set; Lane belongs to the
// first three. Crashes and AskCrashes are sent in the released form, which all builds read.
type message struct {
	Lane       grant.Lane
	State      *grant.State
	Reply      *grant.Reply
	LimitUse   *grant.LimitUse
	Crashes    []quarantine.Crash
	AskCrashes bool
}
