package quarantine

// whole is the weight of an engine's end that counts in full: divisible by all numbers up
// to 16, so that sums of parts are the same in any order.
const whole = 720720

// weightOf gives a number of engines as a weight.
func weightOf(engines float64) int { return int(engines * whole) }

// judgement weighs the crashes of a ledger as they are. What it has worked out it keeps,
// until the ledger changes and another judgement takes its place.
type judgement struct {
	*Ledger
	near      map[uint64][]uint64 // engines that ended at the same time, by engine
	alone     map[Digest]int      // strength of contents, where no end is explained
	explains  map[uint64]bool     // whether an engine's end has a cause that shows
	strengths map[Digest]int
}

func newJudgement(ledger *Ledger) *judgement {
	return &judgement{
		Ledger: ledger, near: make(map[uint64][]uint64), alone: make(map[Digest]int),
		explains: make(map[uint64]bool), strengths: make(map[Digest]int),
	}
}

// evidence is how many engines a content has ended: those at which no other content is
// likelier to have, each for what it weighs.
func (j *judgement) evidence(content Digest) int {
	sum := 0
	for engine, known := range j.contents[content].marks {
		if !known.excused && j.leads(content, engine) {
			sum += j.weight(content, engine, j.explained)
		}
	}
	return sum
}

// leads says whether no other content that ran at an engine is likelier to have ended it.
func (j *judgement) leads(content Digest, engine uint64) bool {
	strength := j.strength(content)
	for other := range j.engines[engine].contents {
		if other == content || j.contents[other].marks[engine].excused {
			continue
		}
		against := j.strength(other)
		if against > strength || (against == strength && strength < weightOf(j.config.CrashesOfPair)) {
			return false
		}
	}
	return true
}

// strength is the evidence against a content by itself.
func (j *judgement) strength(content Digest) int {
	strength, known := j.strengths[content]
	if !known {
		strength = j.sum(content, j.explained)
		j.strengths[content] = strength
	}
	return strength
}

// sum adds the weights of a content's crashes.
func (j *judgement) sum(content Digest, explained func(uint64) bool) int {
	sum := 0
	for engine, known := range j.contents[content].marks {
		if !known.excused {
			sum += j.weight(content, engine, explained)
		}
	}
	return sum
}

// weight is what one engine's end tells against a content: less where several other
// engines ended at the same time without it and for no cause that shows, as when a rack
// loses power.
func (j *judgement) weight(content Digest, engine uint64, explained func(uint64) bool) int {
	without := 0
	for _, other := range j.endedNear(engine) {
		if !j.engines[other].contents[content] && !explained(other) {
			without++
		}
	}
	return whole / max(without, 1)
}

// endedNear gives the other engines that ended when one did.
func (j *judgement) endedNear(engine uint64) []uint64 {
	near, known := j.near[engine]
	if known {
		return near
	}
	ended := j.engines[engine].at
	for other, record := range j.engines {
		if other != engine && record.at.Sub(ended).Abs() <= j.config.WaveWithin {
			near = append(near, other)
		}
	}
	j.near[engine] = near
	return near
}

// explained says whether an engine's end has a cause that shows: a content that has ended
// other engines too, as far as their ends are not part of a wave. Long requests that are
// hit by several waves would else explain them.
func (j *judgement) explained(engine uint64) bool {
	explained, known := j.explains[engine]
	if known {
		return explained
	}
	for content := range j.engines[engine].contents {
		if j.contents[content].counted() >= j.config.CrashesToExplain && j.strengthAlone(content) >= weightOf(j.config.EvidenceToExplain) {
			explained = true
			break
		}
	}
	j.explains[engine] = explained
	return explained
}

// strengthAlone is the strength of a content where no end of an engine is explained.
func (j *judgement) strengthAlone(content Digest) int {
	strength, known := j.alone[content]
	if !known {
		strength = j.sum(content, func(uint64) bool { return false })
		j.alone[content] = strength
	}
	return strength
}
