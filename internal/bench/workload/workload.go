// Package workload draws the arrivals of a scenario from a seed: what each
// caller sends and when, fixed before the run so that a slow answer delays no
// later request. The same scenario and seed give the same plan.
package workload

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"ringstream.example/ringstream/internal/bench/scenario"
)

// Request is one online request to be sent.
type Request struct {
	At        time.Duration
	Name      string // unique in the plan; also the nonce in the prompt
	Class     string
	Tenant    string
	Key       string // Idempotency-Key; empty: none
	Prompt    string
	MaxTokens int
	Node      int // the node that the caller speaks to
	// Resend marks the second send of a keyed request.
	Resend bool
}

// Job is one batch job to be submitted.
type Job struct {
	At          time.Duration
	Key         string
	Class       string
	Tenant      string
	Items       []Item
	Repeatable  bool
	Deadline    time.Duration // after the submission
	CancelAfter time.Duration // zero: never
	SubmitTwice bool
	Node        int
}

// Item is one line of a job.
type Item struct {
	Name      string
	Prompt    string
	MaxTokens int
}

// Plan is everything that callers send, in order of time.
type Plan struct {
	Requests []Request
	Jobs     []Job
}

// Make draws the plan of a scenario.
func Make(from scenario.Scenario, seed uint64) Plan {
	var plan Plan
	for _, stream := range from.Online {
		source := source(seed, "online/"+stream.Name)
		plan.Requests = append(plan.Requests, requests(source, from, stream)...)
	}
	for _, stream := range from.Batch {
		source := source(seed, "batch/"+stream.Name)
		plan.Jobs = append(plan.Jobs, jobs(source, from, stream)...)
	}
	slices.SortStableFunc(plan.Requests, func(a, b Request) int { return int(a.At - b.At) })
	slices.SortStableFunc(plan.Jobs, func(a, b Job) int { return int(a.At - b.At) })
	return plan
}

// WithoutBatch is the same plan with its online half only.
func (p Plan) WithoutBatch() Plan { return Plan{Requests: p.Requests} }

// source gives each stream its own randomness, so that a change of one stream
// leaves the arrivals of the others as they were.
func source(seed uint64, stream string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, hash(stream)))
}

func hash(text string) uint64 {
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(text)) // a hash never fails
	return digest.Sum64()
}

func requests(source *rand.Rand, from scenario.Scenario, stream scenario.Online) []Request {
	var all []Request
	peak := 1.0
	for _, burst := range stream.Bursts {
		peak = max(peak, burst.Factor)
	}
	at := time.Duration(0)
	for number := 0; ; number++ {
		// Thinning: draw at the peak rate, keep what the rate at that time allows.
		at += time.Duration(source.ExpFloat64() / (stream.PerSecond * peak) * float64(time.Second))
		if at >= from.Duration {
			return all
		}
		if source.Float64()*peak > factorAt(stream.Bursts, at) {
			continue
		}
		name := fmt.Sprintf("%s-%d", stream.Name, number)
		request := Request{
			At: at, Name: name, Class: stream.Name,
			Tenant:    stream.Tenants[source.IntN(len(stream.Tenants))],
			Prompt:    prompt(source, stream.Name, name, stream.Prompt, stream.Prefixes),
			MaxTokens: draw(source, stream.Answer),
			Node:      source.IntN(len(from.Zones)),
		}
		keyed := source.Float64() < stream.Keyed
		if keyed {
			request.Key = "key-" + name
		}
		all = append(all, request)
		if keyed {
			again := request
			again.At += stream.ResendAfter
			again.Node = (request.Node + 1) % len(from.Zones)
			again.Resend = true
			all = append(all, again)
		}
	}
}

func factorAt(bursts []scenario.Burst, at time.Duration) float64 {
	for _, burst := range bursts {
		if at >= burst.At && at < burst.At+burst.For {
			return burst.Factor
		}
	}
	return 1
}

func jobs(source *rand.Rand, from scenario.Scenario, stream scenario.Batch) []Job {
	var all []Job
	for heap, at := 0, stream.First; at < from.Duration; heap, at = heap+1, at+stream.Every {
		for number := range stream.Jobs {
			key := fmt.Sprintf("%s-%d-%d", stream.Name, heap, number)
			job := Job{
				At: at + time.Duration(source.IntN(100))*time.Millisecond, Key: key, Class: stream.Name,
				Tenant:     stream.Tenants[source.IntN(len(stream.Tenants))],
				Repeatable: stream.Repeatable, Deadline: stream.Deadline,
				SubmitTwice: source.Float64() < stream.Resent,
				Node:        source.IntN(len(from.Zones)),
			}
			if source.Float64() < stream.Cancelled {
				job.CancelAfter = stream.CancelAfter
			}
			for index := range stream.Items {
				name := fmt.Sprintf("%s-%d", key, index)
				job.Items = append(job.Items, Item{
					Name:      name,
					Prompt:    prompt(source, stream.Name, name, stream.Prompt, stream.Prefixes),
					MaxTokens: draw(source, stream.Answer),
				})
			}
			all = append(all, job)
		}
	}
	return all
}

// draw gives a log-normal length of at least one token.
func draw(source *rand.Rand, length scenario.Length) int {
	value := float64(length.Median) * math.Exp(source.NormFloat64()*length.Sigma)
	return max(1, min(length.Max, int(math.Round(value))))
}

// prompt makes a prompt of one four-byte word a token, as the engines count: a
// shared prefix, the unique name, and filler. The name lets the checker tell
// whose work an engine did.
func prompt(source *rand.Rand, class, name string, length scenario.Length, prefixes scenario.Prefixes) string {
	total := draw(source, length) * bytesPerToken
	var text strings.Builder
	if prefixes.Count > 0 {
		chosen := pick(source, prefixes)
		shared := rand.New(rand.NewPCG(uint64(chosen), hash(class)))
		for range min(prefixes.Tokens, total/bytesPerToken) {
			text.WriteString(word(shared))
		}
	}
	text.WriteString(Nonce(name) + " ")
	for text.Len() < total {
		text.WriteString(word(source))
	}
	return text.String()
}

// bytesPerToken is the length of a word with its space.
const bytesPerToken = 4

func word(source *rand.Rand) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	return string([]byte{letters[source.IntN(26)], letters[source.IntN(26)], letters[source.IntN(26)], ' '})
}

// pick draws a prefix by its weight.
func pick(source *rand.Rand, prefixes scenario.Prefixes) int {
	sum := 0.0
	for n := 1; n <= prefixes.Count; n++ {
		sum += math.Pow(float64(n), -prefixes.Skew)
	}
	left := source.Float64() * sum
	for n := 1; n < prefixes.Count; n++ {
		left -= math.Pow(float64(n), -prefixes.Skew)
		if left <= 0 {
			return n - 1
		}
	}
	return prefixes.Count - 1
}

// Nonce is the word of a prompt that is its own.
func Nonce(name string) string { return "#" + name }

// NameOf finds the name in a prompt that this package made; empty: none.
func NameOf(prompt string) string {
	_, rest, found := strings.Cut(prompt, "#")
	if !found {
		return ""
	}
	name, _, _ := strings.Cut(rest, " ")
	return name
}
