package jobs

import (
	"errors"
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
)

func TestAJobCompletesEachItemOnce(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, func(config *Config) { config.SegmentItems = 40 })
		defer c.close()
		job := c.submit(c.nodes[0], "k", 250, true)
		if job.State != StateAccepted || job.Total != 250 {
			t.Fatalf("accepted job: %+v", job)
		}
		advance(3 * time.Second)
		early, err := c.nodes[1].Results(t.Context(), tenant, job.ID, 0, 250)
		if err != nil || len(early) == 0 || len(early) == 250 {
			t.Errorf("while running: %d results, %v", len(early), err)
		}
		ended := c.await(c.nodes[2], job.ID, time.Minute)
		if ended.Completed != 250 || ended.State != StateCompleted {
			t.Errorf("ended job: %+v", ended)
		}
		for _, result := range c.checkResults(c.nodes[2], ended, "k") {
			if result.Outcome != outcome.Completed.String() || c.engines.sent(result.Text) > 1 {
				t.Fatalf("item not completed in one attempt: %+v", result)
			}
		}
		if len(c.engines.order) != 250 {
			t.Errorf("%d attempts of 250 items", len(c.engines.order))
		}
		part, err := c.nodes[0].Results(t.Context(), tenant, job.ID, 35, 45)
		if err != nil || len(part) != 10 || part[0].Index != 35 {
			t.Errorf("results 35 to 45: %v, error %v", part, err)
		}
	})
}

func codeOf(err error) apierror.Code {
	var failure *apierror.Error
	if errors.As(err, &failure) {
		return failure.Code
	}
	return ""
}

func TestAWrongLineGivesItsNumberAndAcceptsNothing(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, func(config *Config) { config.SegmentItems, config.MaxItems, config.MaxLineBytes = 2, 6, 400 })
		defer c.close()
		good := `{"custom_id":"a","prompt":"p","max_tokens":1}` + "\n" + `{"custom_id":"b","prompt":"p","max_tokens":1}` + "\n\n"
		cases := []struct{ line, message string }{
			{`{"custom_id":"c","prompt":"p"}`, "line 4: max_tokens"},
			{`{"custom_id":"a","prompt":"p","max_tokens":1}`, `line 4: custom_id "a" is used twice`},
			{`{"custom_id":"c","max_tokens":1}`, "line 4: prompt is missing"},
			{`{"prompt":"p","max_tokens":1}`, "line 4: custom_id is missing"},
			{`{"custom_id":"c","prompt":"p","max_token":1}`, `line 4: json: unknown field "max_token"`},
			{`not JSON`, "line 4: invalid character"},
			{`{"custom_id":"c","prompt":"` + strings.Repeat("x", 400) + `","max_tokens":1}`, "line 4: longer than 400 bytes"},
			{strings.Repeat(`{"custom_id":"I","prompt":"p","max_tokens":1}`+"\n", 1) + strings.ReplaceAll("1234", "", `"`), "line 5"},
		}
		for _, test := range cases {
			wrong := submission("k", 0, true)
			wrong.Items = strings.NewReader(good + test.line + "\n")
			_, _, err := c.nodes[0].Submit(t.Context(), wrong)
			if err == nil || !strings.Contains(err.Error(), test.message) {
				t.Errorf("line %s: got error %v", test.line, err)
			}
		}
		if _, _, err := c.nodes[0].Submit(t.Context(), submission("k", 7, true)); codeOf(err) != apierror.CodeTooLarge {
			t.Error(err)
		}
		if listed, err := c.nodes[0].List(t.Context(), tenant, "", 10); err != nil || len(listed) != 0 {
			t.Errorf("listed jobs: %v, error %v", listed, err)
		}
		objects, err := c.clients.Objects.List(t.Context(), record.InputPrefix, "", 10)
		if err != nil || len(objects) != 0 {
			t.Errorf("objects left: %v, %v", objects, err)
		}
	})
}

