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
	"ringstream.example/ringstream/platform/platformtest"
)

// restartStream is the random stream of engine restarts in place.
const restartStream = 1 << 44

// restartKinds lists the faults in which engines restart at the same address, under the same id or under a new
// one. They are drawn from their own stream, like those of seriesKinds.
func restartKinds() []fault {
	return []fault{{"engine_restarts_in_place", 1, (*soak).restartEngine}, {"engine_restarts_under_new_id", 1, (*soak).renameEngine}}
}

// injectRestarts injects engine restarts until the time is up, and returns when all of them have
// ended.
func (s *soak) injectRestarts(ctx context.Context) {
	s.injectKinds(ctx, restartStream, restartKinds(), 500*time.Millisecond, 2*time.Second)
}

// restartEngine ends an engine together with its runs. Its next incarnation listens at the same
// address at once, and is listed in the store some time later.
func (s *soak) restartEngine(ctx context.Context, random *rand.Rand) {
	s.recordFault()
	former := s.reserveEngine(random)
	if former == nil {
		return
	}
	next := s.startNextIncarnation(former, former.ID)
	wait.For(ctx, randomDuration(random, 0, 800*time.Millisecond))
	listed := time.Now()
	s.store.List(next.Engine, former.zone, "ready")
	s.judge.addRestart(next, listed)
	s.recordFault()
}

// renameEngine does the same with an incarnation that has an id of its own. The entry of the former one goes
// when the next one is listed.
func (s *soak) renameEngine(ctx context.Context, random *rand.Rand) {
	s.recordFault()
	former := s.reserveEngine(random)
	if former == nil {
		return
	}
	next := s.startNextIncarnation(former, s.nextEngineID())
	wait.For(ctx, randomDuration(random, 0, 800*time.Millisecond))
	s.store.Unlist(former.Engine)
	s.store.List(next.Engine, former.zone, "ready")
	s.recordFault()
}

func (s *soak) nextEngineID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastEngineNumber++
	return s.engineID(s.lastEngineNumber)
}

// startNextIncarnation replaces an engine by its next incarnation, which has the given id.
func (s *soak) startNextIncarnation(former *engineLink, id string) *engineLink {
	s.mu.Lock()
	defer s.mu.Unlock()
	former.CrashOn("", nil) // the next incarnation uses the same link
	former.CrashOnPart("", nil)
	next := &engineLink{link: former.link, zone: former.zone}
	next.Engine = former.Restart(time.Now().UnixMilli(), func(prepared *platformtest.Engine) {
		prepared.ID = id
		prepared.Pace(eventInterval)
		prepared.Frame(s.framing(uint64(len(s.engines))))
		s.setCrashes(prepared, next)
	})
	s.engines = append(s.engines, next)
	return next
}

// RestartsReport summarizes the engines that restarted under their ids.
type RestartsReport struct {
	Restarts int `json:"restarts"`
	// Used counts the new incarnations that a node chose. MedianWait is the median time from the
	// listing of an incarnation in the store until a node first chose it.
	Used       int           `json:"used"`
	MedianWait time.Duration `json:"median_wait_ns"`
	// Chosen counts the choices of engines. FormerChosen counts those of an incarnation that the
	// node knew to be superseded.
	Chosen       int `json:"chosen"`
	FormerChosen int `json:"former_chosen"`
}

// engineRestart is a restart of an engine that is listed in the store.
type engineRestart struct {
	incarnation string // name in the nodes' logs
	listed      time.Time
}

func (j *judge) addRestart(engine *engineLink, listed time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.restarts = append(j.restarts, engineRestart{incarnation: incarnationName(engine.ID, engine.StartedAtMs), listed: listed})
}

// concludeRestarts judges the choices of engines in the nodes' log files.
func (j *judge) concludeRestarts(logs []string) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.restartsReport = RestartsReport{Restarts: len(j.restarts)}
	for _, name := range logs {
		if err := j.judgeLogFile(name); err != nil {
			return err
		}
	}
	j.reportWaits()
	return nil
}

// reportWaits reports how soon new incarnations were chosen, after all logs are read. The caller
// holds mu.
func (j *judge) reportWaits() {
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

// judgeLogFile judges one node's log file. The caller holds mu.
func (j *judge) judgeLogFile(name string) error {
	log, err := os.Open(name)
	if err != nil {
		return err
	}
	defer log.Close() //nolint:errcheck // it is only read
	return j.judgeLog(log)
}

// logLine holds the fields that are read from a line of a node's log.
type logLine struct {
	Event   int       `json:"event"`
	At      time.Time `json:"ts"`
	Node    string    `json:"node"`
	Engine  string    `json:"engine"`
	Request string    `json:"request"`
}

// choiceSlack is how long before its log line a choice may have been made. Another goroutine may
// log the entry of the next incarnation in between.
const choiceSlack = 100 * time.Millisecond

// appliedIncarnation is the newest incarnation of an engine that a node knows, and when the node
// learned of it.
type appliedIncarnation struct {
	born      int64
	appliedAt time.Time
}

// judgeLog checks that a node does not choose an incarnation of an engine after it has applied the
// entry of a newer one. The caller holds mu.
func (j *judge) judgeLog(log io.Reader) error {
	applied := make(map[string]appliedIncarnation)
	lines := bufio.NewReader(log)
	for {
		text, err := lines.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return nil // a kill may cut the last line
		}
		if err != nil {
			return err
		}
		var line logLine
		if json.Unmarshal(text, &line) != nil {
			continue // the runtime writes other lines when a process crashes
		}
		j.judgeLogLine(line, applied)
	}
}

func (j *judge) judgeLogLine(line logLine, applied map[string]appliedIncarnation) {
	id, born := parseIncarnation(line.Engine)
	switch line.Event {
	case logevents.PassStarting.Number:
		clear(applied)
	case logevents.EngineSeen.Number:
		if born > applied[id].born {
			applied[id] = appliedIncarnation{born: born, appliedAt: line.At}
		}
	case logevents.EngineChosen.Number:
		j.restartsReport.Chosen++
		if first, found := j.firstChosen[line.Engine]; !found || line.At.Before(first) {
			j.firstChosen[line.Engine] = line.At
		}
		if known := applied[id]; born < known.born && line.At.Sub(known.appliedAt) > choiceSlack {
			j.restartsReport.FormerChosen++
			j.recordViolationLocked("former_incarnations_get_nothing", line.Request, fmt.Sprintf("%s: %s, %v after the entry of %d", line.Node, line.Engine, line.At.Sub(known.appliedAt), known.born))
		}
	}
}

// incarnationName returns the name of an incarnation in the logs.
func incarnationName(id string, born int64) string { return fmt.Sprintf("%s@%d", id, born) }

// parseIncarnation splits an engine's name in the logs into its id and the start time after the @.
func parseIncarnation(engine string) (id string, born int64) {
	id, start, _ := strings.Cut(engine, "@")
	born, err := strconv.ParseInt(start, 10, 64)
	if err != nil {
		return id, 0 // the name has no start time
	}
	return id, born
}
