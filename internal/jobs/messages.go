package jobs

import (
	"context"
	"time"

	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/jobs/record"
	"ringstream.example/ringstream/internal/jobs/shard"
	"ringstream.example/ringstream/internal/peer"
)

// jobSubmitted tells the holder of a shard that a job was accepted.
type jobSubmitted struct{ Shard int }

// jobCancelled tells the holder of a job that its cancellation was committed.
type jobCancelled struct{ Job identity.JobID }

// forecastRequest asks the holder of a job when it expects to finish it.
type forecastRequest struct{ Job identity.JobID }

// forecastReply answers a forecastRequest; a zero time says nothing.
type forecastReply struct{ Finish time.Time }

// Messages gives a prototype of each message that this package sends to peers.
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

// tellSubmitted wakes the holder of the job's shard; a lost word costs one poll.
func (m *Manager) tellSubmitted(number int) {
	holder, found := m.holder(number)
	switch {
	case !found:
	case holder == m.bus.Self():
		m.runner.Submitted(number)
	default:
		_ = m.bus.Send(holder, jobSubmitted{Shard: number}) // a lost word costs one poll
	}
}

// tellCancelled stops the job wherever it runs. The word is flooded, also when
// the job runs here: a former holder that does not know that its lease has
// lapsed runs it too, and worked on for up to 5.9 s (fault cells, virtual
// time). If the word is lost, a holder learns of it at its next commit or poll.
func (m *Manager) tellCancelled(id identity.JobID) {
	m.runner.Cancelled(id)
	m.bus.Flood(jobCancelled{Job: id})
}

// expectedFinish asks the job's holder for its forecast; zero when there is none.
func (m *Manager) expectedFinish(ctx context.Context, header *record.Job) time.Time {
	const patience = 200 * time.Millisecond
	holder, found := m.holder(header.Shard)
	if !found {
		return time.Time{}
	}
	if holder == m.bus.Self() {
		finish, _ := m.runner.ExpectedFinish(header.ID)
		return finish
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	reply, err := m.bus.Call(ctx, holder, forecastRequest{Job: header.ID})
	if err != nil {
		return time.Time{}
	}
	forecast, _ := reply.(forecastReply)
	return forecast.Finish
}
