package loadsum

import (
	"maps"
	"slices"
	"time"
)

// backups is how many nodes of a zone hear the sums of other aggregators: the
// second takes over without a gap.
const backups = 2

// HearSummary takes another aggregator's sum.
func (t *Tree) HearSummary(from string, summary Summary, now time.Time) {
	known, found := t.others[from]
	if from == t.self.Address || (found && known.summary.Life == summary.Life && known.summary.Sequence >= summary.Sequence) {
		return
	}
	t.others[from] = heardSummary{summary: summary, at: now}
}

// Acting says whether this node is an aggregator: others ask it, or it asks
// itself.
func (t *Tree) Acting(now time.Time) bool {
	t.expire(now)
	if t.scope != FleetScope && t.asked == t.self.Address {
		return true
	}
	for _, known := range t.nodes {
		if known.report.Asks {
			return true
		}
	}
	return false
}

// Summary gives the sum of the nodes that report to this one, and who is told:
// the first nodes of each zone, the aggregators that were heard, and one more
// of each zone in turn, so that aggregators find each other where the first
// ones are gone.
func (t *Tree) Summary(now time.Time) (summary Summary, to []string) {
	t.told++
	summary = t.sum(now)
	summary.Sequence = t.told
	return summary, t.listeners()
}

// sum adds up the reports of the nodes that ask this one, itself included.
func (t *Tree) sum(now time.Time) Summary {
	t.expire(now)
	summary := Summary{Life: t.own.Life, Loads: make(Loads)}
	if t.scope != FleetScope && t.asked == t.self.Address {
		summary.add(t.own)
	}
	for _, known := range t.nodes {
		if known.report.Asks {
			summary.add(known.report)
		}
	}
	return summary
}

func (t *Tree) listeners() []string {
	told := make(map[string]bool)
	for _, addresses := range t.zones {
		for _, address := range addresses[:min(backups, len(addresses))] {
			told[address] = true
		}
		told[addresses[t.told%uint64(len(addresses))]] = true
	}
	heard := slices.Sorted(maps.Keys(t.others))
	for _, address := range heard[:min(len(heard), backups*len(t.zones))] {
		told[address] = true
	}
	delete(told, t.self.Address)
	return slices.Sorted(maps.Keys(told))
}

func (s *Summary) add(report Report) {
	s.Loads.Add(report.Loads, 1)
	if report.Backlog > 0 {
		s.Backlogs = append(s.Backlogs, Backlog{Node: report.Life, Items: report.Backlog})
	}
}

// Totals gives what each node that asks this one is told.
func (t *Tree) Totals(summary Summary, now time.Time) map[string]Total {
	t.expire(now)
	sum := t.everything(summary)
	if t.scope == FleetScope { // a node that knows no other yet asks: it is told of all that report here
		reports := t.heardDirectly()
		reports.add(t.own)
		sum = t.everything(reports)
	}
	totals := make(map[string]Total, len(t.nodes))
	for address, known := range t.nodes {
		if !known.report.Asks {
			continue
		}
		totals[address] = Total{Life: known.report.Life, Included: known.report.Sequence, Loads: sum.Loads, Backlogs: sum.Backlogs}
	}
	return totals
}

// everything adds the other aggregators' sums to one.
func (t *Tree) everything(summary Summary) Total {
	sum := Total{Loads: make(Loads), Backlogs: slices.Clone(summary.Backlogs)}
	sum.Loads.Add(summary.Loads, 1)
	for _, known := range t.others {
		sum.Loads.Add(known.summary.Loads, 1)
		sum.Backlogs = append(sum.Backlogs, known.summary.Backlogs...)
	}
	return sum
}
