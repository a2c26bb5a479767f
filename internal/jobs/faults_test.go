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

// checkSentOnce checks that no item of a job was sent to an engine more than once.
func (c *cluster) checkSentOnce(key string, items int) {
	c.t.Helper()
	for i := range items {
		if count := c.engines.sent(fmt.Sprintf("prompt %s %d", key, i)); count > 1 {
			c.t.Errorf("non-repeatable item %d was sent %d times", i, count)
		}
	}
}

func TestNonRepeatableItemsAreResumedAfterAKill(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, nil)
		defer c.close()
		job := c.submit(c.nodes[0], "k", 200, false)
		advance(2500 * time.Millisecond)
		victim := c.holderOf(shardOf(job, c.config))
		c.kill(victim)
		advance(5 * time.Second)
		c.network.SetState(victim.id, membership.Dead)
		node := c.nodes[0]
		if node == victim {
			node = c.nodes[1]
		}
		ended := c.await(node, job.ID, 2*time.Minute)
		c.checkResults(node, ended, "k")
		c.checkSentOnce("k", 200)
		if ended.Completed != 200 {
			t.Errorf("ended job: %+v", ended)
		}
	})
}

func TestItemsThatMustNotBeRepeatedEndUnknownWhenTheirEngineIsGone(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, nil)
		defer c.close()
		job := c.submit(c.nodes[0], "k", 100, false)
		advance(2500 * time.Millisecond)
		victim := c.holderOf(shardOf(job, c.config))
		c.kill(victim)
		c.engines.mu.Lock()
		c.engines.attemptsLost = true
		c.engines.mu.Unlock()
		advance(5 * time.Second)
		c.network.SetState(victim.id, membership.Dead)
		advance(time.Second)
		node := c.nodes[0]
		if node == victim {
			node = c.nodes[1]
		}
		advance(20 * time.Second)
		c.engines.mu.Lock()
		c.engines.attemptsLost = false
		c.engines.mu.Unlock()
		ended := c.await(node, job.ID, 5*time.Minute)
		c.checkSentOnce("k", 100)
		if ended.Unknown == 0 || ended.Completed+ended.Unknown != 100 {
			t.Errorf("ended job: %+v", ended)
		}
		for _, result := range c.checkResults(node, ended, "k") {
			if result.Outcome == outcome.Unknown.String() && result.Reason == "" {
				t.Errorf("result without a reason: %+v", result)
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
		advance(2500 * time.Millisecond)
		stopping := c.holderOf(shardOf(job, c.config))
		stopping.cancel()
		advance(time.Second)
		if newHolder := c.holderOf(shardOf(job, c.config)); newHolder == nil || newHolder == stopping {
			t.Fatal("the shard has not moved")
		}
		<-stopping.done
		c.network.SetState(stopping.id, membership.Dead)
		node := c.holderOf(shardOf(job, c.config))
		ended := c.await(node, job.ID, 2*time.Minute)
		c.checkResults(node, ended, "k")
		c.checkSentOnce("k", 200)
		if ended.Completed != 200 {
			t.Errorf("ended job: %+v", ended)
		}
	})
}

func TestAnHourWithoutTheTableService(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, func(config *Config) { config.HeldResultBytes = 40_000 })
		defer c.close()
		job := c.submit(c.nodes[0], "k", 800, true)
		advance(3 * time.Second)
		holder := c.holderOf(shardOf(job, c.config))
		before, err := holder.Get(t.Context(), tenant, job.ID)
		if err != nil {
			t.Fatal(err)
		}
		c.fleet.Table.Faults.Change(func(f *emulator.FaultSettings) { f.Outage = true })
		advance(30 * time.Minute)
		sent := len(c.engines.order)
		if sent <= before.Completed+32 || sent >= 400 {
			t.Errorf("%d items sent in total while results could not be committed; %d completed before", sent, before.Completed)
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
		advance(30 * time.Minute)
		calls := c.fleet.Table.Faults.Calls()["commit"]
		c.fleet.Table.Faults.Change(func(f *emulator.FaultSettings) { f.Outage = false })
		advance(20 * time.Second)
		if after := c.fleet.Table.Faults.Calls()["commit"] - calls; after > 3*60 {
			t.Errorf("%d transactions in the 20 s after the outage", after)
		}
		if c.holderOf(shardOf(job, c.config)) != holder {
			t.Error("the shard moved although its holder was alive")
		}
		ended := c.await(c.nodes[1], job.ID, 5*time.Minute)
		c.checkResults(c.nodes[1], ended, "k")
		if len(c.engines.order) != 800 {
			t.Errorf("%d attempts of 800 items: finished work was dropped", len(c.engines.order))
		}
	})
}

