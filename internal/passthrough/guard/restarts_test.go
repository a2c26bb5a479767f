package guard

import (
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/quarantine"
	"ringstream.example/ringstream/internal/passthrough/catalog"
	"ringstream.example/ringstream/internal/passthrough/engineconn"
)

// TestRunThatBrokeLongBeforeARestartCountsForNothing breaks runs at engines that still listen. A
// run that broke just before its engine is known to have restarted counts once as a crash. A run
// from long before, a run at another incarnation and a run at a leaving engine do not count.
func crashesOf(s *Service, content quarantine.Digest) int {
	verdict, _ := s.Verdict(quarantine.Identity{Content: content})
	return verdict.Crashes
}

func TestRunThatBrokeLongBeforeARestartCountsForNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		former, next := enginechoice.Incarnation{ID: "e0", Born: 1000}, enginechoice.Incarnation{ID: "e0", Born: 2000}
		leaving := enginechoice.Incarnation{ID: "e1", Born: 1000}
		engines := catalog.NewEngines("n1", nil, nil, zap.NewNop())
		engines.Use(func(set *enginechoice.Set, now time.Time) {
			set.Upsert(enginechoice.Entry{ID: "e0", Born: former.Born, Pool: "p"}, enginechoice.Ready, now)
			set.Upsert(enginechoice.Entry{ID: "e1", Born: leaving.Born, Pool: "p"}, enginechoice.Leaving, now)
		})
		s := New(quarantine.DefaultConfig(), Dependencies{Engines: engines, Logger: zap.NewNop(), Metrics: NewMetrics(nil)})
		addRun := func(body string, engine enginechoice.Incarnation) quarantine.Digest {
			content := quarantine.Content{Host: "h", Body: []byte(body)}.Digest()
			s.addBrokenRun(Run{Request: body, Identity: quarantine.Identity{Content: content}, Engine: engineconn.Key{Engine: engine}})
			return content
		}
		early := addRun("early", former)
		time.Sleep(restartDetectionWindow + time.Millisecond)
		late, elsewhere, planned := addRun("late", former), addRun("elsewhere", next), addRun("planned", leaving)
		time.Sleep(restartDetectionWindow / 2)
		engines.Use(func(set *enginechoice.Set, now time.Time) {
			set.Upsert(enginechoice.Entry{ID: "e0", Born: next.Born, Pool: "p"}, enginechoice.Ready, now)
			set.Upsert(enginechoice.Entry{ID: "e1", Born: next.Born, Pool: "p"}, enginechoice.Ready, now)
		})
		for range 2 {
			s.Restarted(former)
			s.Restarted(leaving)
		}
		for name, test := range map[string]struct {
			content quarantine.Digest
			want    int
		}{"early": {early, 0}, "late": {late, 1}, "elsewhere": {elsewhere, 0}, "planned": {planned, 0}} {
			if got := crashesOf(s, test.content); got != test.want {
				t.Errorf("%s: %d crashes recorded, want %d", name, got, test.want)
			}
		}
	})
}