func TestTheSameKeyGivesTheSameJob(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, nil)
		defer c.close()
		type answer struct {
			job     Job
			existed bool
			err     error
		}
		answers := make(chan answer, 6)
		for i := range cap(answers) {
			go func() {
				job, existed, err := c.nodes[i%3].Submit(t.Context(), submission("k", 30, true))
				answers <- answer{job, existed, err}
			}()
		}
		var id identity.JobID
		first := 0
		for range cap(answers) {
			got := <-answers
			if got.err != nil {
				t.Fatal(got.err)
			}
			if !got.existed {
				first++
			}
			if id != "" && got.job.ID != id {
				t.Errorf("submissions with one key gave two jobs: %s and %s", id, got.job.ID)
			}
			id = got.job.ID
		}
		if first != 1 {
			t.Errorf("%d submissions report a new job, want 1", first)
		}
		if _, _, err := c.nodes[0].Submit(t.Context(), submission("k", 31, true)); codeOf(err) != apierror.CodeKeyReuse {
			t.Error(err)
		}
		other := submission("k", 3, true)
		other.Tenant = "another"
		if job, existed, err := c.nodes[0].Submit(t.Context(), other); err != nil || existed || job.ID == id {
			t.Errorf("another tenant's submission: job %+v, existed %v, error %v", job, existed, err)
		}
		if _, err := c.nodes[0].Get(t.Context(), "another", id); codeOf(err) != apierror.CodeNotFound {
			t.Errorf("another tenant's job: %v", err)
		}
		c.checkResults(c.nodes[1], c.await(c.nodes[1], id, time.Minute), "k")
		listed, err := c.nodes[2].List(t.Context(), tenant, "", 10)
		if err != nil || len(listed) != 1 || listed[0].ID != id {
			t.Errorf("listed jobs: %v, error %v", listed, err)
		}
	})
}

func TestAcceptanceSurvivesALostAnswer(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, nil)
		defer c.close()
		c.fleet.Table.Faults.Change(func(f *emulator.FaultSettings) { f.LoseAnswers, f.Operations = 1, []string{"commit"} })
		job, existed, err := c.nodes[0].Submit(t.Context(), submission("k", 5, true))
		if err != nil || existed {
			t.Fatalf("first submission: existed %v, error %v", existed, err)
		}
		again, existed, err := c.nodes[0].Submit(t.Context(), submission("k", 5, true))
		if err != nil || !existed || again.ID != job.ID {
			t.Errorf("second submission: job %+v, existed %v, error %v", again, existed, err)
		}
		c.checkResults(c.nodes[0], c.await(c.nodes[0], job.ID, time.Minute), "k")
	})
}

func TestCancelStopsTheWorkAndAdmitsNoLaterCompletion(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, nil)
		defer c.close()
		job := c.submit(c.nodes[0], "k", 400, true)
		advance(5500 * time.Millisecond) // between the ends of attempts, which run for a second each
		if c.engines.active() == 0 {
			t.Fatal("nothing is running")
		}
		cancelled, err := c.nodes[1].Cancel(t.Context(), tenant, job.ID)
		if err != nil || cancelled.State != StateCancelled || cancelled.Completed+cancelled.Cancelled != 400 || cancelled.Completed == 0 {
			t.Fatalf("cancelled job: %+v, error %v", cancelled, err)
		}
		advance(2 * time.Second)
		if active := c.engines.active(); active != 0 {
			t.Errorf("%d attempts run 2 s after the cancellation", active)
		}
		advance(time.Minute)
		later, err := c.nodes[0].Get(t.Context(), tenant, job.ID)
		if err != nil || later.Completed != cancelled.Completed {
			t.Errorf("job a minute after the cancellation: %+v, error %v", later, err)
		}
		results := c.checkResults(c.nodes[0], later, "k")
		if results[399].Outcome != outcome.Cancelled.String() {
			t.Errorf("last item's result: %+v", results[399])
		}
		if again, err := c.nodes[0].Cancel(t.Context(), tenant, job.ID); err != nil || again.State != StateCancelled {
			t.Errorf("repeated cancellation: job %+v, error %v", again, err)
		}
	})
}

// TestACancelWhileTheHolderReadsTheJobStopsIt cancels a job between the
// holder's read of its header and its start.
func TestACancelWhileTheHolderReadsTheJobStopsIt(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, nil)
		defer c.close()
		var job Job
		var reads atomic.Int32
		c.fleet.Table.Faults.SetHook(func(call emulator.Call) {
			if call.Operation != "list" || !strings.HasPrefix(call.Subject, "batch/segment/") || call.Phase != emulator.BeforeEffect {
				return
			}
			if reads.Add(1) == 1 { // the holder has read the header, whose state is open
				advance(time.Second)
			}
		})
		job = c.submit(c.nodes[0], "k", 40, true)
		advance(500 * time.Millisecond)
		if _, err := c.nodes[1].Cancel(t.Context(), tenant, job.ID); err != nil {
			t.Fatal(err)
		}
		if reads.Load() < 2 {
			t.Fatalf("%d reads of segments: the holder was not reading", reads.Load())
		}
		advance(time.Minute)
		c.engines.mu.Lock()
		defer c.engines.mu.Unlock()
		if sent := len(c.engines.attempts); sent != 0 {
			t.Errorf("%d attempts were sent after the cancellation", sent)
		}
	})
}