func TestTheObjectStoreDownDelaysResultsAndLosesNone(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, nil)
		defer c.close()
		job := c.submit(c.nodes[0], "k", 300, true)
		advance(2500 * time.Millisecond)
		c.fleet.Objects.Faults.Change(func(f *emulator.FaultSettings) { f.Outage = true })
		advance(5 * time.Minute)
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

// TestJobsSurviveRandomFaults runs repeatable and non-repeatable jobs under
// failed calls, lost answers, a kill and pauses, which are chosen by a seed.
func TestJobsSurviveRandomFaults(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runWithFaults(t, seed) })
		})
	}
}

func runWithFaults(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	c := newCluster(t, 4, func(config *Config) { config.SegmentItems = 50 })
	defer c.close()
	c.engines.addFree(-8)
	jobs := map[string]Job{}
	for i := range 4 {
		key := fmt.Sprintf("k%d", i)
		jobs[key] = c.submit(c.nodes[i], key, 120, i%2 == 0)
	}
	for _, faults := range []*emulator.Faults{c.fleet.Table.Faults, c.fleet.Objects.Faults} {
		faults.Change(func(f *emulator.FaultSettings) { f.ErrorRate, f.JitterMillis = 0.1, 30 })
	}
	for step := range 10 {
		advance(time.Duration(500+random.IntN(1500)) * time.Millisecond)
		c.fleet.Table.Faults.Change(func(f *emulator.FaultSettings) { f.LoseAnswers += random.IntN(4) })
		node := c.nodes[random.IntN(len(c.nodes))]
		switch {
		case step == 3:
			c.kill(node)
			go func() {
				advance(4 * time.Second)
				c.network.SetState(node.id, membership.Dead)
			}()
		case random.IntN(2) == 0:
			go c.pause(node, time.Duration(random.IntN(15))*time.Second)
		}
	}
	advance(30 * time.Second)
	var alive *testNode
	for _, node := range c.nodes {
		if node.gate.get() == running {
			alive = node
		}
	}
	for key, job := range jobs {
		ended := c.await(alive, job.ID, 10*time.Minute)
		for _, result := range c.checkResults(alive, ended, key) {
			if result.Outcome != outcome.Completed.String() && (key == "k0" || key == "k2") {
				t.Errorf("job %s: item not completed: %+v", key, result)
			}
		}
		if key == "k1" || key == "k3" {
			c.checkSentOnce(key, 120)
		}
	}
}

// pause stops a node's process for a while. After 4 s the other nodes take it for
// dead.
func (c *cluster) pause(node *testNode, length time.Duration) {
	if node.gate.get() != running {
		return
	}
	node.gate.set(paused)
	c.network.SetPaused(node.id, true)
	const detected = 4 * time.Second
	if length > detected {
		advance(detected)
		c.network.SetState(node.id, membership.Dead)
		length -= detected
	}
	advance(length)
	if node.gate.get() == dead {
		return
	}
	node.gate.set(running)
	c.network.SetPaused(node.id, false)
	c.network.SetState(node.id, membership.Alive)
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
		advance(55 * time.Minute)
		c.checkResults(c.nodes[1], kept, "old")
		if _, found := c.fleet.Objects.Object(orphan); found {
			t.Error("the orphaned object was not removed")
		}
		advance(30 * time.Minute)
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

// TestAPausedHoldersCompletionsAreRefusedByTheLeaseAlone leaves the new holder
// without capacity, so that it writes nothing. Only the compare on the lease can
// then reject the commits of the paused holder.
func TestAPausedHoldersCompletionsAreRefusedByTheLeaseAlone(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, nil)
		defer c.close()
		job := c.submit(c.nodes[0], "k", 300, true)
		advance(3500 * time.Millisecond)
		pausedHolder := c.holderOf(shardOf(job, c.config))
		pausedHolder.gate.setStalled("renew-", true)
		pausedHolder.gate.setStalled("items-", true)
		c.network.SetPaused(pausedHolder.id, true)
		advance(2 * time.Second) // items in flight end; their outcomes wait for the stalled commit
		c.engines.addFree(-1000)
		c.network.SetState(pausedHolder.id, membership.Dead)
		advance(10 * time.Second)
		newHolder := c.otherThan(pausedHolder)
		if c.holderOf(shardOf(job, c.config)) == nil || len(newHolder.HeldShards()) != c.config.Shards {
			t.Fatal("the shard has not moved")
		}
		before, err := newHolder.Get(t.Context(), tenant, job.ID)
		if err != nil {
			t.Fatal(err)
		}
		pausedHolder.gate.setStalled("items-", false)
		advance(20 * time.Second)
		after, err := newHolder.Get(t.Context(), tenant, job.ID)
		if err != nil || after.Completed != before.Completed {
			t.Errorf("the former holder committed after its pause: %+v, before %+v, error %v", after, before, err)
		}
		c.engines.addFree(1000)
		pausedHolder.gate.setStalled("renew-", false)
		c.checkResults(newHolder, c.await(newHolder, job.ID, time.Minute), "k")
	})
}

