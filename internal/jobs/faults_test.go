package jobs

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"ringstream.example/ringstream/internal/apierror"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/membership"
	"ringstream.example/ringstream/internal/core/outcome"
	"ringstream.example/ringstream/internal/emulator"
	"ringstream.example/ringstream/internal/jobs/record"
	"ringstream.example/ringstream/internal/jobs/shard"
	"ringstream.example/ringstream/internal/peer/peertest"
)

// checkSentOnce checks that no item of a job was sent to an engine twice.
func (c *cluster) checkSentOnce(key string, items int) {
	c.t.Helper()
	for i := range items {
		if count := c.engines.sent(fmt.Sprintf("prompt %s %d", key, i)); count > 1 {
			c.t.Errorf("item %d, which must not be repeated, was sent %d times", i, count)
		}
	}
}

func TestItemsThatMustNotBeRepeatedAreJoinedAfterAKill(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, nil)
		defer c.close()
		job := c.submit(c.nodes[0], "k", 200, false)
		settle(2500 * time.Millisecond)
		victim := c.holderOf(shardOf(job, c.config))
		c.kill(victim)
		settle(5 * time.Second)
		c.network.SetState(victim.id, membership.Dead)
		own := c.nodes[0]
		if own == victim {
			own = c.nodes[1]
		}
		ended := c.await(own, job.ID, 2*time.Minute)
		c.checkResults(own, ended, "k")
		c.checkSentOnce("k", 200)
		if ended.Completed != 200 {
			t.Errorf("%+v", ended)
		}
	})
}

func TestItemsThatMustNotBeRepeatedEndUnknownWhenTheirEngineIsGone(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, nil)
		defer c.close()
		job := c.submit(c.nodes[0], "k", 100, false)
		settle(2500 * time.Millisecond)
		victim := c.holderOf(shardOf(job, c.config))
		c.kill(victim)
		c.engines.mu.Lock()
		c.engines.forget = true
		c.engines.mu.Unlock()
		settle(5 * time.Second)
		c.network.SetState(victim.id, membership.Dead)
		settle(time.Second)
		own := c.nodes[0]
		if own == victim {
			own = c.nodes[1]
		}
		settle(20 * time.Second)
		c.engines.mu.Lock()
		c.engines.forget = false
		c.engines.mu.Unlock()
		ended := c.await(own, job.ID, 5*time.Minute)
		c.checkSentOnce("k", 100)
		if ended.Unknown == 0 || ended.Completed+ended.Unknown != 100 {
			t.Errorf("%+v", ended)
		}
		for _, result := range c.checkResults(own, ended, "k") {
			if result.Outcome == outcome.Unknown.String() && result.Reason == "" {
				t.Errorf("no reason: %+v", result)
			}
		}
	})
}

func TestAPlannedStopLosesNoItemThatMustNotBeRepeated(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, nil)
		defer c.close()
		job := c.submit(c.nodes[0], "k", 200, false)
		settle(2500 * time.Millisecond)
		leaver := c.holderOf(shardOf(job, c.config))
		leaver.cancel()
		settle(time.Second)
		if heir := c.holderOf(shardOf(job, c.config)); heir == nil || heir == leaver {
			t.Fatal("the shard has not moved")
		}
		<-leaver.done
		c.network.SetState(leaver.id, membership.Dead)
		own := c.holderOf(shardOf(job, c.config))
		ended := c.await(own, job.ID, 2*time.Minute)
		c.checkResults(own, ended, "k")
		c.checkSentOnce("k", 200)
		if ended.Completed != 200 {
			t.Errorf("%+v", ended)
		}
	})
}