// TestARepeatedCancelStopsTheWork kills the node that commits a cancellation
// before it can send the message. A repeated cancellation must send it.
func TestARepeatedCancelStopsTheWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, nil)
		defer c.close()
		job := c.submit(c.nodes[0], "k", 400, true)
		advance(1500 * time.Millisecond)
		holder := c.holderOf(shardOf(job, c.config))
		var others []*testNode
		for _, node := range c.nodes {
			if node != holder {
				others = append(others, node)
			}
		}
		c.fleet.Table.Faults.SetHook(func(call emulator.Call) {
			if call.Operation == "commit" && call.Phase == emulator.AfterEffect && strings.Contains(string(call.Body), `"id":"cancel-`) {
				c.kill(others[0])
			}
		})
		if _, err := others[0].Cancel(t.Context(), tenant, job.ID); err == nil {
			t.Fatal("the killed node answered the cancellation")
		}
		if again, err := others[1].Cancel(t.Context(), tenant, job.ID); err != nil || again.State != StateCancelled {
			t.Fatalf("repeated cancellation: job %+v, error %v", again, err)
		}
		advance(500 * time.Millisecond)
		if active := c.engines.active(); active != 0 {
			t.Errorf("%d attempts run after the cancellation", active)
		}
	})
}

func shardOf(job Job, config Config) int { return record.ShardOf(job.ID, config.Shards) }

func TestAKilledHoldersShardMovesWithin10Seconds(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, nil)
		defer c.close()
		job := c.submit(c.nodes[0], "k", 300, true)
		advance(2 * time.Second)
		victim := c.holderOf(shardOf(job, c.config))
		c.kill(victim)
		advance(5 * time.Second)
		c.network.SetState(victim.id, membership.Dead)
		advance(5 * time.Second)
		newHolder := c.holderOf(shardOf(job, c.config))
		if newHolder == nil || newHolder == victim {
			t.Fatal("the shard has not moved")
		}
		c.checkResults(newHolder, c.await(newHolder, job.ID, time.Minute), "k")
	})
}

func TestAPlannedStopMovesItsShardsWithinASecond(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, nil)
		defer c.close()
		job := c.submit(c.nodes[0], "k", 300, true)
		advance(3 * time.Second)
		stopping := c.holderOf(shardOf(job, c.config))
		before, err := stopping.Get(t.Context(), tenant, job.ID)
		if err != nil {
			t.Fatal(err)
		}
		stopping.cancel()
		advance(time.Second)
		newHolder := c.holderOf(shardOf(job, c.config))
		if newHolder == nil || newHolder == stopping {
			t.Fatal("the shard has not moved")
		}
		after, err := newHolder.Get(t.Context(), tenant, job.ID)
		if err != nil || after.Completed < before.Completed {
			t.Errorf("job at the new holder: %+v, error %v", after, err)
		}
		c.network.SetState(stopping.id, membership.Dead)
		c.checkResults(newHolder, c.await(newHolder, job.ID, time.Minute), "k")
	})
}

func TestAPausedHolderThatWakesChangesNothing(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, nil)
		defer c.close()
		job := c.submit(c.nodes[0], "k", 600, true)
		advance(2 * time.Second)
		pausedHolder := c.holderOf(shardOf(job, c.config))
		pausedHolder.gate.set(paused)
		c.network.SetPaused(pausedHolder.id, true)
		advance(5 * time.Second)
		c.network.SetState(pausedHolder.id, membership.Dead)
		advance(8 * time.Second)
		c.network.SetState(pausedHolder.id, membership.Alive)
		pausedHolder.gate.set(running)
		c.network.SetPaused(pausedHolder.id, false)
		ended := c.await(c.nodes[0], job.ID, 2*time.Minute)
		c.checkResults(c.nodes[0], ended, "k")
		if ended.Completed != 600 {
			t.Errorf("ended job: %+v", ended)
		}
		advance(10 * time.Second)
		held := make(map[int]int)
		for _, node := range c.nodes {
			for _, number := range node.HeldShards() {
				held[number]++
			}
		}
		for number := range c.config.Shards {
			if held[number] != 1 {
				t.Errorf("shard %d is held %d times", number, held[number])
			}
		}
	})
}
