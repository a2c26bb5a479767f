package jobs

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"ringstream.example/ringstream/internal/emulator"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/jobs/record"
	_ "ringstream.example/ringstream/internal/seedtest" // the same values at every run
)

func TestPreemptedItemsResumeFromTheirTokens(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, nil)
		defer c.close()
		job := c.submit(c.nodes[0], "k", 64, true)
		advance(500 * time.Millisecond)
		c.engines.preempt()
		ended := c.await(c.nodes[0], job.ID, time.Minute)
		c.checkResults(c.nodes[0], ended, "k")
		again, kept := 0, 0
		for _, sent := range c.engines.order[32:] {
			if sent.keptTokens > 0 {
				again++
				kept += sent.keptTokens
			}
		}
		if again != 32 || kept < 32*8 || len(c.engines.order) != 64+32 {
			t.Errorf("%d of 32 preempted items resumed from %d tokens, in %d attempts", again, kept, len(c.engines.order))
		}
	})
}

func TestAJobThatWillBeLateIsForecastAndWarnedOfOnce(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, nil)
		defer c.close()
		late := submission("late", 1000, true) // a second each on 32 slots: over 31 s
		late.Deadline = time.Now().Add(20 * time.Second)
		inTime := submission("in-time", 64, true)
		inTime.Deadline = time.Now().Add(time.Hour)
		job, _, err := c.nodes[0].Submit(t.Context(), late)
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := c.nodes[0].Submit(t.Context(), inTime); err != nil {
			t.Fatal(err)
		}
		advance(10500 * time.Millisecond)
		for _, node := range c.nodes {
			seen, err := node.Get(t.Context(), tenant, job.ID)
			finish := seen.ExpectedFinish.Sub(job.CreatedAt)
			t.Logf("expected after %s", finish)
			if err != nil || finish < 28*time.Second || finish > 45*time.Second {
				t.Errorf("expected to finish after %s: %+v, %v", finish, seen, err)
			}
		}
		c.await(c.nodes[0], job.ID, time.Minute)
		warnings := c.logs.FilterMessage(events.JobAtRisk.Name).All()
		if len(warnings) != 1 || warnings[0].ContextMap()["job"] != string(job.ID) {
			t.Errorf("warnings: %v", warnings)
		}
	})
}

// TestALostAnswerOfAnyCommitIsSettled loses the answer to one of the first commits
// in each subtest: claims, renewals, the acceptance, intents, outcomes and the end
// of the job.
func TestALostAnswerOfAnyCommitIsSettled(t *testing.T) {
	t.Parallel()
	for lost := range int32(14) {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 1, func(config *Config) { config.CommitInterval = 100 * time.Millisecond })
				defer c.close()
				c.engines.addFree(-20) // 12 slots remain for 80 items
				var commits atomic.Int32
				c.fleet.Table.Faults.SetHook(func(call emulator.Call) {
					if call.Operation == "commit" && call.Phase == emulator.BeforeEffect && commits.Add(1) == lost+1 {
						c.fleet.Table.Faults.Change(func(f *emulator.FaultSettings) { f.LoseAnswers, f.Operations = 1, []string{"commit"} })
					}
				})
				once := c.submit(c.nodes[0], "once", 40, false)
				repeated := c.submit(c.nodes[0], "again", 40, true)
				for key, job := range map[string]Job{"once": once, "again": repeated} {
					ended := c.await(c.nodes[0], job.ID, time.Minute)
					c.checkResults(c.nodes[0], ended, key)
					c.checkSentOnce(key, 40)
					if ended.Completed != 40 {
						t.Errorf("ended job %s: %+v", key, ended)
					}
				}
				if commits.Load() <= lost {
					t.Fatalf("only %d commits, so no answer was lost", commits.Load())
				}
			})
		})
	}
}

func TestSegmentsOfARange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		header := record.Job{Segments: rapid.SliceOfN(rapid.IntRange(1, 5), 1, 6).Draw(t, "sizes")}
		from := rapid.IntRange(0, header.Total()).Draw(t, "from")
		to := rapid.IntRange(from, header.Total()).Draw(t, "to")
		low, high, first := segmentsOf(&header, from, to)
		start := 0
		for number, items := range header.Segments {
			wanted := max(start, from) < min(start+items, to)
			if got := number >= low && number < high; got != wanted {
				t.Fatalf("segment %d of %v for %d to %d: %v, want %v", number, header.Segments, from, to, got, wanted)
			}
			if number == low && wanted && first != start {
				t.Fatalf("the first item is %d, want %d", first, start)
			}
			start += items
		}
	})
}
