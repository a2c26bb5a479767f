package batch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"ringstream.example/ringstream/internal/core/identity"
	_ "ringstream.example/ringstream/internal/seedtest" // the same values at every run
)

// referenceJob is the reference model of Job, with one record for each item.
type referenceJob struct {
	items  []referenceItem
	closed bool
}

type referenceItem struct {
	segment   int
	phase     Phase
	ran       bool
	code      Code
	intent    Intent
	reference Reference
}

func (n *referenceJob) next() (int, bool) {
	for _, ran := range []bool{true, false} {
		for index, item := range n.items {
			if !n.closed && item.phase == Waiting && item.ran == ran {
				return index, true
			}
		}
	}
	return 0, false
}

func (n *referenceJob) indexes(phase Phase) (found []int) {
	for index, item := range n.items {
		if item.phase == phase {
			found = append(found, index)
		}
	}
	return found
}

// jobTest applies the same events to a Job and its reference model.
type jobTest struct {
	sizes    []int
	job      *Job
	model    referenceJob
	stored   [][]byte // the committed segments, encoded
	sequence uint64
}

func newJobTest(t *rapid.T) *jobTest {
	test := &jobTest{sizes: rapid.SliceOfN(rapid.IntRange(1, 70), 1, 4).Draw(t, "sizes")}
	for number, size := range test.sizes {
		segment := NewSegment(size)
		test.stored = append(test.stored, segment.Encode())
		for range size {
			test.model.items = append(test.model.items, referenceItem{segment: number})
		}
	}
	test.reload(t)
	return test
}

// reload loads the job from its durable state, as a node does that takes it over.
func (j *jobTest) reload(t *rapid.T) {
	segments := make([]Segment, len(j.stored))
	for number, data := range j.stored {
		var err error
		if segments[number], err = DecodeSegment(data); err != nil {
			t.Fatal(err)
		}
	}
	j.job, j.model.closed = NewJob(segments), false
	for index := range j.model.items {
		item := &j.model.items[index]
		item.ran = false
		switch {
		case item.code != Open:
			item.phase = Final
		case item.intent != Intent{}:
			item.phase = Running
		default:
			item.phase = Waiting
		}
	}
}

func (j *jobTest) take(t *rapid.T) {
	index, found := j.job.Take()
	want, wantFound := j.model.next()
	if found != wantFound || found && index != want {
		t.Fatalf("Take returned %d %v, want %d %v", index, found, want, wantFound)
	}
	if found {
		j.model.items[index].phase = Running
	}
}

func (j *jobTest) giveBack(t *rapid.T) {
	index := rapid.IntRange(0, len(j.model.items)-1).Draw(t, "index")
	item := &j.model.items[index]
	want := !j.model.closed && item.phase == Running
	if got := j.job.Requeue(index); got != want {
		t.Fatalf("Return(%d): %v, want %v", index, got, want)
	}
	if want {
		item.phase, item.ran = Waiting, true
	}
}

func (j *jobTest) finish(t *rapid.T) {
	index := rapid.IntRange(0, len(j.model.items)-1).Draw(t, "index")
	item := &j.model.items[index]
	want := !j.model.closed && item.phase == Running
	if got := j.job.Finish(index); got != want {
		t.Fatalf("Finish(%d): %v, want %v", index, got, want)
	}
	if want {
		item.phase = Finished
	}
}

// commit makes some finished items final and records intents for some running items.
func (j *jobTest) commit(t *rapid.T) {
	j.sequence++
	change := Change{Reference: Reference{Epoch: 1 + j.sequence%3, Sequence: j.sequence}}
	for _, index := range j.model.indexes(Finished) {
		if rapid.Bool().Draw(t, "commits") {
			change.Outcomes = append(change.Outcomes, ItemOutcome{index, rapid.SampledFrom([]Code{Completed, Failed, Unknown}).Draw(t, "code")})
		}
	}
	for _, index := range j.model.indexes(Running) {
		if rapid.IntRange(0, 3).Draw(t, "intends") == 0 {
			intent := Intent{Attempt: identity.AttemptID(fmt.Sprintf("a%d", j.sequence)), Engine: "e"}
			change.Intents = append(change.Intents, ItemIntent{index, intent})
		}
	}
	updates, done := j.job.Prepare(change)
	if j.model.closed || rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
		if j.model.closed && updates != nil {
			t.Fatal("Prepare returned updates for a closed job")
		}
		return // the store rejected the commit, so no state may have changed
	}
	for _, update := range updates {
		j.stored[update.Number] = update.Segment.Encode()
	}
	j.job.Committed(updates)
	for _, outcome := range change.Outcomes {
		item := &j.model.items[outcome.Index]
		item.phase, item.code, item.reference, item.intent = Final, outcome.Code, change.Reference, Intent{}
	}
	for _, intended := range change.Intents {
		j.model.items[intended.Index].intent = intended.Intent
	}
	if want := len(j.model.indexes(Final)) == len(j.model.items); done != want {
		t.Fatalf("done %v, want %v", done, want)
	}
}

