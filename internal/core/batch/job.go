package batch

import "slices"

// Phase is the processing state of an item on the node that owns its job.
type Phase uint8

// The phases. Only Final is durable.
const (
	Waiting  Phase = iota // not running, and has no outcome
	Running               // an attempt is in flight, or its intent is being resolved
	Finished              // has an outcome that is not committed yet
	Final
)

// ItemOutcome is one item's outcome, by its index in the job.
type ItemOutcome struct {
	Index int
	Code  Code
}

// ItemIntent is one item's attempt, by its index in the job.
type ItemIntent struct {
	Index  int
	Intent Intent
}

// Change is the effect of one commit on a job.
type Change struct {
	// Outcomes become final; Reference is the object that holds their results.
	Outcomes  []ItemOutcome
	Reference Reference
	Intents   []ItemIntent
}

// SegmentUpdate is a segment's state after a change.
type SegmentUpdate struct {
	Number  int
	Segment Segment
}

// Job is the state of one job on the node that owns it. It is not safe for
// concurrent use.
type Job struct {
	segments   []Segment
	counts     Counts // totals of all segments
	firstIndex []int  // index of each segment's first item
	phases     []Phase
	cursor     int   // no item before it is Waiting, except those in returned
	returned   []int // indexes of the items that ran and are Waiting again, ascending
	closed     bool
}

// NewJob returns a job loaded from its durable segments. Items with an intent are
// Running: Intents lists them, and the caller must resolve each one.
func NewJob(segments []Segment) *Job {
	job := &Job{segments: segments, firstIndex: make([]int, len(segments))}
	for number := range segments {
		segment := &segments[number]
		job.counts = job.counts.Add(segment.Counts())
		job.firstIndex[number] = len(job.phases)
		for index := range segment.Items {
			job.phases = append(job.phases, phaseOf(segment, index))
		}
	}
	return job
}

func phaseOf(segment *Segment, index int) Phase {
	if segment.Code(index) != Open {
		return Final
	}
	if _, intended := segment.Intent(index); intended {
		return Running
	}
	return Waiting
}

// Intents returns the items whose only allowed attempt may be in flight.
func (j *Job) Intents() []ItemIntent {
	var all []ItemIntent
	for number := range j.segments {
		for _, index := range j.segments[number].Intents() {
			intent, _ := j.segments[number].Intent(index)
			all = append(all, ItemIntent{Index: j.firstIndex[number] + index, Intent: intent})
		}
	}
	return all
}

// Locate returns an item's segment and its offset in the segment.
func (j *Job) Locate(index int) (segment, offset int) {
	segment, exact := slices.BinarySearch(j.firstIndex, index)
	if !exact {
		segment--
	}
	// Segments without items share their first index with the next segment.
	for segment+1 < len(j.firstIndex) && j.firstIndex[segment+1] == index {
		segment++
	}
	return segment, index - j.firstIndex[segment]
}

// Next returns the item that Take would return, without taking it.
func (j *Job) Next() (index int, found bool) {
	if j.closed {
		return 0, false
	}
	if len(j.returned) > 0 {
		return j.returned[0], true
	}
	return j.NextFresh()
}

// NextFresh returns the first waiting item that has not run on this node.
func (j *Job) NextFresh() (index int, found bool) {
	for !j.closed && j.cursor < len(j.phases) && !j.fresh(j.cursor) {
		j.cursor++
	}
	return j.cursor, !j.closed && j.cursor < len(j.phases)
}

// fresh reports whether an item is Waiting and has not run on this node.
func (j *Job) fresh(index int) bool {
	if j.phases[index] != Waiting {
		return false
	}
	_, ran := slices.BinarySearch(j.returned, index)
	return !ran
}

// Take marks the next waiting item as Running and returns it. Items that already
// ran on this node come first.
func (j *Job) Take() (index int, found bool) {
	index, found = j.Next()
	if !found {
		return 0, false
	}
	if len(j.returned) > 0 {
		j.returned = j.returned[1:]
	}
	j.phases[index] = Running
	return index, true
}

// Requeue puts a running item back to Waiting. It returns false if the job is
// closed or the item is not Running.
func (j *Job) Requeue(index int) bool {
	if j.closed || j.phases[index] != Running {
		return false
	}
	j.phases[index] = Waiting
	position, _ := slices.BinarySearch(j.returned, index)
	j.returned = slices.Insert(j.returned, position, index)
	return true
}

// Finish marks a running item as Finished. It returns false if the outcome must be
// dropped because the job is closed or the item is no longer Running.
func (j *Job) Finish(index int) bool {
	if j.closed || j.phases[index] != Running {
		return false
	}
	j.phases[index] = Finished
	return true
}

// Prepare returns the modified segments as they will be once the changes are
// committed, without changing the job. done is true if every item is then final.
// A closed job gives no updates.
func (j *Job) Prepare(changes ...Change) (updates []SegmentUpdate, done bool) {
	if j.closed {
		return nil, false
	}
	modified := make(map[int]*Segment)
	for _, change := range changes {
		j.apply(change, modified)
	}
	final := j.counts.Final()
	for _, number := range sortedKeys(modified) {
		final += modified[number].Counts().Final() - j.segments[number].Counts().Final()
		updates = append(updates, SegmentUpdate{Number: number, Segment: *modified[number]})
	}
	return updates, final == len(j.phases)
}

// apply applies a change to copies of the segments that it modifies.
func (j *Job) apply(change Change, modified map[int]*Segment) {
	segmentOf := func(index int) (*Segment, int) {
		number, offset := j.Locate(index)
		segment, copied := modified[number]
		if !copied {
			clone := j.segments[number].Clone()
			segment = &clone
			modified[number] = segment
		}
		return segment, offset
	}
	for _, outcome := range change.Outcomes {
		segment, offset := segmentOf(outcome.Index)
		if segment.SetFinal(offset, outcome.Code) {
			segment.AddReference(change.Reference, offset)
		}
	}
	for _, intended := range change.Intents {
		segment, offset := segmentOf(intended.Index)
		if segment.Code(offset) == Open {
			segment.SetIntent(offset, intended.Intent)
		}
	}
}

// Committed replaces the segments by updates whose commit took effect.
func (j *Job) Committed(updates []SegmentUpdate) {
	for _, update := range updates {
		j.counts = j.counts.Subtract(j.segments[update.Number].Counts()).Add(update.Segment.Counts())
		j.segments[update.Number] = update.Segment
		for offset := range update.Segment.Items {
			if update.Segment.Code(offset) != Open {
				j.phases[j.firstIndex[update.Number]+offset] = Final
			}
		}
	}
}

// Close stops the job on this node after a cancellation or the loss of its lease.
// All later outcomes are dropped.
func (j *Job) Close() { j.closed = true }

// Closed reports whether Close was called.
func (j *Job) Closed() bool { return j.closed }

// Segment returns the committed state of a segment.
func (j *Job) Segment(number int) *Segment { return &j.segments[number] }

// Segments returns the number of segments.
func (j *Job) Segments() int { return len(j.segments) }

// Counts returns the numbers of committed outcomes.
func (j *Job) Counts() Counts { return j.counts }
