package quarantine

// fullWeight is the weight of a crash that counts in full. It is divisible by all numbers up
// to 16, so that a sum of fractions does not depend on the order of addition.
const fullWeight = 720720

// toWeight converts a number of engines to a weight.
func toWeight(engines float64) int { return int(engines * fullWeight) }

// evaluation weighs the crashes of one state of a ledger and caches intermediate results. It is
// replaced by a new evaluation when the ledger changes.
type evaluation struct {
	*Ledger
	endedNearby          map[uint64][]uint64 // by engine: others that ended within WaveWindow of it
	unexplainedStrengths map[Digest]int      // by content: cached unexplainedStrength
	explanations         map[uint64]bool     // by engine: cached isExplained
	strengths            map[Digest]int
}

func newEvaluation(ledger *Ledger) *evaluation {
	return &evaluation{
		Ledger: ledger, endedNearby: make(map[uint64][]uint64), unexplainedStrengths: make(map[Digest]int),
		explanations: make(map[uint64]bool), strengths: make(map[Digest]int),
	}
}

// evidence returns the sum of the weights of a content's crashes. It counts only engines at
// which no other content is a likelier cause.
func (j *evaluation) evidence(content Digest) int {
	sum := 0
	for engine, known := range j.contents[content].crashes {
		if !known.excused && j.isLikeliestCause(content, engine) {
			sum += j.crashWeight(content, engine, j.isExplained)
		}
	}
	return sum
}

// isLikeliestCause reports whether no other content that ran at an engine is likelier to have
// crashed it. Items are no cause.
func (j *evaluation) isLikeliestCause(content Digest, engine uint64) bool {
	strength := j.strength(content)
	for other := range j.engines[engine].contents {
		if other == content || other.IsItem() || j.contents[other].crashes[engine].excused {
			continue
		}
		otherStrength := j.strength(other)
		if otherStrength > strength || (otherStrength == strength && strength < toWeight(j.config.CrashesToBlockPair)) {
			return false
		}
	}
	return true
}

// strength returns the evidence against a content without regard to other contents that ran
// at the same engines.
func (j *evaluation) strength(content Digest) int {
	strength, known := j.strengths[content]
	if !known {
		strength = j.sumWeights(content, j.isExplained)
		j.strengths[content] = strength
	}
	return strength
}

// sumWeights adds up the weights of a content's crashes that are not excused.
func (j *evaluation) sumWeights(content Digest, isExplained func(uint64) bool) int {
	sum := 0
	for engine, known := range j.contents[content].crashes {
		if !known.excused {
			sum += j.crashWeight(content, engine, isExplained)
		}
	}
	return sum
}

// crashWeight returns the weight of one engine's crash as evidence against a content. The weight
// is lower when several other engines that did not run the content ended at the same time
// and their ends are not explained, as when a rack loses power.
func (j *evaluation) crashWeight(content Digest, engine uint64, isExplained func(uint64) bool) int {
	unrelated := 0
	for _, other := range j.endedNear(engine) {
		if !j.engines[other].contents[content] && !isExplained(other) {
			unrelated++
		}
	}
	return fullWeight / max(unrelated, 1)
}

// endedNear returns the other engines that ended within WaveWindow of an engine's end.
func (j *evaluation) endedNear(engine uint64) []uint64 {
	near, known := j.endedNearby[engine]
	if known {
		return near
	}
	ended := j.engines[engine].endedAt
	for other, record := range j.engines {
		if other != engine && record.endedAt.Sub(ended).Abs() <= j.config.WaveWindow {
			near = append(near, other)
		}
	}
	j.endedNearby[engine] = near
	return near
}

// isExplained reports whether an engine's end is explained by a content that has crashed other
// engines too. Crashes that are part of a wave count less here: otherwise long requests that
// are hit by several waves would explain those waves. Items explain nothing.
func (j *evaluation) isExplained(engine uint64) bool {
	explained, known := j.explanations[engine]
	if known {
		return explained
	}
	for content := range j.engines[engine].contents {
		if !content.IsItem() && j.contents[content].unexcusedCrashes() >= j.config.CrashesToExplain && j.unexplainedStrength(content) >= toWeight(j.config.EvidenceToExplain) {
			explained = true
			break
		}
	}
	j.explanations[engine] = explained
	return explained
}

// unexplainedStrength returns the strength of a content under the assumption that no engine's
// end is explained.
func (j *evaluation) unexplainedStrength(content Digest) int {
	strength, known := j.unexplainedStrengths[content]
	if !known {
		strength = j.sumWeights(content, func(uint64) bool { return false })
		j.unexplainedStrengths[content] = strength
	}
	return strength
}
