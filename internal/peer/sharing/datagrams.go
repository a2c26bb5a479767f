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
	"ringstream.example/ringstream/internal/core/streamorigin"
	"ringstream.example/ringstream/internal/events"
	released "ringstream.example/ringstream/internal/peer/sharing/released/grant"
)

// maxDatagramBytes is the size of the largest datagram. Larger ones are not sent.
const maxDatagramBytes = 32 << 10

// SendState sends this node's state in a lane to a node. A node that has not been heard in the
// current form gets it in both forms. It drops the form that it does not know, or else the second
// one, because the sequence is the same.
func (s *Share) SendState(to string, lane grant.Lane, state grant.State) {
	s.sendDatagram(s.messageCodec.Write(message{Lane: lane, State: &state}), to)
	if !s.upgraded.contains(to, time.Now()) {
		s.sendReleased(released.Message{Lane: lane, State: released.FromState(state)}, to)
	}
}

// SendReply sends this node's reply, as the dispatcher of a lane, to a node.
func (s *Share) SendReply(to string, lane grant.Lane, reply grant.Reply) {
	if s.upgraded.contains(to, time.Now()) {
		s.sendDatagram(s.messageCodec.Write(message{Lane: lane, Reply: &reply}), to)
		return
	}
	s.sendReleased(released.Message{Lane: lane, Reply: released.FromReply(reply)}, to)
}

// SendLimitUse sends a node what this node, as the dispatcher of a lane, has counted. Earlier builds
// drop it.
func (s *Share) SendLimitUse(to string, lane grant.Lane, use grant.LimitUse) {
	s.sendDatagram(s.messageCodec.Write(message{Lane: lane, LimitUse: &use}), to)
}

// SendCrashes sends a node the reports of engines that crashed on certain contents.
func (s *Share) SendCrashes(to string, crashes []quarantine.Crash) {
	s.sendReleased(released.Message{Crashes: crashes}, to)
}

// AskCrashes requests a node's crash reports, which it sends with SendCrashes.
func (s *Share) AskCrashes(to string) { s.sendReleased(released.Message{AskCrashes: true}, to) }

// SendLiveness sends a liveness message to a node. The datagram has a type of its own, so that
// builds that do not know it can still read the others.
func (s *Share) SendLiveness(to string, msg liveness.Message) {
	s.sendDatagram(s.livenessCodec.Write(msg), to)
}

// SendOrigins sends a node a message about the origins of streams. Like liveness messages, it has a
// type of its own, and earlier builds drop it.
func (s *Share) SendOrigins(to string, msg streamorigin.Message) {
	s.sendDatagram(s.originsCodec.Write(msg), to)
}

// SendAttachment sends a node a question or an answer about its attachment to a dispatcher. Like liveness
// messages, it has a type of its own, and earlier builds drop it.
func (s *Share) SendAttachment(to string, msg grant.AttachmentMessage) {
	s.sendDatagram(s.attachmentCodec.Write(msg), to)
}

// sendReleased sends a message in the form that earlier builds read.
func (s *Share) sendReleased(msg released.Message, to string) {
	s.sendDatagram(s.releasedCodec.Write(msg), to)
}

// sendDatagram sends a datagram. A datagram that cannot be sent is treated as lost in the network:
// the receiver's next message, or the lack of one, leads to recovery.
func (s *Share) sendDatagram(content []byte, to string) {
	datagrams := s.datagrams.Load()
	address, err := net.ResolveUDPAddr("udp", to)
	if datagrams == nil || err != nil {
		return
	}
	if len(content) > maxDatagramBytes {
		events.PeerMessageTooLong.Log(s.logger, zap.String("peer", to), zap.Int("bytes", len(content)))
		return
	}
	_, _ = (*datagrams).WriteTo(content, address) // an unsent datagram counts as lost, see above
}

// listen handles incoming datagrams until the socket closes.
func (s *Share) listen(ctx context.Context, datagrams net.PacketConn) {
	buffer := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		count, from, err := datagrams.ReadFrom(buffer)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // the error belongs to an earlier send
		}
		if err := s.handleDatagram(from.String(), buffer[:count]); err != nil {
			s.logDropped(from.String(), err)
		}
	}
}

// handleDatagram decodes a datagram, a message about liveness, origins, attachment, slots or crashes, and handles it.
func (s *Share) handleDatagram(from string, datagram []byte) error {
	if livenessMsg, err := s.livenessCodec.Read(datagram); err == nil {
		s.watchers.HandleLiveness(from, livenessMsg)
		return nil
	}
	if msg, err := s.messageCodec.Read(datagram); err == nil {
		s.upgraded.heard(from, time.Now())
		return s.handleMessage(from, msg)
	}
	if originsMsg, err := s.originsCodec.Read(datagram); err == nil {
		s.origins.HandleMessage(from, originsMsg)
		return nil
	}
	if attachmentMsg, err := s.attachmentCodec.Read(datagram); err == nil {
		return s.slots.HandleAttachment(from, attachmentMsg)
	}
	earlier, err := s.releasedCodec.Read(datagram)
	if err != nil {
		return err
	}
	return s.handleMessage(from, currentMessage(earlier))
}

// currentMessage returns the message that a released one stands for.
func currentMessage(earlier released.Message) message {
	msg := message{Lane: earlier.Lane, Crashes: earlier.Crashes, AskCrashes: earlier.AskCrashes}
	if earlier.State != nil {
		state := earlier.State.Current()
		msg.State = &state
	}
	if earlier.Reply != nil {
		reply := earlier.Reply.Current()
		msg.Reply = &reply
	}
	return msg
}

// errUnknownMessage is returned for a message of a kind that this program does not know.
var errUnknownMessage = errors.New("sharing: a message of an unknown kind")

// handleMessage handles a message. A message of an unknown kind changes nothing.
func (s *Share) handleMessage(from string, msg message) error {
	switch {
	case len(msg.Crashes) > 0:
		s.crashes.AddPeerCrashes(from, msg.Crashes)
		return nil
	case msg.AskCrashes:
		if crashes := s.crashes.StartupReports(); len(crashes) > 0 {
			s.SendCrashes(from, crashes)
		}
		return nil
	case msg.State != nil && msg.Reply == nil && msg.LimitUse == nil:
		return s.slots.HandleState(from, msg.Lane, *msg.State)
	case msg.Reply != nil && msg.State == nil && msg.LimitUse == nil:
		return s.slots.HandleReply(from, msg.Lane, *msg.Reply)
	case msg.LimitUse != nil && msg.State == nil && msg.Reply == nil:
		return s.slots.HandleLimitUse(from, msg.Lane, *msg.LimitUse)
	default:
		return errUnknownMessage
	}
}

// dropLogInterval is the minimum time between two log lines about dropped datagrams.
// While nodes of two versions run side by side, all datagrams of some nodes are dropped.
const dropLogInterval = time.Second

// logDropped counts a dropped datagram and logs the number dropped since the last log line, at most once per
// dropLogInterval.
func (s *Share) logDropped(from string, err error) {
	s.dropped++
	if time.Since(s.lastDropLog) < dropLogInterval {
		return
	}
	events.PeerMessageDropped.Log(s.logger, zap.String("peer", from), zap.Int("messages", s.dropped), zap.Error(err))
	s.dropped, s.lastDropLog = 0, time.Now()
}