func TestAnHourWithoutTheTableService(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, func(config *Config) { config.HeldResultBytes = 40_000 })
		defer c.close()
		job := c.submit(c.nodes[0], "k", 800, true)
		settle(3 * time.Second)
		holder := c.holderOf(shardOf(job, c.config))
		before, err := holder.Get(t.Context(), tenant, job.ID)
		if err != nil {
			t.Fatal(err)
		}
		c.fleet.Table.Faults.Change(func(f *emulator.FaultSettings) { f.Outage = true })
		settle(30 * time.Minute)
		sent := len(c.engines.order)
		if sent <= before.Completed+32 || sent >= 400 {
			t.Errorf("%d items were sent while results were held; %d before", sent, before.Completed)
		}
		start := time.Now()
		_, _, err = c.nodes[1].Submit(t.Context(), submission("new", 3, true))
		var failure *apierror.Error
		if !errors.As(err, &failure) || failure.Run != outcome.Refused || failure.Code != apierror.CodeStoreDown || failure.RetryAfter == 0 {
			t.Errorf("a new job during the outage: %v", err)
		}
		if waited := time.Since(start); waited > 5*time.Second {
			t.Errorf("the refusal took %s", waited)
		}
		settle(30 * time.Minute)
		calls := c.fleet.Table.Faults.Calls()["commit"]
		c.fleet.Table.Faults.Change(func(f *emulator.FaultSettings) { f.Outage = false })
		settle(20 * time.Second)
		if after := c.fleet.Table.Faults.Calls()["commit"] - calls; after > 3*60 {
			t.Errorf("%d transactions in the 20 s after the outage", after)
		}
		if c.holderOf(shardOf(job, c.config)) != holder {
			t.Error("the shard moved although its holder lived")
		}
		ended := c.await(c.nodes[1], job.ID, 5*time.Minute)
		c.checkResults(c.nodes[1], ended, "k")
		if len(c.engines.order) != 800 {
			t.Errorf("%d attempts of 800 items: work was thrown away", len(c.engines.order))
		}
	})
}

func TestTheObjectStoreDownDelaysResultsAndLosesNone(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, nil)
		defer c.close()
		job := c.submit(c.nodes[0], "k", 300, true)
		settle(2500 * time.Millisecond)
		c.fleet.Objects.Faults.Change(func(f *emulator.FaultSettings) { f.Outage = true })
		settle(5 * time.Minute)
		_, _, err := c.nodes[0].Submit(t.Context(), submission("new", 3, true))
		var failure *apierror.Error
		if !errors.As(err, &failure) || failure.Run != outcome.Refused {
			t.Errorf("a new job during the outage: %v", err)
		}
		c.fleet.Objects.Faults.Change(func(f *emulator.FaultSettings) { f.Outage = false })
		ended := c.await(c.nodes[1], job.ID, time.Minute)
		c.checkResults(c.nodes[1], ended, "k")
		if len(c.engines.order) != 300 {
			t.Errorf("%d attempts of 300 items", len(c.engines.order))
		}
	})
}

// TestJobsSurviveStormsOfFaults runs jobs of both kinds through refused calls,
// lost answers, kills and pauses, drawn by seed.
func TestJobsSurviveStormsOfFaults(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { storm(t, seed) })
		})
	}
}

func storm(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	c := newCluster(t, 4, func(config *Config) { config.SegmentItems = 50 })
	defer c.close()
	c.engines.add(-8)
	jobs := map[string]Job{}
	for i := range 4 {
		key := fmt.Sprintf("k%d", i)
		jobs[key] = c.submit(c.nodes[i], key, 120, i%2 == 0)
	}
	for _, faults := range []*emulator.Faults{c.fleet.Table.Faults, c.fleet.Objects.Faults} {
		faults.Change(func(f *emulator.FaultSettings) { f.ErrorRate, f.JitterMillis = 0.1, 30 })
	}
	for step := range 10 {
		settle(time.Duration(500+random.IntN(1500)) * time.Millisecond)
		c.fleet.Table.Faults.Change(func(f *emulator.FaultSettings) { f.LoseAnswers += random.IntN(4) })
		own := c.nodes[random.IntN(len(c.nodes))]
		switch {
		case step == 3:
			c.kill(own)
			go func() {
				settle(4 * time.Second)
				c.network.SetState(own.id, membership.Dead)
			}()
		case random.IntN(2) == 0:
			go c.pause(own, time.Duration(random.IntN(15))*time.Second)
		}
	}
	settle(30 * time.Second)
	var alive *testNode
	for _, own := range c.nodes {
		if own.gate.get() == running {
			alive = own
		}
	}
	for key, job := range jobs {
		ended := c.await(alive, job.ID, 10*time.Minute)
		for _, result := range c.checkResults(alive, ended, key) {
			if result.Outcome != outcome.Completed.String() && (key == "k0" || key == "k2") {
				t.Errorf("%s: %+v", key, result)
			}
		}
		if key == "k1" || key == "k3" {
			c.checkSentOnce(key, 120)
		}
	}
}

