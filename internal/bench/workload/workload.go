// Package workload draws the arrivals of a scenario from a seed. The plan says what each caller
// sends and when, and is fixed before the run, so that a slow answer does not delay later requests.
// The same scenario and seed give the same plan.
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

// Request is one online request of a plan.
type Request struct {
	At        time.Duration
	Name      string // unique in the plan; also the nonce in the prompt
	Class     string
	Tenant    string
	Key       string // value of Idempotency-Key; empty: none
	Prompt    string
	MaxTokens int
	Node      int // the node that the caller connects to
	// Resend is true for the second send of a keyed request.
	Resend bool
}

// Job is one batch job of a plan.
type Job struct {
	At          time.Duration
	Key         string
	Class       string
	Tenant      string
	Items       []Item
	Repeatable  bool
	Deadline    time.Duration // relative to the submission
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

// Plan is everything that callers send, ordered by time.
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

// WithoutBatch returns the plan without its jobs.
func (p Plan) WithoutBatch() Plan { return Plan{Requests: p.Requests} }

// source returns a separate random source for each stream, so that changing one stream does not
// change the arrivals of the others.
func source(seed uint64, stream string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, hash(stream)))
}

func hash(text string) uint64 {
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(text)) // writing to a hash never fails
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
		// Thinning: arrivals are drawn at the peak rate, and kept with the share of the rate at
		// that time.
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
			MaxTokens: drawLength(source, stream.Answer),
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
	for batch, at := 0, stream.First; at < from.Duration; batch, at = batch+1, at+stream.Every {
		for number := range stream.Jobs {
			key := fmt.Sprintf("%s-%d-%d", stream.Name, batch, number)
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
					MaxTokens: drawLength(source, stream.Answer),
				})
			}
			all = append(all, job)
		}
	}
	return all
}

// drawLength draws a log-normal length of at least one token.
func drawLength(source *rand.Rand, length scenario.Length) int {
	value := float64(length.Median) * math.Exp(source.NormFloat64()*length.Sigma)
	return max(1, min(length.Max, int(math.Round(value))))
}

// prompt builds a prompt with one four-byte word per token, which is how the engines count tokens.
// It consists of a shared prefix, the unique name and filler. The name lets the checker identify
// the work of an engine.
func prompt(source *rand.Rand, class, name string, length scenario.Length, prefixes scenario.Prefixes) string {
	total := drawLength(source, length) * bytesPerToken
	var text strings.Builder
	if prefixes.Count > 0 {
		chosen := drawPrefix(source, prefixes)
		shared := rand.New(rand.NewPCG(uint64(chosen), hash(class)))
		for range min(prefixes.Tokens, total/bytesPerToken) {
			text.WriteString(drawWord(shared))
		}
	}
	text.WriteString(Nonce(name) + " ")
	for text.Len() < total {
		text.WriteString(drawWord(source))
	}
	return text.String()
}

// bytesPerToken is the length of a word including its space.
const bytesPerToken = 4

func drawWord(source *rand.Rand) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	return string([]byte{letters[source.IntN(26)], letters[source.IntN(26)], letters[source.IntN(26)], ' '})
}

// drawPrefix draws the index of a prefix according to the weights.
func drawPrefix(source *rand.Rand, prefixes scenario.Prefixes) int {
	sum := 0.0
	for n := 1; n <= prefixes.Count; n++ {
		sum += math.Pow(float64(n), -prefixes.Skew)
	}
	remaining := source.Float64() * sum
	for n := 1; n < prefixes.Count; n++ {
		remaining -= math.Pow(float64(n), -prefixes.Skew)
		if remaining <= 0 {
			return n - 1
		}
	}
	return prefixes.Count - 1
}

// Nonce returns the word that makes the prompt of a request or item unique.
func Nonce(name string) string { return "#" + name }

// NameOf returns the name in a prompt that this package built, or an empty string.
func NameOf(prompt string) string {
	_, rest, found := strings.Cut(prompt, "#")
	if !found {
		return ""
	}
	name, _, _ := strings.Cut(rest, " ")
	return name
}
