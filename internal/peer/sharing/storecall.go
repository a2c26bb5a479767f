package sharing

import (
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"ringstream.example/ringstream/internal/passthrough"
)

// StoreCallKind is the kind of call to the store that a node asks a peer to make.
type StoreCallKind uint8

// The calls to the store that a node makes for others.
const (
	StoreCommit StoreCallKind = iota + 1
	StoreList
	StoreFeed
	StorePut
	StoreGet
)

// StoreCall is a call to the platform's store that a peer makes for a node
// which the store refuses. The kind determines which fields are used.
type StoreCall struct {
	Kind        StoreCallKind
	Transaction passthrough.Transaction // StoreCommit
	Table, Part string                  // StoreList; StoreFeed: the table
	From, To    string                  // StoreList
	Limit       int                     // StoreList
	Since       int64                   // StoreFeed
	Wait        time.Duration           // StoreFeed: how long the store may hold the call
	Object      string                  // StorePut, StoreGet
	Body        []byte                  // StorePut
	Timeout     time.Duration           // how long the requesting node waits
}

// StoreFault is the way in which a call to the store failed.
type StoreFault uint8

// The faults. Each stands for an error of package passthrough.
const (
	NoFault StoreFault = iota
	FaultNothingDone
	FaultOutcomeUnknown
	FaultHistoryGone
	FaultNotFound
	FaultFull
)

var faultErrors = map[StoreFault]error{
	FaultNothingDone:    passthrough.ErrNothingDone,
	FaultOutcomeUnknown: passthrough.ErrOutcomeUnknown,
	FaultHistoryGone:    passthrough.ErrHistoryGone,
	FaultNotFound:       passthrough.ErrNotFound,
	FaultFull:           errors.Join(passthrough.ErrNothingDone, passthrough.ErrFull),
}

// FaultOf returns the fault that stands for an error: FaultOutcomeUnknown for an
// error that it does not recognize.
func FaultOf(err error) StoreFault {
	switch {
	case err == nil:
		return NoFault
	case errors.Is(err, passthrough.ErrFull):
		return FaultFull
	case errors.Is(err, passthrough.ErrHistoryGone):
		return FaultHistoryGone
	case errors.Is(err, passthrough.ErrNotFound):
		return FaultNotFound
	case errors.Is(err, passthrough.ErrNothingDone):
		return FaultNothingDone
	default:
		return FaultOutcomeUnknown
	}
}

// StoreAnswer is the store's answer as the peer received it.
type StoreAnswer struct {
	Fault    StoreFault
	Message  string // of the error behind Fault
	Commit   passthrough.CommitResult
	Snapshot passthrough.Snapshot
	Body     []byte // StoreGet
}

// Err returns the error that the answer's fault stands for, or nil.
func (a StoreAnswer) Err() error {
	if a.Fault == NoFault {
		return nil
	}
	return fmt.Errorf("%w: by way of a peer: %s", faultErrors[a.Fault], a.Message)
}

// Limits of a call to the store that is made for another node.
const (
	maxStoreCallTimeout = 4 * time.Second
	maxStoreCallBytes   = 16 << 20
)

// CallStore asks a peer to make a call to the store. Errors wrap ErrNothingDone if
// the peer provably did not receive the call, else ErrOutcomeUnknown. The store's own
// answer, including its faults, is in the StoreAnswer.
func (s *Share) CallStore(ctx context.Context, peer string, call StoreCall) (StoreAnswer, error) {
	dialer := net.Dialer{Timeout: askTimeout}
	connection, err := dialer.DialContext(ctx, "tcp", peer)
	if err != nil {
		return StoreAnswer{}, fmt.Errorf("%w: %w", passthrough.ErrNothingDone, err)
	}
	defer connection.Close() //nolint:errcheck // the answer has been read or has failed
	stopAbort := context.AfterFunc(ctx, func() { _ = connection.SetDeadline(time.Now()) })
	defer stopAbort()
	call.Timeout = maxStoreCallTimeout
	if deadline, hasDeadline := ctx.Deadline(); hasDeadline {
		call.Timeout = min(call.Timeout, time.Until(deadline))
	}
	_ = connection.SetDeadline(time.Now().Add(call.Timeout))
	if err := gob.NewEncoder(connection).Encode(ask{Store: &call}); err != nil {
		return StoreAnswer{}, fmt.Errorf("%w: %w", passthrough.ErrOutcomeUnknown, err)
	}
	var response answer
	if err := gob.NewDecoder(io.LimitReader(connection, maxStoreCallBytes)).Decode(&response); err != nil || response.Store == nil {
		return StoreAnswer{}, fmt.Errorf("%w: %w", passthrough.ErrOutcomeUnknown, errors.Join(err, errNoStoreAnswer))
	}
	return *response.Store, nil
}

var errNoStoreAnswer = errors.New("the peer gave no answer about the store")

// serveStoreCall makes a call to the store for another node and returns the answer.
func (s *Share) serveStoreCall(connection net.Conn, call StoreCall) *StoreAnswer {
	timeout := min(max(call.Timeout, 0), maxStoreCallTimeout)
	_ = connection.SetDeadline(time.Now().Add(timeout + answerTimeout))
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	result := s.local.CallStore(ctx, call)
	return &result
}
