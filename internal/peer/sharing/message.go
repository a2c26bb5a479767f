package sharing

import (
	"ringstream.example/ringstream/internal/core/grant"
	"ringstream.example/ringstream/internal/core/quarantine"
)

// message is one datagram: what a node has in a lane, a dispatcher's reply, engines that
// ended under requests, or the question for those. One of the four is given.
type message struct {
	Lane       grant.Lane
	State      *grant.State
	Reply      *grant.Reply
	Crashes    []quarantine.Crash
	AskCrashes bool
}
