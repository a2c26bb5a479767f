package sharing

import (
	"context"
	"errors"
	"net"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/grant"
	"ringstream.example/ringstream/internal/core/liveness"
	"ringstream.example/ringstream/internal/core/quarantine"
	"ringstream.example/ringstream/internal/events"
)

// datagramBytes is the longest datagram; what is longer is not sent.
const datagramBytes = 32 << 10

// SendState sends a node what this one has in a lane.
func (s *Share) SendState(to string, lane grant.Lane, state grant.State) {
	s.send(message{Lane: lane, State: &state}, to)
}

// SendReply sends a node this one's reply, as a lane's dispatcher.
func (s *Share) SendReply(to string, lane grant.Lane, reply grant.Reply) {
	s.send(message{Lane: lane, Reply: &reply}, to)
}

// SendCrashes tells a node which engines ended under which contents.
func (s *Share) SendCrashes(to string, crashes []quarantine.Crash) {
	s.send(message{Crashes: crashes}, to)
}

// AskCrashes asks a node for what SendCrashes tells.
func (s *Share) AskCrashes(to string) { s.send(message{AskCrashes: true}, to) }

// SendLiveness tells a node who is alive. It is a datagram of a type of its own: builds that do
// not know it go on reading the others.
func (s *Share) SendLiveness(to string, told liveness.Message) { s.post(s.alive.Write(told), to) }

// send sends a message about slots or crashes.
func (s *Share) send(told message, to string) { s.post(s.codec.Write(told), to) }

// post sends a datagram. What cannot be sent is as good as lost on the way: the
// receiver's next message, or its silence, makes it good.
func (s *Share) post(content []byte, to string) {
	datagrams := s.datagrams.Load()
	address, err := net.ResolveUDPAddr("udp", to)
	if datagrams == nil || err != nil {
		return
	}
	if len(content) > datagramBytes {
		events.PeerMessageTooLong.Log(s.logger, zap.String("peer", to), zap.Int("bytes", len(content)))
		return
	}
	_, _ = (*datagrams).WriteTo(content, address) // lost, see above
}

func (s *Share) listen(ctx context.Context, datagrams net.PacketConn) {
	buffer := make([]byte, datagramBytes)
	for ctx.Err() == nil {
		count, from, err := datagrams.ReadFrom(buffer)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // an error of an earlier send
		}
		if err := s.take(from.String(), buffer[:count]); err != nil {
			s.noteDropped(from.String(), err)
		}
	}
}

// take reads a datagram of either type.
func (s *Share) take(from string, datagram []byte) error {
	if alive, err := s.alive.Read(datagram); err == nil {
		s.watchers.HearLiveness(from, alive)
		return nil
	}
	told, err := s.codec.Read(datagram)
	if err != nil {
		return err
	}
	return s.hear(from, told)
}

// errUnknownMessage: a datagram that this program does not know.
var errUnknownMessage = errors.New("sharing: a message of an unknown kind")

// hear takes a message; one that is not known changes nothing.
func (s *Share) hear(from string, told message) error {
	switch {
	case len(told.Crashes) > 0:
		s.crashes.Hear(from, told.Crashes)
		return nil
	case told.AskCrashes:
		if known := s.crashes.Gravest(); len(known) > 0 {
			s.SendCrashes(from, known)
		}
		return nil
	case told.State != nil && told.Reply == nil:
		return s.slots.HearState(from, told.Lane, *told.State)
	case told.Reply != nil && told.State == nil:
		return s.slots.HearReply(from, told.Lane, *told.Reply)
	default:
		return errUnknownMessage
	}
}

// droppedEvery is the least pause between two log lines about dropped datagrams:
// while nodes of two versions run beside each other, all of some nodes' are.
const droppedEvery = time.Second

// noteDropped logs that a datagram was dropped, and how many since the last line.
func (s *Share) noteDropped(from string, err error) {
	s.dropped++
	if time.Since(s.droppedAt) < droppedEvery {
		return
	}
	events.PeerMessageDropped.Log(s.logger, zap.String("peer", from), zap.Int("messages", s.dropped), zap.Error(err))
	s.dropped, s.droppedAt = 0, time.Now()
}
