package faults

import (
	"fmt"
	"math/rand/v2"
	"time"

	"ringstream.example/ringstream/internal/bench/workload"
)

// The callers' work of a cell.
const (
	requestsFrom  = 500 * time.Millisecond
	requestsEvery = 400 * time.Millisecond
	requests      = 40
	keyedEvery    = 3 // one request in so many carries a key and is sent again
	resendAfter   = 1500 * time.Millisecond
	jobDeadline   = 10 * time.Minute
	editsFrom     = time.Second
	editsEvery    = 2 * time.Second
	edits         = 8
	stopAt        = 4 * time.Second // of the planned stop, where a step needs one
	stopLasts     = 5 * time.Second
)

// makePlan draws the online requests and the jobs of a cell: each kind of job
// is submitted twice, so that steps come up early and late.
func makePlan(seed uint64) workload.Plan {
	source := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // seeded on purpose
	var plan workload.Plan
	for number := range requests {
		at := requestsFrom + time.Duration(number)*requestsEvery
		request := workload.Request{
			At: at, Name: fmt.Sprintf("request-%d", number), Tenant: tenants[0], Node: number % len(zones),
			MaxTokens: 20 + source.IntN(60),
		}
		request.Prompt = prompt(source, request.Name)
		if number%keyedEvery != 0 {
			plan.Requests = append(plan.Requests, request)
			continue
		}
		request.Key = "key-" + request.Name
		again := request
		again.At, again.Node, again.Resend = at+resendAfter, (request.Node+1)%len(zones), true
		plan.Requests = append(plan.Requests, request, again)
	}
	sortRequests(plan.Requests)
	for round, at := range []time.Duration{time.Second, 8 * time.Second} {
		plan.Jobs = append(plan.Jobs,
			makeJob(source, workload.Job{At: at, Key: fmt.Sprintf("repeat-%d", round), Repeatable: true, SubmitTwice: true}, 20, 60),
			makeJob(source, workload.Job{At: at + 200*time.Millisecond, Key: fmt.Sprintf("once-%d", round)}, 12, 60),
			makeJob(source, workload.Job{
				At: at + 400*time.Millisecond, Key: fmt.Sprintf("cancelled-%d", round), Repeatable: true, CancelAfter: 1500 * time.Millisecond,
			}, 30, 200),
		)
	}
	return plan
}

func makeJob(source *rand.Rand, job workload.Job, items, tokens int) workload.Job {
	job.Tenant, job.Deadline, job.Node = tenants[1], jobDeadline, source.IntN(len(zones))
	for index := range items {
		name := fmt.Sprintf("%s-%d", job.Key, index)
		job.Items = append(job.Items, workload.Item{
			Name: name, Prompt: prompt(source, name), MaxTokens: tokens/2 + source.IntN(tokens),
		})
	}
	return job
}

// prompt names the work and fills up to some hundred tokens.
func prompt(source *rand.Rand, name string) string {
	text := workload.Nonce(name) + " "
	for range 100 + source.IntN(200) {
		text += "abc "
	}
	return text
}

// leavingPlan is the work of callers that may go away in the middle of it.
func leavingPlan(seed uint64) workload.Plan {
	source := rand.New(rand.NewPCG(seed, 2)) //nolint:gosec // seeded on purpose
	var plan workload.Plan
	const longAnswer = 300
	for number := range requests / 2 {
		request := workload.Request{
			At:   requestsFrom + time.Duration(number)*2*requestsEvery,
			Name: fmt.Sprintf("leaving-%d", number), Tenant: tenants[0], Node: number % len(zones), MaxTokens: longAnswer,
		}
		request.Prompt = prompt(source, request.Name)
		plan.Requests = append(plan.Requests, request)
	}
	return plan
}
