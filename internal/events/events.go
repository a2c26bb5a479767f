// Package events is the catalogue of numbered log events. Each kind of event
// has its own number; docs/events.md is generated from the catalogue.
//
// Ranges: 1000 node and settings, 2000 gateway, 3000 dispatch, 4000 rows and
// admin, 5000 jobs, 6000 peer and membership, 7000 platform and store, 8000 pass-through.
package events

import (
	"fmt"
	"slices"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Event describes one kind of log line.
type Event struct {
	Number int
	Name   string
	Level  zapcore.Level
	// Fields names the fields that a line of this kind carries.
	Fields []string
	// Action tells operators how to respond; it is required at level Warn and above.
	Action string
}

var catalogue = map[int]Event{}

// Define adds an event to the catalogue. It is called at package initialization
// only, and panics if the number is already in use.
func Define(event Event) Event {
	if earlier, taken := catalogue[event.Number]; taken {
		panic(fmt.Sprintf("event %d is both %s and %s", event.Number, earlier.Name, event.Name))
	}
	catalogue[event.Number] = event
	return event
}

// Catalogue returns all events in ascending order of their numbers.
func Catalogue() []Event {
	all := make([]Event, 0, len(catalogue))
	for _, event := range catalogue {
		all = append(all, event)
	}
	slices.SortFunc(all, func(a, b Event) int { return a.Number - b.Number })
	return all
}

// Log writes one line of the event if the logger has its level enabled.
func (e Event) Log(logger *zap.Logger, fields ...zap.Field) {
	if entry := logger.Check(e.Level, e.Name); entry != nil {
		entry.Write(append(fields, zap.Int("event", e.Number))...)
	}
}
