package liveness

import "time"

// Kind says what a Message is.
type Kind uint8

// The kinds of messages.
const (
	Heartbeat Kind = iota + 1
	Question       // whether the receiver has heard a node
	Voucher        // the answer: it has
)

// Message is what nodes tell each other of who is alive.
type Message struct {
	Kind Kind
	From string        // the sender, by the id of its life
	Node string        // that a Question or a Voucher is about
	Ago  time.Duration // of a Voucher: since the node was heard
}
