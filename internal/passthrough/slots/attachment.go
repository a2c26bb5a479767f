package slots

import (
	"errors"
	"time"

	"ringstream.example/ringstream/internal/core/grant"
)

// outgoingAttachment is a question or an answer about the attachment of a node.
type outgoingAttachment struct {
	to      string
	message grant.AttachmentMessage
}

// errEmptyAttachment says that a message about an attachment holds neither a question nor an answer.
var errEmptyAttachment = errors.New("slots: a message about an attachment without a question or an answer")

// HandleAttachment handles a dispatcher's question whether this node is attached to it, or a node's
// answer to such a question.
func (s *Service) HandleAttachment(from string, message grant.AttachmentMessage) error {
	if err := checkLane(message.Lane); err != nil {
		return err
	}
	if (message.Question == nil) == (message.Answer == nil) {
		return errEmptyAttachment
	}
	s.watch.Check()
	now := time.Now()
	var out outbox
	s.mu.Lock()
	if message.Question != nil {
		out.attachments = append(out.attachments, outgoingAttachment{to: from, message: s.answerAttachment(from, message.Lane, *message.Question, now)})
	} else {
		s.applyAttachment(from, message.Lane, *message.Answer, now, &out)
	}
	s.mu.Unlock()
	s.deliver(out)
	return nil
}

// answerAttachment returns this node's answer. A node without requests in the lane is not attached. The
// caller holds mu.
func (s *Service) answerAttachment(from string, lane grant.Lane, question grant.AttachmentQuestion, now time.Time) grant.AttachmentMessage {
	answer := grant.AttachmentAnswer{Life: s.lifeHash, Asked: question.Asked}
	if requester := s.requesters[lane]; requester != nil {
		answer = requester.AnswerAttachment(from, question, now)
	}
	return grant.AttachmentMessage{Lane: lane, Answer: &answer}
}

// applyAttachment passes a node's answer to the lane's dispatcher, if this node has one. The caller holds
// mu.
func (s *Service) applyAttachment(from string, lane grant.Lane, answer grant.AttachmentAnswer, now time.Time, out *outbox) {
	if dispatcher := s.dispatchers[lane]; dispatcher != nil {
		dispatcher.ApplyAttachment(from, answer, now)
		s.collectReplies(lane, dispatcher, now, out)
	}
}

// collectAttachmentQuestions collects the questions of a dispatcher that are due. This node answers its
// own at once. The caller holds mu.
func (s *Service) collectAttachmentQuestions(lane grant.Lane, dispatcher *laneDispatcher, now time.Time, out *outbox) {
	nodes, question := dispatcher.AttachmentQuestions(now)
	for _, to := range nodes {
		if to == s.Self {
			s.applyAttachment(s.Self, lane, *s.answerAttachment(s.Self, lane, question, now).Answer, now, out)
			continue
		}
		out.attachments = append(out.attachments, outgoingAttachment{to: to, message: grant.AttachmentMessage{Lane: lane, Question: &question}})
	}
}
