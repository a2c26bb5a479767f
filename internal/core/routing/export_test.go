package routing

// MatchAll returns the matched blocks of every candidate, for tests.
func (p *PrefixIndex) MatchAll(prefix []uint64, candidates []Candidate) []int {
	var scratch Scratch
	for i := range candidates {
		scratch.entries = append(scratch.entries, Entry{Index: i})
	}
	p.match(prefix, candidates, &scratch)
	blocks := make([]int, len(candidates))
	for i := range scratch.entries {
		blocks[i] = scratch.entries[i].Blocks
	}
	return blocks
}
