package liveness

import "time"

// Kind is the kind of a Message.
type Kind uint8

// The kinds of messages.
const (
	Heartbeat Kind = iota + 1
	Question       // asks whether the receiver has received a heartbeat of a node, or is the node
	Voucher        // answers that it has, or is
)

// Message is a message of failure detection between two nodes.
type Message struct {
	Kind Kind
	From string        // id of the sender's incarnation
	Node string        // the node that a Question or a Voucher is about
	Ago  time.Duration // in a Voucher: time since the node's last heartbeat
}
