package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	logevents "ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/wait"
)

// restartStream tells the draws of engines that start again in place from others.
const restartStream = 1 << 44

// restartKinds lists the troubles of engines that start again under the id that they had. Their
// draws are their own, as those of seriesKinds.
func restartKinds() []fault {
	return []fault{{"engine_restarts_in_place", 1, (*soak).restartEngine}}
}

// strikeWithRestarts strikes until the time is up, and returns when all is over.
func (s *soak) strikeWithRestarts(ctx context.Context) {
	s.strikeBeside(ctx, restartStream, restartKinds(), 500*time.Millisecond, 2*time.Second)
}

// restartEngine ends an engine under what it runs. Its next incarnation listens at the same address
// at once, and is told in the store some time later.
func (s *soak) restartEngine(ctx context.Context, random *rand.Rand) {
	s.strike()
	former := s.takeEngine(random)
	if former == nil {
		return
	}
	next := s.adopt(former)
	wait.For(ctx, between(random, 0, 800*time.Millisecond))
	listed := time.Now()
	s.store.List(next.Engine, former.zone, "ready")
	s.judge.restarted(next, listed)
	s.strike()
}

// adopt has the next incarnation of an engine in its place.
func (s *soak) adopt(former *engineLink) *engineLink {
	s.mu.Lock()
	defer s.mu.Unlock()
	former.EndUnder("", nil) // its link is the next one's
	next := &engineLink{Engine: former.Restart(time.Now().UnixMilli()), link: former.link, zone: former.zone}
	next.Pace(pace)
	next.EndUnder(deadlyBody, func() { s.engineEnded(next) })
	s.engines = append(s.engines, next)
	return next
}

// RestartsReport is what came of engines that started again under their ids.
type RestartsReport struct {
	Restarts int `json:"restarts"`
	// Used counts the new incarnations that a node chose, and MedianWait is the time from the entry
	// that told of one to the first choice of it.
	Used       int           `json:"used"`
	MedianWait time.Duration `json:"median_wait_ns"`
	// Chosen counts choices of engines, and Former those of an incarnation that the node knew to be over.
	Chosen int `json:"chosen"`
	Former int `json:"former_chosen"`
}

// restart is one that the store has told of.
type restart struct {
	incarnation string // as the nodes' logs name it
	listed      time.Time
}

func (j *judge) restarted(engine *engineLink, listed time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.restarts = append(j.restarts, restart{incarnation: nameOfIncarnation(engine.ID, engine.Born), listed: listed})
}

// concludeRestarts judges by the nodes' logs, which are files of those names.
func (j *judge) concludeRestarts(logs []string) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.restartsReport = RestartsReport{Restarts: len(j.restarts)}
	for _, name := range logs {
		if err := j.judgeChoicesIn(name); err != nil {
			return err
		}
	}
	j.sumWaits()
	return nil
}

// sumWaits reports how soon new incarnations were chosen, once all logs are read; the caller holds mu.
func (j *judge) sumWaits() {
	var waits []time.Duration
	for _, known := range j.restarts {
		if chosen, found := j.firstChosen[known.incarnation]; found {
			waits = append(waits, max(chosen.Sub(known.listed), 0))
		}
	}
	slices.Sort(waits)
	if j.restartsReport.Used = len(waits); len(waits) > 0 {
		j.restartsReport.MedianWait = waits[len(waits)/2]
	}
}

// judgeChoicesIn reads one node's log; the caller holds mu.
func (j *judge) judgeChoicesIn(name string) error {
	log, err := os.Open(name)
	if err != nil {
		return err
	}
	defer log.Close() //nolint:errcheck // it is only read
	return j.judgeChoices(log)
}

// logLine is what is read of a line of a node's log.
type logLine struct {
	Event   int       `json:"event"`
	At      time.Time `json:"ts"`
	Node    string    `json:"node"`
	Engine  string    `json:"engine"`
	Request string    `json:"request"`
}

// choiceSlack is how long before its line a choice may have been made: the line of an entry that
// comes between is written by another goroutine.
const choiceSlack = 100 * time.Millisecond

// incarnationTaken is the newest incarnation of an engine that a node knows, and since when.
type incarnationTaken struct {
	born int64
	at   time.Time
}

// judgeChoices asks that no node chooses an incarnation of an engine once it has taken the entry of
// the next one; the caller holds mu.
func (j *judge) judgeChoices(log io.Reader) error {
	taken := make(map[string]incarnationTaken)
	lines := bufio.NewReader(log)
	for {
		text, err := lines.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return nil // a last line without an end was cut by a kill
		}
		if err != nil {
			return err
		}
		var line logLine
		if json.Unmarshal(text, &line) != nil {
			continue // what the runtime writes as a process ends is no line of the log
		}
		j.judgeLine(line, taken)
	}
}

func (j *judge) judgeLine(line logLine, taken map[string]incarnationTaken) {
	id, born := incarnationIn(line.Engine)
	switch line.Event {
	case logevents.PassStarting.Number:
		clear(taken)
	case logevents.EngineSeen.Number:
		if born > taken[id].born {
			taken[id] = incarnationTaken{born: born, at: line.At}
		}
	case logevents.EngineChosen.Number:
		j.restartsReport.Chosen++
		if first, found := j.firstChosen[line.Engine]; !found || line.At.Before(first) {
			j.firstChosen[line.Engine] = line.At
		}
		if known := taken[id]; born < known.born && line.At.Sub(known.at) > choiceSlack {
			j.restartsReport.Former++
			j.violateLocked("former_incarnations_get_nothing", line.Request, fmt.Sprintf("%s: %s, %v after the entry of %d", line.Node, line.Engine, line.At.Sub(known.at), known.born))
		}
	}
}

// nameOfIncarnation names an engine as incarnationIn reads it.
func nameOfIncarnation(id string, born int64) string { return fmt.Sprintf("%s@%d", id, born) }

// incarnationIn reads an engine as the log names it: its id, and its start behind an @.
func incarnationIn(engine string) (id string, born int64) {
	id, start, _ := strings.Cut(engine, "@")
	born, err := strconv.ParseInt(start, 10, 64)
	if err != nil {
		return id, 0 // no start is told
	}
	return id, born
}
