package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"ringstream.example/ringstream/internal/wait"
)

// concentrationStream is the random stream of connections that go to one node.
const concentrationStream = 1 << 47

const (
	// concentratedShare is the share of the new connections that go to one node.
	concentratedShare = 0.9
	// concentrationAgreement is the time after which the share of requests that are served is judged.
	concentrationAgreement = 3 * time.Second
	// servedShareOfBefore is the least share of the requests that are served then, of that without
	// concentration, and minJudgedConcentrated the number of requests from which on it is judged.
	servedShareOfBefore   = 0.75
	minJudgedConcentrated = 40
)

// ConcentrationReport counts requests on new connections to undisturbed nodes, and those served.
type ConcentrationReport struct {
	Before       int `json:"before"`
	BeforeServed int `json:"before_served"`
	During       int `json:"during"` // at the node that most connections go to
	DuringServed int `json:"during_served"`
}

// injectConcentration has most new connections go to one node from time to time.
func (s *soak) injectConcentration(ctx context.Context) {
	kinds := []fault{{"connections_to_one", 1, (*soak).concentrate}}
	s.injectKinds(ctx, concentrationStream, kinds, 7*time.Second, 12*time.Second)
}

// concentrate has most new connections go to one node for some seconds.
func (s *soak) concentrate(ctx context.Context, random *rand.Rand) {
	node := s.anyNode(random)
	s.setConcentration(node)
	wait.For(ctx, concentrationAgreement+randomDuration(random, 2*time.Second, 4*time.Second))
	s.setConcentration(nil)
}

func (s *soak) setConcentration(node *nodeProcess) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.concentratedOn, s.concentratedAt = node, time.Now()
}

// pickNode returns the node for a request.
func (s *soak) pickNode(random *rand.Rand, newConnection bool) *nodeProcess {
	node, draw := s.anyNode(random), random.Float64()
	s.mu.Lock()
	defer s.mu.Unlock()
	if newConnection && s.concentratedOn != nil && draw < concentratedShare {
		return s.concentratedOn
	}
	return node
}

// judgeConcentration counts a request on a new connection.
func (s *soak) judgeConcentration(node *nodeProcess, record requestRecord, before condition, sent time.Time) {
	s.mu.Lock()
	on, at := s.concentratedOn, s.concentratedAt
	s.mu.Unlock()
	if !s.undisturbedThroughout(node, before, sent) || record.earlierBuild {
		return
	}
	s.judge.addConcentrated(record.reply.Status == http.StatusOK, on == nil, on == node && sent.Sub(at) > concentrationAgreement)
}

func (j *judge) addConcentrated(served, calm, concentrated bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	count := 0
	if served {
		count = 1
	}
	switch {
	case calm:
		j.concentration.Before++
		j.concentration.BeforeServed += count
	case concentrated:
		j.concentration.During++
		j.concentration.DuringServed += count
	}
}

// concludeConcentration judges the share of requests that a node serves while most connections go to it.
func (j *judge) concludeConcentration() {
	j.mu.Lock()
	defer j.mu.Unlock()
	report := j.concentration
	if report.During < minJudgedConcentrated || report.Before == 0 {
		return
	}
	before, during := float64(report.BeforeServed)/float64(report.Before), float64(report.DuringServed)/float64(report.During)
	if during < servedShareOfBefore*before {
		j.recordViolationLocked("one_node_takes_most_connections", "fleet", fmt.Sprintf("%.2f of %d requests served, %.2f of %d without", during, report.During, before, report.Before))
	}
}