func (j *jobTest) check(t *rapid.T) {
	var want Counts
	for index, item := range j.model.items {
		number, offset := j.job.Locate(index)
		segment := j.job.Segment(number)
		if number != item.segment || segment.Code(offset) != item.code {
			t.Fatalf("item %d: segment %d code %d, want %+v", index, number, segment.Code(offset), item)
		}
		if item.code != Open && !slices.Contains(segment.References(offset, offset+1), item.reference) {
			t.Fatalf("item %d is final, but the segment has no reference to its object", index)
		}
		if intent, found := segment.Intent(offset); found != (item.intent != Intent{}) || intent != item.intent {
			t.Fatalf("item %d: intent %v, want %v", index, intent, item.intent)
		}
		counted := Counts{Total: 1}
		switch item.code {
		case Completed:
			counted.Completed = 1
		case Failed:
			counted.Failed = 1
		case Unknown:
			counted.Unknown = 1
		}
		want = want.Add(counted)
	}
	if diff := cmp.Diff(want, j.job.Counts()); diff != "" {
		t.Fatalf("counts -want +got:\n%s", diff)
	}
}

func TestJobMatchesReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		test := newJobTest(t)
		t.Repeat(map[string]func(*rapid.T){
			"take": test.take, "give back": test.giveBack, "finish": test.finish, "commit": test.commit,
			"another node": test.reload,
			"close":        func(*rapid.T) { test.job.Close(); test.model.closed = true },
			"":             test.check,
		})
	})
}

func FuzzDecodeSegment(f *testing.F) {
	segment := NewSegment(100)
	segment.SetFinal(3, Completed)
	segment.SetFinal(70, Failed)
	segment.SetIntent(5, Intent{Attempt: "a", Engine: "e"})
	segment.AddReference(Reference{Epoch: 2, Sequence: 9}, 3)
	f.Add(segment.Encode())
	f.Add([]byte{1, 255, 255, 255, 255, 15})
	f.Fuzz(func(t *testing.T, data []byte) {
		decoded, err := DecodeSegment(data)
		if err != nil {
			return
		}
		again, err := DecodeSegment(decoded.Encode())
		if err != nil || !cmp.Equal(again, decoded, cmp.AllowUnexported(Segment{})) {
			t.Fatalf("%v: %+v, then %+v", err, decoded, again)
		}
	})
}

func TestSchedulerMatchesReferenceModelAndStarvesNone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1_000_000, 0)
		var candidates []Candidate
		for i := range rapid.IntRange(1, 8).Draw(t, "jobs") {
			candidates = append(candidates, Candidate{
				Job:           identity.JobID(fmt.Sprint(i)),
				Deadline:      start.Add(time.Duration(rapid.IntRange(-3600, 36_000).Draw(t, "deadline")) * time.Second),
				RemainingWork: time.Duration(rapid.IntRange(0, 3600).Draw(t, "work")) * time.Second,
				Weight:        rapid.IntRange(1, 50).Draw(t, "weight"),
			})
		}
		var scheduler Scheduler
		last := make(map[identity.JobID]int)
		for pick := 1; pick <= 4*FairPickInterval*len(candidates); pick++ {
			now := start.Add(time.Duration(pick) * time.Second)
			want := referencePick(now, candidates, last, pick%FairPickInterval == 0)
			got := scheduler.Pick(now, candidates)
			if got != want {
				t.Fatalf("pick %d: %d, want %d", pick, got, want)
			}
			last[candidates[got].Job] = pick
			for _, candidate := range candidates {
				if wait := pick - last[candidate.Job]; wait > FairPickInterval*len(candidates) {
					t.Fatalf("job %s was not picked for %d picks", candidate.Job, wait)
				}
			}
		}
	})
}

// referencePick is the reference model of Scheduler.Pick. It sorts all candidates
// for each pick.
func referencePick(now time.Time, candidates []Candidate, last map[identity.JobID]int, fairPick bool) int {
	order := make([]int, len(candidates))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		if fairPick {
			return last[candidates[a].Job] - last[candidates[b].Job]
		}
		key := func(c Candidate) float64 {
			slack := (c.Deadline.Sub(now) - c.RemainingWork).Seconds()
			if slack > 0 {
				return slack / float64(c.Weight)
			}
			return slack * float64(c.Weight)
		}
		switch x, y := key(candidates[a]), key(candidates[b]); {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	return order[0]
}

func TestForecastAddsUpTheWorkAhead(t *testing.T) {
	now := time.Unix(1000, 0)
	finish := Forecast(now, []Candidate{
		{Job: "late", Deadline: now.Add(3 * time.Hour), RemainingWork: time.Hour, Weight: 1},
		{Job: "soon", Deadline: now.Add(time.Hour), RemainingWork: 30 * time.Minute, Weight: 1},
	})
	want := map[identity.JobID]time.Time{"soon": now.Add(30 * time.Minute), "late": now.Add(90 * time.Minute)}
	if diff := cmp.Diff(want, finish); diff != "" {
		t.Errorf("-want +got:\n%s", diff)
	}
}

// BenchmarkTransitions takes, finishes and commits the items of a job of the
// largest size in groups of 16, like a node at its average share of the target
// rate.
func BenchmarkTransitions(b *testing.B) {
	const items, group = 72_000, 16
	segments := make([]Segment, items/1000)
	for number := range segments {
		segments[number] = NewSegment(1000)
	}
	b.ReportAllocs()
	var job *Job
	var bytes int
	for done := 0; b.Loop(); done += group {
		if done%items == 0 {
			job = NewJob(slices.Clone(segments))
			for number := range job.segments {
				job.segments[number] = NewSegment(1000)
			}
		}
		change := Change{Reference: Reference{Epoch: 1, Sequence: uint64(done)}}
		for range group {
			index, _ := job.Take()
			job.Finish(index)
			change.Outcomes = append(change.Outcomes, ItemOutcome{index, Completed})
		}
		updates, _ := job.Prepare(change)
		for _, update := range updates {
			bytes += len(update.Segment.Encode())
		}
		job.Committed(updates)
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "stored-bytes/op")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/group, "ns/item")
}
