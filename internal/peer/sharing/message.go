package sharing

import (
	"ringstream.example/ringstream/internal/core/grant"
	"ringstream.example/ringstream/internal/core/quarantine"
)

// message is one datagram: what a node has in a lane, a dispatcher's reply, or engines
// that ended under requests. One of the three is given.
type message struct {
	Lane    grant.Lane
	State   *grant.State
	Reply   *grant.Reply
	Crashes []quarantine.Crash
}
