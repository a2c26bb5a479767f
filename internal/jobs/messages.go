package jobs

import (
	"context"
	"time"

	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/jobs/record"
	"ringstream.example/ringstream/internal/jobs/shard"
	"ringstream.example/ringstream/internal/peer"
)

// jobSubmitted informs the holder of a shard that a job was accepted for it.
type jobSubmitted struct{ Shard int }

// jobCancelled informs all nodes that a job's cancellation was committed.
type jobCancelled struct{ Job identity.JobID }

// forecastRequest asks the holder of a job when it expects to finish it.
type forecastRequest struct{ Job identity.JobID }

// forecastReply answers a forecastRequest. Finish is zero when there is no
// forecast.
type forecastReply struct{ Finish time.Time }

// Messages returns a prototype of each message that this package and the package
// shard send to peers.
func Messages() []any {
	return []any{jobSubmitted{}, jobCancelled{}, forecastRequest{}, forecastReply{}, shard.HandOverRequest{}, shard.Released{}}
}

func (m *Manager) handleMessages() {
	peer.Register(Messages()...)
	m.bus.Handle(jobSubmitted{}, func(_ identity.NodeID, message any) any {
		if submitted, ok := message.(jobSubmitted); ok {
			m.runner.Submitted(submitted.Shard)
		}
		return nil
	})
	m.bus.Handle(jobCancelled{}, func(_ identity.NodeID, message any) any {
		if cancelled, ok := message.(jobCancelled); ok {
			m.runner.Cancelled(cancelled.Job)
		}
		return nil
	})
	m.bus.Handle(forecastRequest{}, func(_ identity.NodeID, message any) any {
		request, ok := message.(forecastRequest)
		if !ok {
			return forecastReply{}
		}
		finish, _ := m.runner.ExpectedFinish(request.Job)
		return forecastReply{Finish: finish}
	})
}

// notifySubmitted makes the holder of the shard read its open jobs.
func (m *Manager) notifySubmitted(number int) {
	holder, found := m.holder(number)
	switch {
	case !found:
	case holder == m.bus.Self():
		m.runner.Submitted(number)
	default:
		_ = m.bus.Send(holder, jobSubmitted{Shard: number}) // a lost message delays the job until the next poll
	}
}

// broadcastCancelled stops the job on every node that runs it. The message is sent
// to all nodes even when the job runs on this one, because a former holder that
// does not know that its lease has expired may run it too. Without the message,
// such a holder continued for up to 5.9 s (fault tests in virtual time). If the
// message is lost, a holder learns of the cancellation at its next commit or poll.
func (m *Manager) broadcastCancelled(id identity.JobID) {
	m.runner.Cancelled(id)
	m.bus.Broadcast(jobCancelled{Job: id})
}

// expectedFinish requests the forecast from the job's holder. It returns the zero
// time when there is none.
func (m *Manager) expectedFinish(ctx context.Context, header *record.Job) time.Time {
	const forecastTimeout = 200 * time.Millisecond
	holder, found := m.holder(header.Shard)
	if !found {
		return time.Time{}
	}
	if holder == m.bus.Self() {
		finish, _ := m.runner.ExpectedFinish(header.ID)
		return finish
	}
	ctx, cancel := context.WithTimeout(ctx, forecastTimeout)
	defer cancel()
	reply, err := m.bus.Call(ctx, holder, forecastRequest{Job: header.ID})
	if err != nil {
		return time.Time{}
	}
	forecast, _ := reply.(forecastReply)
	return forecast.Finish
}
