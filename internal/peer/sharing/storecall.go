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

// StoreCallKind says which call to the store a node asks a peer to make.
type StoreCallKind uint8

// The calls that are made for others.
const (
	StoreCommit StoreCallKind = iota + 1
	StoreList
	StoreFeed
	StorePut
	StoreGet
)

// StoreCall is a call to the platform's store that a peer makes for a node
// which the store turns away. Which fields count depends on the kind.
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
	Timeout     time.Duration           // that the asker waits
}

// StoreFault says how a call failed.
type StoreFault uint8

// The faults, each the twin of an error of package passthrough.
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

// FaultOf gives the fault that stands for an error; what is not known counts
// as an outcome that is not known.
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

// StoreAnswer is the store's answer as the peer got it.
type StoreAnswer struct {
	Fault    StoreFault
	Message  string // of the error behind Fault
	Commit   passthrough.CommitResult
	Snapshot passthrough.Snapshot
	Body     []byte // StoreGet
}

// Err gives the error behind the answer's fault.
func (a StoreAnswer) Err() error {
	if a.Fault == NoFault {
		return nil
	}
	return fmt.Errorf("%w: by way of a peer: %s", faultErrors[a.Fault], a.Message)
}

// Bounds of a call to the store that is made for another node.
const (
	storeCallTime  = 4 * time.Second
	storeCallBytes = 16 << 20
)

// CallStore has a peer make a call. Errors wrap ErrNothingDone when the peer
// provably did not get it, else ErrOutcomeUnknown; the store's own answer,
// faults too, is in the StoreAnswer.
func (s *Share) CallStore(ctx context.Context, peer string, call StoreCall) (StoreAnswer, error) {
	dialer := net.Dialer{Timeout: askTime}
	connection, err := dialer.DialContext(ctx, "tcp", peer)
	if err != nil {
		return StoreAnswer{}, fmt.Errorf("%w: %w", passthrough.ErrNothingDone, err)
	}
	defer connection.Close() //nolint:errcheck // the answer is read, or given up
	ended := context.AfterFunc(ctx, func() { _ = connection.SetDeadline(time.Now()) })
	defer ended()
	call.Timeout = storeCallTime
	if deadline, bounded := ctx.Deadline(); bounded {
		call.Timeout = min(call.Timeout, time.Until(deadline))
	}
	_ = connection.SetDeadline(time.Now().Add(call.Timeout))
	if err := gob.NewEncoder(connection).Encode(ask{Store: &call}); err != nil {
		return StoreAnswer{}, fmt.Errorf("%w: %w", passthrough.ErrOutcomeUnknown, err)
	}
	var answered answer
	if err := gob.NewDecoder(io.LimitReader(connection, storeCallBytes)).Decode(&answered); err != nil || answered.Store == nil {
		return StoreAnswer{}, fmt.Errorf("%w: %w", passthrough.ErrOutcomeUnknown, errors.Join(err, errNoAnswer))
	}
	return *answered.Store, nil
}

var errNoAnswer = errors.New("the peer gave no answer about the store")

// answerStore makes a call for another node.
func (s *Share) answerStore(connection net.Conn, call StoreCall) *StoreAnswer {
	timeout := min(max(call.Timeout, 0), storeCallTime)
	_ = connection.SetDeadline(time.Now().Add(timeout + answerTime))
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	made := s.local.CallStore(ctx, call)
	return &made
}