// pause stops a node's process for a while; others come to think it dead.
func (c *cluster) pause(own *testNode, length time.Duration) {
	if own.gate.get() != running {
		return
	}
	own.gate.set(paused)
	c.network.SetPaused(own.id, true)
	const detected = 4 * time.Second
	if length > detected {
		settle(detected)
		c.network.SetState(own.id, membership.Dead)
		length -= detected
	}
	settle(length)
	if own.gate.get() == dead {
		return
	}
	own.gate.set(running)
	c.network.SetPaused(own.id, false)
	c.network.SetState(own.id, membership.Alive)
}

func TestEndedJobsAndOrphansAreCollected(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, func(config *Config) {
			config.Retention, config.OrphanGrace, config.UploadTimeout = time.Hour, 30*time.Minute, 10*time.Minute
		})
		defer c.close()
		kept := c.await(c.nodes[0], c.submit(c.nodes[0], "old", 20, true).ID, time.Minute)
		orphan := record.InputObject(identity.JobID("00VHNCZCYGTP2RB2HDVG8KP0G9"), 0)
		if err := c.clients.Objects.Put(t.Context(), orphan, []byte("x")); err != nil {
			t.Fatal(err)
		}
		settle(55 * time.Minute)
		c.checkResults(c.nodes[1], kept, "old")
		if _, found := c.fleet.Objects.Object(orphan); found {
			t.Error("the orphan is still there")
		}
		settle(30 * time.Minute)
		if _, err := c.nodes[0].Get(t.Context(), tenant, kept.ID); codeOf(err) != apierror.CodeNotFound {
			t.Errorf("the expired job: %v", err)
		}
		for _, name := range c.fleet.Objects.Names("batch/") {
			t.Errorf("object left: %s", name)
		}
		for _, left := range c.fleet.Table.Records("batch/") {
			if strings.Contains(left.Key, string(kept.ID)) || strings.HasPrefix(left.Key, "batch/key/") {
				t.Errorf("record left: %s", left.Key)
			}
		}
		if job, existed, err := c.nodes[0].Submit(t.Context(), submission("old", 20, true)); err != nil || existed || job.ID == kept.ID {
			t.Errorf("the key after its job's removal: %+v, %v, %v", job, existed, err)
		}
	})
}

// TestAPausedHoldersCompletionsAreRefusedByTheLeaseAlone leaves the heir without
// capacity, so that it writes nothing: only the lease's compare is in the way.
func TestAPausedHoldersCompletionsAreRefusedByTheLeaseAlone(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, nil)
		defer c.close()
		job := c.submit(c.nodes[0], "k", 300, true)
		settle(3500 * time.Millisecond)
		sleeper := c.holderOf(shardOf(job, c.config))
		sleeper.gate.stall("renew-", true)
		sleeper.gate.stall("items-", true)
		c.network.SetPaused(sleeper.id, true)
		settle(2 * time.Second) // the items under way end; their outcomes wait behind the pause
		c.engines.add(-1000)
		c.network.SetState(sleeper.id, membership.Dead)
		settle(10 * time.Second)
		heir := c.otherThan(sleeper)
		if c.holderOf(shardOf(job, c.config)) == nil || len(heir.Shards()) != c.config.Shards {
			t.Fatal("the shard has not moved")
		}
		before, err := heir.Get(t.Context(), tenant, job.ID)
		if err != nil {
			t.Fatal(err)
		}
		sleeper.gate.stall("items-", false)
		settle(20 * time.Second)
		after, err := heir.Get(t.Context(), tenant, job.ID)
		if err != nil || after.Completed != before.Completed {
			t.Errorf("the woken holder committed: %+v, before %+v, %v", after, before, err)
		}
		c.engines.add(1000)
		sleeper.gate.stall("renew-", false)
		c.checkResults(heir, c.await(heir, job.ID, time.Minute), "k")
	})
}

