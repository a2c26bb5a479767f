package enginechoice

// State is the state of an engine, which decides whether it accepts new work.
type State uint8

// The states of an engine.
const (
	// Ready engines accept new work.
	Ready State = iota
	// Leaving engines have announced their shutdown or lost their entry. They accept no
	// new work.
	Leaving
	// Unlisted engines lost their entry while the list could not be trusted. They are
	// used until ExpireUnlisted.
	Unlisted
	// Withheld engines have an entry that does not name a usable engine. They accept no
	// new work until it does, and are not expected to end.
	Withheld
	// Ended engines have restarted under their ID without announcement. The requests of
	// the former incarnation are lost.
	Ended
)

// Usable reports whether an engine in the state accepts new work.
func (s State) Usable() bool { return s == Ready || s == Unlisted }

// String returns the state's name for logs.
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
