// Package naive is the plain system that ringstream is compared with: engines
// are divided among the nodes for good, each node has one queue, first come
// first served, and every request has one priority. It keeps jobs in memory
// and has no failures to survive. Callers reach it by function calls, so that
// it saves the callers' HTTP hop, which is to its favour.
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

// Engine is one engine and the number of sequences that it runs at once.
type Engine struct {
	Engine backend.Engine
	Slots  int
}

// System is a number of naive nodes over one set of engines.
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

// queue is one node's: first come first served, without a bound.
type queue struct {
	mutex  sync.Mutex
	filled *sync.Cond
	tasks  []task
	closed bool
}

// New starts nodes over the engines: the nth engine belongs to node n modulo
// nodes. Close ends them.
func New(nodes int, engines []Engine, model string, into *ledger.Ledger) *System {
	s := &System{model: model, ledger: into}
	for range nodes {
		made := &queue{}
		made.filled = sync.NewCond(&made.mutex)
		s.queues = append(s.queues, made)
	}
	for i, engine := range engines {
		for range engine.Slots {
			s.tasks.Go(func() { s.serve(s.queues[i%nodes], engine.Engine) })
		}
	}
	return s
}

// Close ends the nodes once their queues are empty or dropped.
func (s *System) Close() {
	for _, queue := range s.queues {
		queue.mutex.Lock()
		queue.closed = true
		queue.tasks = nil
		queue.mutex.Unlock()
		queue.filled.Broadcast()
	}
	s.tasks.Wait()
}

func (q *queue) put(tasks ...task) {
	q.mutex.Lock()
	q.tasks = append(q.tasks, tasks...)
	q.mutex.Unlock()
	q.filled.Broadcast()
}

func (q *queue) take() (task, bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for len(q.tasks) == 0 && !q.closed {
		q.filled.Wait()
	}
	if q.closed {
		return task{}, false
	}
	next := q.tasks[0]
	q.tasks = q.tasks[1:]
	return next, true
}

// serve is one place on one engine.
func (s *System) serve(from *queue, engine backend.Engine) {
	const longest = 2 * time.Minute
	for {
		next, ok := from.take()
		if !ok {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), longest)
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

// Run sends a plan and returns when all of it has ended or ctx is done. Keyed
// requests are sent once: the naive version knows no keys.
func (s *System) Run(ctx context.Context, plan workload.Plan) time.Time {
	started := time.Now()
	var ended sync.WaitGroup
	ended.Go(func() {
		for _, job := range plan.Jobs {
			if !wait.Until(ctx, started.Add(job.At)) {
				return
			}
			ended.Go(func() { s.job(ctx, job) })
		}
	})
	for _, request := range plan.Requests {
		if request.Resend {
			continue
		}
		if !wait.Until(ctx, started.Add(request.At)) {
			break
		}
		ended.Go(func() { s.online(ctx, request, started.Add(request.At)) })
	}
	ended.Wait()
	return started
}

func (s *System) online(ctx context.Context, request workload.Request, scheduled time.Time) {
	record := ledger.Request{
		Name: request.Name, Class: request.Class, Tenant: request.Tenant, Prompt: request.Prompt,
		MaxTokens: request.MaxTokens, Node: request.Node, Scheduled: scheduled, Sent: time.Now(),
	}
	done := make(chan error, 1)
	var mutex sync.Mutex
	s.queues[request.Node%len(s.queues)].put(task{
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

// job puts a job's items into its node's queue, and ends when all are done.
func (s *System) job(ctx context.Context, planned workload.Job) {
	record := ledger.Job{
		Key: planned.Key, ID: planned.Key, Class: planned.Class, Tenant: planned.Tenant, Repeatable: planned.Repeatable,
		Submitted: time.Now(), Accepted: time.Now(), Deadline: time.Now().Add(planned.Deadline), State: "completed",
	}
	var mutex sync.Mutex
	var results []ledger.Result
	left := make(chan struct{}, len(planned.Items))
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
				left <- struct{}{}
			},
		}
	}
	s.queues[planned.Node%len(s.queues)].put(tasks...)
	for range tasks {
		select {
		case <-left:
		case <-ctx.Done():
			s.finish(&mutex, &record, &results, false)
			return
		}
	}
	s.finish(&mutex, &record, &results, true)
}

func (s *System) finish(mutex *sync.Mutex, record *ledger.Job, results *[]ledger.Result, final bool) {
	mutex.Lock()
	defer mutex.Unlock()
	record.Finished = time.Now()
	record.Readings = []ledger.Reading{{At: record.Finished, Final: final, Results: append([]ledger.Result(nil), *results...)}}
	s.ledger.AddJob(*record)
}