// A node came back after 15 s in which nothing that it sent had arrived. It did not know yet that its
// shard had gone to another node, so that both worked on one job. The cancel came to the new holder,
// which stopped its own work and told nobody, since the job ran there: the former holder's engines
// worked on for 2.5 to 5.9 s, until it learned that its lease had lapsed (2 of 360 runs with such a fault).
func TestACancelAtTheHolderStopsTheFormerHolderToo(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, nil)
		defer c.close()
		job := c.submit(c.nodes[0], "k", 400, true)
		settle(1500 * time.Millisecond)
		number := shardOf(job, c.config)
		holder := c.holderOf(number)
		former := c.otherThan(holder)
		former.gate.stall("items-", true) // it would learn of the other lease by its first commit
		defer former.gate.stall("items-", false)
		var reads atomic.Int32
		c.fleet.Table.Faults.SetHook(func(call emulator.Call) {
			if call.Operation == "list" && call.Phase == emulator.BeforeEffect && strings.HasPrefix(call.Subject, record.SegmentsPrefix(job.ID)) {
				reads.Add(1)
			}
		})
		former.runner.Acquired([]shard.Fence{{Shard: number}})
		c.engines.add(32)
		settle(500 * time.Millisecond)
		if reads.Load() == 0 || c.engines.active() == 0 {
			t.Fatalf("%d reads: the former holder has not taken up the job", reads.Load())
		}
		if _, err := holder.Cancel(t.Context(), tenant, job.ID); err != nil {
			t.Fatal(err)
		}
		settle(500 * time.Millisecond)
		if active := c.engines.active(); active != 0 {
			t.Errorf("%d attempts run half a second after the cancellation", active)
		}
	})
}

// TestCompletionsAfterACancelAreRefusedByTheHeaderAlone loses every word of the
// cancellation between nodes.
func TestCompletionsAfterACancelAreRefusedByTheHeaderAlone(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, nil)
		defer c.close()
		c.network.SetFilter(func(_, _ identity.NodeID, message any) peertest.Verdict {
			_, word := message.(jobCancelled)
			return peertest.Verdict{Drop: word}
		})
		job := c.submit(c.nodes[0], "k", 400, true)
		settle(3500 * time.Millisecond)
		other := c.nodes[0]
		if other == c.holderOf(shardOf(job, c.config)) {
			other = c.nodes[1]
		}
		cancelled, err := other.Cancel(t.Context(), tenant, job.ID)
		if err != nil {
			t.Fatal(err)
		}
		settle(2 * time.Second)
		if active := c.engines.active(); active != 0 {
			t.Errorf("%d attempts run although a commit has met the cancellation", active)
		}
		settle(30 * time.Second)
		later, err := other.Get(t.Context(), tenant, job.ID)
		if err != nil || later.Completed != cancelled.Completed {
			t.Errorf("%+v, at the cancellation %+v, %v", later, cancelled, err)
		}
	})
}

// TestAShardWhoseReleaseWasLostIsGivenUpWhenAskedForAgain has a newcomer ask for
// its shards while the table service takes no commits.
func TestAShardWhoseReleaseWasLostIsGivenUpWhenAskedForAgain(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, nil)
		defer c.close()
		commits := func(out bool) {
			c.fleet.Table.Faults.Change(func(f *emulator.FaultSettings) { f.Outage, f.Operations = out, []string{"commit"} })
		}
		commits(true)
		newcomer := c.add()
		settle(20 * time.Second)
		if len(newcomer.Shards()) != 0 {
			t.Fatal("shards moved without a commit")
		}
		commits(false)
		settle(5 * time.Second)
		if first, second := len(c.nodes[0].Shards()), len(newcomer.Shards()); second == 0 || first+second != c.config.Shards {
			t.Errorf("the nodes hold %d and %d shards of %d", first, second, c.config.Shards)
		}
	})
}
