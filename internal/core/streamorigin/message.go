package streamorigin

// Message is the content of one datagram between nodes. Exactly one field is set.
type Message struct {
	Records  []Record
	Question *Question
	Answer   *Answer
}

// Question asks a node for what it knows of a stream.
type Question struct {
	ID   uint64 // chosen by the node that asks
	Key  Key
	Pool string
}

// Answer answers a Question.
type Answer struct {
	ID       uint64 // Question.ID
	Key      Key    // Question.Key
	Evidence Evidence
}