// A cancellation at the holder of a job must also stop a former holder. A node whose messages had
// been lost for 15 s did not know yet that another node had claimed its shard, so both ran the job.
// The new holder received the cancellation, stopped its own work and sent no message. The former
// holder's engines continued for 2.5 to 5.9 s, until it learned that its lease had expired (2 of 360
// runs with this fault).
func TestACancelAtTheHolderStopsTheFormerHolderToo(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, nil)
		defer c.close()
		job := c.submit(c.nodes[0], "k", 400, true)
		advance(1500 * time.Millisecond)
		number := shardOf(job, c.config)
		holder := c.holderOf(number)
		former := c.otherThan(holder)
		former.gate.setStalled("items-", true) // its first commit would reveal the other node's lease
		defer former.gate.setStalled("items-", false)
		var reads atomic.Int32
		c.fleet.Table.Faults.SetHook(func(call emulator.Call) {
			if call.Operation == "list" && call.Phase == emulator.BeforeEffect && strings.HasPrefix(call.Subject, record.SegmentsPrefix(job.ID)) {
				reads.Add(1)
			}
		})
		former.runner.Acquired([]shard.Fence{{Shard: number}})
		c.engines.addFree(32)
		advance(500 * time.Millisecond)
		if reads.Load() == 0 || c.engines.active() == 0 {
			t.Fatalf("%d reads of segments: the former holder does not run the job", reads.Load())
		}
		if _, err := holder.Cancel(t.Context(), tenant, job.ID); err != nil {
			t.Fatal(err)
		}
		advance(500 * time.Millisecond)
		if active := c.engines.active(); active != 0 {
			t.Errorf("%d attempts run half a second after the cancellation", active)
		}
	})
}

// TestCompletionsAfterACancelAreRefusedByTheHeaderAlone drops every message about
// the cancellation, so that only the compare on the job's header rejects commits.
func TestCompletionsAfterACancelAreRefusedByTheHeaderAlone(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, nil)
		defer c.close()
		c.network.SetFilter(func(_, _ identity.NodeID, message any) peertest.Verdict {
			_, cancellation := message.(jobCancelled)
			return peertest.Verdict{Drop: cancellation}
		})
		job := c.submit(c.nodes[0], "k", 400, true)
		advance(3500 * time.Millisecond)
		other := c.nodes[0]
		if other == c.holderOf(shardOf(job, c.config)) {
			other = c.nodes[1]
		}
		cancelled, err := other.Cancel(t.Context(), tenant, job.ID)
		if err != nil {
			t.Fatal(err)
		}
		advance(2 * time.Second)
		if active := c.engines.active(); active != 0 {
			t.Errorf("%d attempts run although a commit conflicted with the cancellation", active)
		}
		advance(30 * time.Second)
		later, err := other.Get(t.Context(), tenant, job.ID)
		if err != nil || later.Completed != cancelled.Completed {
			t.Errorf("%+v, at the cancellation %+v, %v", later, cancelled, err)
		}
	})
}

// TestAShardWhoseReleaseWasLostIsReleasedOnRequest adds a node, which
// requests its shards while the table service fails all commits.
func TestAShardWhoseReleaseWasLostIsReleasedOnRequest(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, nil)
		defer c.close()
		commits := func(out bool) {
			c.fleet.Table.Faults.Change(func(f *emulator.FaultSettings) { f.Outage, f.Operations = out, []string{"commit"} })
		}
		commits(true)
		newcomer := c.add()
		advance(20 * time.Second)
		if len(newcomer.HeldShards()) != 0 {
			t.Fatal("shards moved without a commit")
		}
		commits(false)
		advance(5 * time.Second)
		if first, second := len(c.nodes[0].HeldShards()), len(newcomer.HeldShards()); second == 0 || first+second != c.config.Shards {
			t.Errorf("the nodes hold %d and %d shards of %d", first, second, c.config.Shards)
		}
	})
}
