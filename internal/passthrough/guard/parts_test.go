package guard

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/quarantine"
	"ringstream.example/ringstream/internal/passthrough/catalog"
	"ringstream.example/ringstream/internal/passthrough/engineconn"
)

// newPartsService returns a service that knows engines e0, e1 and so on.
func newPartsService(engines int) *Service {
	list := catalog.NewEngines("n1", nil, nil, zap.NewNop())
	list.Use(func(set *enginechoice.Set, now time.Time) {
		for i := range engines {
			set.Upsert(enginechoice.Entry{ID: fmt.Sprint("e", i), Pool: "p"}, enginechoice.Ready, now)
		}
	})
	return New(quarantine.DefaultConfig(), Dependencies{Engines: list, Logger: zap.NewNop(), Metrics: NewMetrics(nil)})
}

// promptOf returns the identity of a request with a content of its own.
func promptOf(request string, parts ...string) quarantine.Identity {
	identity := quarantine.Identity{Content: quarantine.Content{Body: []byte(request)}.Digest()}
	for _, part := range parts {
		identity.Parts = append(identity.Parts, quarantine.Part{ID: part}.Digest())
	}
	return identity
}

func (s *Service) endUnder(engine int, identity quarantine.Identity) {
	s.recordEngineEnd(Run{Identity: identity, Engine: engineconn.Key{Engine: enginechoice.Incarnation{ID: fmt.Sprint("e", engine)}}})
}

func (s *Service) blocks(identity quarantine.Identity) bool {
	verdict, _ := s.Verdict(identity)
	return verdict.Blocked
}

// Guards against a part that crashes engines in requests of which no two are alike, and against the
// refusal of requests with the other parts, which complete in between.
func TestPartIsBlockedAndPartsThatCompleteAreNot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPartsService(4)
		var stopped []quarantine.Digest
		s.OnBlocked(func(digest quarantine.Digest) { stopped = append(stopped, digest) })
		for engine := range 4 {
			s.endUnder(engine, promptOf(fmt.Sprint("guilty", engine), "first", "bad"))
			s.endUnder(engine, promptOf(fmt.Sprint("beside", engine), "first", "other"))
			s.RecordSuccess("r", promptOf(fmt.Sprint("sound", engine), "first"))
			time.Sleep(200 * time.Millisecond)
		}
		s.RecordSuccess("r", promptOf("sound", "first", "other"))
		if !s.blocks(promptOf("new", "first", "bad")) {
			t.Error("a request with the part is not blocked")
		}
		if s.blocks(promptOf("new", "first", "other")) {
			t.Error("a request with the other parts is blocked")
		}
		if !slices.Contains(stopped, quarantine.Part{ID: "bad"}.Digest()) {
			t.Errorf("attempts of %v were stopped", stopped)
		}
	})
}

// Guards against the refusal of a part that many requests share when engines end together.
func TestPartOfAllRequestsOutlivesAWave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPartsService(12)
		for wave := range 3 {
			for engine := range 4 {
				s.endUnder(4*wave+engine, promptOf(fmt.Sprint(wave, engine), "first"))
			}
			if s.blocks(promptOf("new", "first")) {
				t.Fatalf("blocked after wave %d", wave)
			}
			time.Sleep(300 * time.Millisecond)
			s.RecordSuccess("r", promptOf("sound", "first"))
			time.Sleep(time.Second)
		}
	})
}

// A request that comes again and again is blocked by its content; its parts are not.
func TestRepeatedContentDoesNotBlockItsParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPartsService(5)
		for engine := range 5 {
			s.endUnder(engine, promptOf("same", "rare"))
			time.Sleep(200 * time.Millisecond)
		}
		if !s.blocks(promptOf("same", "rare")) || s.blocks(promptOf("another", "rare")) {
			t.Error("the content is not blocked, or its part is")
		}
	})
}

// A node that gets no requests with a part is told that it completes elsewhere.
func TestNodeLearnsThatAPartCompletesElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		here, there := newPartsService(4), newPartsService(4)
		var told []quarantine.Crash
		here.UseTransport(transportFunc(func(crashes []quarantine.Crash) { told = append(told, crashes...) }))
		for engine := range 4 {
			for _, s := range []*Service{here, there} {
				s.endUnder(engine, promptOf(fmt.Sprint(engine), "first"))
			}
			here.RecordSuccess("r", promptOf("sound", "first"))
			time.Sleep(200 * time.Millisecond)
		}
		if !there.blocks(promptOf("new", "first")) {
			t.Fatal("the test needs a node that blocks the part")
		}
		here.AddPeerCrashes("there", there.StartupReports())
		there.AddPeerCrashes("here", told)
		if there.blocks(promptOf("new", "first")) {
			t.Errorf("still blocked after %d crashes were told as excused", len(told))
		}
	})
}

// transportFunc is a Transport that hands on what is sent.
type transportFunc func(crashes []quarantine.Crash)

func (f transportFunc) SendCrashes(_ string, crashes []quarantine.Crash) { f(crashes) }

func (transportFunc) AskCrashes(string) {}

// Guards against the refusal of parts that only long runs have, when engines end in waves before any of
// these is complete.
func TestPartsOfLongRunsOutliveWaves(t *testing.T) {
	for _, wrote := range []time.Duration{0, quarantine.HarmlessAfter} {
		synctest.Test(t, func(t *testing.T) {
			s := newPartsService(24)
			for wave := range 4 {
				for engine := range 6 {
					identity := promptOf(fmt.Sprint(wave, engine), "first")
					if engine%2 == 0 {
						identity = promptOf(fmt.Sprint(wave, engine), "job")
					}
					s.recordEngineEnd(Run{Identity: identity, Wrote: wrote, Engine: engineconn.Key{Engine: enginechoice.Incarnation{ID: fmt.Sprint("e", 6*wave+engine)}}})
				}
				time.Sleep(3 * time.Second)
				if s.blocks(promptOf("new", "job")) {
					t.Errorf("wrote %v: blocked after wave %d", wrote, wave)
				}
			}
		})
	}
}
