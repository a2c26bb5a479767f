package batch

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/quarantine"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/passthrough"
)

// Crashes of engines under contents lie in the table of jobs, which all nodes follow: a
// row a content and node, under the content's key, a slash and the node's life.

// crashRow is the value of such a row.
type crashRow struct {
	WrittenAt time.Duration `json:"written_at"` // by the store's clock
	Crashes   []crashEntry  `json:"crashes"`
}

type crashEntry struct {
	Engine  uint64        `json:"engine"` // hash of the id of its life
	Age     time.Duration `json:"age"`    // when written
	Excused bool          `json:"excused,omitempty"`
}

// crashesKept is how long such a row is kept.
const crashesKept = time.Hour

// errNoStoreClock: crashes are dated by the store's clock, which was not heard yet.
var errNoStoreClock = fmt.Errorf("%w: the store's clock is not known", passthrough.ErrNothingDone)

// KeepCrashes implements guard.Keeper.
func (s *Service) KeepCrashes(ctx context.Context, key string, crashes []quarantine.Crash) error {
	at, known := s.now()
	if !known {
		return errNoStoreClock
	}
	row := crashRow{WrittenAt: at}
	for _, crash := range crashes {
		row.Crashes = append(row.Crashes, crashEntry{Engine: crash.Engine, Age: crash.Age, Excused: crash.Excused})
	}
	value, err := json.Marshal(row)
	if err != nil {
		return err
	}
	_, err = s.commit(ctx, passthrough.Transaction{Put: []passthrough.Row{{Table: tableJobs, Part: partCrashes, Key: key, Value: value}}})
	return err
}

// seenCrashes is a row of crashes as it was last seen.
type seenCrashes struct {
	version   int64
	writtenAt time.Duration
	seenAt    time.Time
}

// applyCrashes takes a row of crashes; the caller holds mu.
func (v *view) applyCrashes(row passthrough.Row) {
	if row.Version <= v.crashes[row.Key].version {
		return
	}
	if row.Gone {
		delete(v.crashes, row.Key)
		return
	}
	text, _, _ := strings.Cut(row.Key, "/")
	content, err := quarantine.ParseDigest(text)
	var kept crashRow
	if err == nil {
		kept, err = decodeCrashes(row.Value)
	}
	if err != nil {
		events.JobRowUnreadable.Log(v.logger, zap.String("row", row.Key), zap.Error(err))
		return
	}
	v.crashes[row.Key] = seenCrashes{version: row.Version, writtenAt: kept.WrittenAt, seenAt: time.Now()}
	for _, entry := range kept.Crashes {
		v.unheard = append(v.unheard, heardCrash{
			crash:     quarantine.Crash{Content: content, Engine: entry.Engine, Age: entry.Age, Excused: entry.Excused},
			writtenAt: kept.WrittenAt,
		})
	}
}

// heardCrash is a crash from a row, which the guard has not been told of.
type heardCrash struct {
	crash     quarantine.Crash
	writtenAt time.Duration // by the store's clock
}

// learnCrashes tells the guard of the crashes in rows that came since.
func (s *Service) learnCrashes() {
	s.view.mu.Lock()
	heard := s.view.unheard
	s.view.unheard = nil
	s.view.mu.Unlock()
	if len(heard) == 0 {
		return
	}
	at, known := s.now()
	crashes := make([]quarantine.Crash, 0, len(heard))
	for _, told := range heard {
		if known {
			told.crash.Age += max(at-told.writtenAt, 0)
		}
		crashes = append(crashes, told.crash)
	}
	s.Guard.Learn(crashes)
}

// removeCrashes removes rows of crashes that are no longer needed.
func (s *Service) removeCrashes(ctx context.Context, now time.Duration, seen fleet) {
	var old []passthrough.Row
	s.view.mu.Lock()
	for key, known := range s.view.crashes {
		if now > known.writtenAt+crashesKept && time.Since(known.seenAt) > collectEvery && len(old) < removeRows {
			old = append(old, passthrough.Row{Table: tableJobs, Part: partCrashes, Key: key})
		}
	}
	s.view.mu.Unlock()
	if len(old) == 0 || seen.rank(partCrashes, s.Self) != 0 {
		return
	}
	_, _ = s.commit(ctx, passthrough.Transaction{Remove: old}) // tried again at the next round
}
