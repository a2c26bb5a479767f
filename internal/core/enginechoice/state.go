package enginechoice

// State says whether an engine takes new work.
type State uint8

// The states of an engine.
const (
	Ready   State = iota
	Leaving       // told so, or its entry went: takes no new work
	// Unlisted engines lost their entry while the list could not be trusted;
	// they are used until ExpireUnlisted.
	Unlisted
	// Withheld engines have an entry that names no engine to use: they take no new
	// work until it does, and are not expected to end.
	Withheld
	// Ended engines have started again under their id without a word before: what ran
	// there is over.
	Ended
)

// Usable says whether an engine in the state takes new work.
func (s State) Usable() bool { return s == Ready || s == Unlisted }

// String gives the state's name for logs.
func (s State) String() string {
	switch s {
	case Leaving:
		return "leaving"
	case Unlisted:
		return "unlisted"
	case Withheld:
		return "withheld"
	case Ended:
		return "ended"
	default:
		return "ready"
	}
}
