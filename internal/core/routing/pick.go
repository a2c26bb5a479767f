package routing

// Picker chooses one of the scored entries, of which there is at least one. Pick
// returns an index into entries.
type Picker interface {
	Pick(request *Request, candidates []Candidate, entries []Entry, random Random) int
}

// Cheapest picks the entry with the lowest cost and breaks ties at random. Nodes
// with the same stale reports choose the same engine, so it is only a baseline.
type Cheapest struct{}

// Pick implements Picker.
func (Cheapest) Pick(_ *Request, _ []Candidate, entries []Entry, random Random) int {
	return cheapest(entries, int(random.Uint64()%uint64(len(entries)))) //nolint:gosec // bounded by the length
}

// PowerOfChoices draws Choices entries at random, adds the entry with the
// longest cached prefix, and picks the cheapest of these.
type PowerOfChoices struct{ Choices int }

// Pick implements Picker.
func (p PowerOfChoices) Pick(_ *Request, _ []Candidate, entries []Entry, random Random) int {
	best := longestPrefix(entries)
	for range max(p.Choices, 1) {
		drawn := int(random.Uint64() % uint64(len(entries))) //nolint:gosec // bounded by the length
		if best < 0 || entries[drawn].Cost < entries[best].Cost {
			best = drawn
		}
	}
	return best
}

// cheapest returns the index of the entry with the lowest cost. Among equal
// entries it is the first one at or after start, wrapping around.
func cheapest(entries []Entry, start int) int {
	best := start
	for step := 1; step < len(entries); step++ {
		i := (start + step) % len(entries)
		if entries[i].Cost < entries[best].Cost {
			best = i
		}
	}
	return best
}

// longestPrefix returns the index of the cheapest entry among those with the
// longest cached prefix, or -1 if no entry has a cached prefix.
func longestPrefix(entries []Entry) int {
	best := -1
	for i := range entries {
		if entries[i].Blocks == 0 {
			continue
		}
		if best < 0 || entries[i].Blocks > entries[best].Blocks ||
			(entries[i].Blocks == entries[best].Blocks && entries[i].Cost < entries[best].Cost) {
			best = i
		}
	}
	return best
}
