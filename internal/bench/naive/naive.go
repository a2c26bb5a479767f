// Package naive is a simple reference system that ringstream is compared with. Engines are
// permanently divided among the nodes, each node has one first-in, first-out queue, and every
// request has the same priority. Jobs are kept in memory, and no failures are injected. Callers use
// function calls instead of HTTP, which saves a network hop and so favors this system.
package naive

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"ringstream.example/ringstream/internal/wait"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/bench/ledger"
	"ringstream.example/ringstream/internal/bench/workload"
	"ringstream.example/ringstream/internal/core/identity"
)

// Engine is an engine and the number of sequences that it runs at once.
type Engine struct {
	Engine backend.Engine
	Slots  int
}

// System is a set of naive nodes that share a set of engines.
type System struct {
	model  string
	queues []*queue
	ledger *ledger.Ledger
	tasks  sync.WaitGroup
}

// task is one request or item in a queue.
type task struct {
	name      string
	prompt    string
	maxTokens int
	token     func(at time.Time, text string)
	done      func(error)
}

// queue is the unbounded first-in, first-out queue of one node.
type queue struct {
	mutex    sync.Mutex
	nonEmpty *sync.Cond
	tasks    []task
	closed   bool
}

// New starts the nodes. Engine n belongs to node n modulo nodes. Close stops the nodes.
func New(nodes int, engines []Engine, model string, into *ledger.Ledger) *System {
	s := &System{model: model, ledger: into}
	for range nodes {
		created := &queue{}
		created.nonEmpty = sync.NewCond(&created.mutex)
		s.queues = append(s.queues, created)
	}
	for i, engine := range engines {
		for range engine.Slots {
			s.tasks.Go(func() { s.serve(s.queues[i%nodes], engine.Engine) })
		}
	}
	return s
}

// Close drops the queued tasks and waits for the running ones.
func (s *System) Close() {
	for _, queue := range s.queues {
		queue.mutex.Lock()
		queue.closed = true
		queue.tasks = nil
		queue.mutex.Unlock()
		queue.nonEmpty.Broadcast()
	}
	s.tasks.Wait()
}

func (q *queue) push(tasks ...task) {
	q.mutex.Lock()
	q.tasks = append(q.tasks, tasks...)
	q.mutex.Unlock()
	q.nonEmpty.Broadcast()
}

func (q *queue) pop() (task, bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for len(q.tasks) == 0 && !q.closed {
		q.nonEmpty.Wait()
	}
	if q.closed {
		return task{}, false
	}
	next := q.tasks[0]
	q.tasks = q.tasks[1:]
	return next, true
}

// serve runs tasks in one slot of an engine until the queue is closed.
func (s *System) serve(from *queue, engine backend.Engine) {
	const taskTimeout = 2 * time.Minute
	for {
		next, ok := from.pop()
		if !ok {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), taskTimeout)
		next.done(s.run(ctx, engine, next))
		cancel()
	}
}

func (s *System) run(ctx context.Context, engine backend.Engine, next task) error {
	stream, err := engine.Generate(ctx, backend.GenerateRequest{
		Attempt: identity.AttemptID("naive-" + next.name), Model: s.model, Prompt: next.prompt,
		MaxTokens: next.maxTokens, Priority: backend.PriorityBatch,
	})
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	for {
		token, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		next.token(time.Now(), token.Text)
	}
}

// Run sends a plan, and returns when all of it has ended or ctx is done. Keyed requests are sent
// once, because this system does not support idempotency keys.
func (s *System) Run(ctx context.Context, plan workload.Plan) time.Time {
	started := time.Now()
	var ended sync.WaitGroup
	ended.Go(func() {
		for _, job := range plan.Jobs {
			if !wait.Until(ctx, started.Add(job.At)) {
				return
			}
			ended.Go(func() { s.runJob(ctx, job) })
		}
	})
	for _, request := range plan.Requests {
		if request.Resend {
			continue
		}
		if !wait.Until(ctx, started.Add(request.At)) {
			break
		}
		ended.Go(func() { s.runRequest(ctx, request, started.Add(request.At)) })
	}
	ended.Wait()
	return started
}

func (s *System) runRequest(ctx context.Context, request workload.Request, scheduled time.Time) {
	record := ledger.Request{
		Name: request.Name, Class: request.Class, Tenant: request.Tenant, Prompt: request.Prompt,
		MaxTokens: request.MaxTokens, Node: request.Node, Scheduled: scheduled, Sent: time.Now(),
	}
	done := make(chan error, 1)
	var mutex sync.Mutex
	s.queues[request.Node%len(s.queues)].push(task{
		name: request.Name, prompt: request.Prompt, maxTokens: request.MaxTokens,
		token: func(at time.Time, text string) {
			mutex.Lock()
			defer mutex.Unlock()
			if record.FirstToken.IsZero() {
				record.FirstToken = at
			}
			record.TokenTimes = append(record.TokenTimes, at)
			record.Text += text
		},
		done: func(err error) { done <- err },
	})
	var err error
	select {
	case err = <-done:
	case <-ctx.Done():
		err = ctx.Err()
	}
	mutex.Lock()
	defer mutex.Unlock()
	record.End, record.Finished = ledger.EndCompleted, time.Now()
	if err != nil {
		record.End, record.Error = ledger.EndUnknown, err.Error()
	}
	s.ledger.AddRequest(record)
}

// runJob queues the items of a job on its node, and returns when all of them have ended or ctx is
// done.
func (s *System) runJob(ctx context.Context, planned workload.Job) {
	record := ledger.Job{
		Key: planned.Key, ID: planned.Key, Class: planned.Class, Tenant: planned.Tenant, Repeatable: planned.Repeatable,
		Submitted: time.Now(), Accepted: time.Now(), Deadline: time.Now().Add(planned.Deadline), State: "completed",
	}
	var mutex sync.Mutex
	var results []ledger.Result
	finished := make(chan struct{}, len(planned.Items))
	tasks := make([]task, len(planned.Items))
	for i, item := range planned.Items {
		record.Items = append(record.Items, ledger.Item(item))
		tasks[i] = task{
			name: item.Name, prompt: item.Prompt, maxTokens: item.MaxTokens,
			token: func(time.Time, string) {},
			done: func(err error) {
				result := ledger.Result{Index: i, Name: item.Name, Outcome: ledger.OutcomeCompleted}
				if err != nil {
					result.Outcome, result.Reason = "failed", fmt.Sprint(err)
				}
				mutex.Lock()
				results = append(results, result)
				mutex.Unlock()
				finished <- struct{}{}
			},
		}
	}
	s.queues[planned.Node%len(s.queues)].push(tasks...)
	for range tasks {
		select {
		case <-finished:
		case <-ctx.Done():
			s.recordJob(&mutex, &record, &results, false)
			return
		}
	}
	s.recordJob(&mutex, &record, &results, true)
}

func (s *System) recordJob(mutex *sync.Mutex, record *ledger.Job, results *[]ledger.Result, final bool) {
	mutex.Lock()
	defer mutex.Unlock()
	record.Finished = time.Now()
	record.Readings = []ledger.Reading{{At: record.Finished, Final: final, Results: append([]ledger.Result(nil), *results...)}}
	s.ledger.AddJob(*record)
}
