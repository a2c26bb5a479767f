package batch

import (
	"cmp"
	"slices"
	"time"

	"ringstream.example/ringstream/internal/core/identity"
)

// Candidate is a job with an item that is ready to run.
type Candidate struct {
	Job      identity.JobID
	Deadline time.Time
	// RemainingWork is the estimated time for the job's remaining items at the current rate.
	RemainingWork time.Duration
	// Weight is the weight of the job's row; at least 1.
	Weight int
}

// Slack returns how long the job can still wait and meet its deadline. It is
// negative if the job is late.
func (c Candidate) Slack(now time.Time) time.Duration { return c.Deadline.Sub(now) - c.RemainingWork }

// urgency returns the sort key of a candidate in seconds; the lowest runs first.
// Positive slack is divided by the weight, so that a job with a higher weight
// counts as closer to its deadline. Negative slack is multiplied by the weight.
func (c Candidate) urgency(now time.Time) float64 {
	slack := c.Slack(now).Seconds()
	if slack > 0 {
		return slack / float64(c.Weight)
	}
	return slack * float64(c.Weight)
}

// Compare orders candidates by urgency, then by job id, which sorts by age.
func (c Candidate) Compare(other Candidate, now time.Time) int {
	return cmp.Or(cmp.Compare(c.urgency(now), other.urgency(now)), cmp.Compare(c.Job, other.Job))
}

// FairPickInterval is how often a pick goes to the least recently picked job,
// regardless of its urgency: at every FairPickInterval-th pick. With J jobs ready,
// each of them is picked at least once in FairPickInterval*J picks, also under
// sustained overload.
const FairPickInterval = 8

// Scheduler picks the job whose next item runs. It is not safe for concurrent use.
type Scheduler struct {
	picks    uint64
	lastPick map[identity.JobID]uint64 // number of the last pick of each job
}

// Pick returns the index of the candidate to run, or -1 if there is none.
func (s *Scheduler) Pick(now time.Time, candidates []Candidate) int {
	if len(candidates) == 0 {
		return -1
	}
	if s.lastPick == nil {
		s.lastPick = make(map[identity.JobID]uint64)
	}
	s.picks++
	best := 0
	fairPick := s.picks%FairPickInterval == 0
	for i := 1; i < len(candidates); i++ {
		if s.before(candidates[i], candidates[best], fairPick, now) {
			best = i
		}
	}
	s.lastPick[candidates[best].Job] = s.picks
	return best
}

func (s *Scheduler) before(a, b Candidate, fairPick bool, now time.Time) bool {
	if fairPick {
		return cmp.Or(cmp.Compare(s.lastPick[a.Job], s.lastPick[b.Job]), cmp.Compare(a.Job, b.Job)) < 0
	}
	return a.Compare(b, now) < 0
}

// Add adds a job. For the fair picks it counts as picked most recently.
func (s *Scheduler) Add(job identity.JobID) {
	if s.lastPick == nil {
		s.lastPick = make(map[identity.JobID]uint64)
	}
	s.lastPick[job] = s.picks
}

// Remove removes a job.
func (s *Scheduler) Remove(job identity.JobID) { delete(s.lastPick, job) }

// Forecast returns the expected completion time of each candidate if the
// candidates run one after the other in order of urgency, at the total rate that
// their RemainingWork is based on.
func Forecast(now time.Time, candidates []Candidate) map[identity.JobID]time.Time {
	ordered := slices.Clone(candidates)
	slices.SortFunc(ordered, func(a, b Candidate) int { return a.Compare(b, now) })
	finish := make(map[identity.JobID]time.Time, len(ordered))
	at := now
	for _, candidate := range ordered {
		at = at.Add(candidate.RemainingWork)
		finish[candidate.Job] = at
	}
	return finish
}
