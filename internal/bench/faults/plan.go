package faults

import (
	"fmt"
	"math/rand/v2"
	"time"

	"ringstream.example/ringstream/internal/bench/workload"
)

// The load of a cell.
const (
	requestsStart   = 500 * time.Millisecond
	requestInterval = 400 * time.Millisecond
	requestCount    = 40
	keyedInterval   = 3 // one request in this many carries a key and is sent again
	resendAfter     = 1500 * time.Millisecond
	jobDeadline     = 10 * time.Minute
	editsStart      = time.Second
	editInterval    = 2 * time.Second
	editCount       = 8
	stopAt          = 4 * time.Second // time of the planned stop, for steps that need one
	stopDuration    = 5 * time.Second
)

// makePlan draws the online requests and the jobs of a cell. Each kind of job is submitted twice,
// so that steps are reached both early and late.
func makePlan(seed uint64) workload.Plan {
	source := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // seeded on purpose
	var plan workload.Plan
	for number := range requestCount {
		at := requestsStart + time.Duration(number)*requestInterval
		request := workload.Request{
			At: at, Name: fmt.Sprintf("request-%d", number), Tenant: tenants[0], Node: number % len(zones),
			MaxTokens: 20 + source.IntN(60),
		}
		request.Prompt = prompt(source, request.Name)
		if number%keyedInterval != 0 {
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

// prompt returns a prompt that contains the name, with 100 to 299 words of filler.
func prompt(source *rand.Rand, name string) string {
	text := workload.Nonce(name) + " "
	for range 100 + source.IntN(200) {
		text += "abc "
	}
	return text
}

// leavingPlan returns the requests of callers that may leave before the answer is complete.
func leavingPlan(seed uint64) workload.Plan {
	source := rand.New(rand.NewPCG(seed, 2)) //nolint:gosec // seeded on purpose
	var plan workload.Plan
	const longAnswer = 300
	for number := range requestCount / 2 {
		request := workload.Request{
			At:   requestsStart + time.Duration(number)*2*requestInterval,
			Name: fmt.Sprintf("leaving-%d", number), Tenant: tenants[0], Node: number % len(zones), MaxTokens: longAnswer,
		}
		request.Prompt = prompt(source, request.Name)
		plan.Requests = append(plan.Requests, request)
	}
	return plan
}
