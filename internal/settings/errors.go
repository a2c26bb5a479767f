package settings

import (
	"fmt"
	"strings"
)

// OriginKind is the kind of source that set a key.
type OriginKind string

// The kinds of origins. Each overrides the ones before it.
const (
	FromDefault     OriginKind = "default"
	FromFile        OriginKind = "file"
	FromEnvironment OriginKind = "environment"
	FromFlag        OriginKind = "flag"
)

// Origin identifies the source of a value.
type Origin struct {
	Kind OriginKind
	// Name is the file, the environment variable or the flag.
	Name string
	Line int // line number, for files only
}

// String returns the origin as error messages and `config print` show it.
func (o Origin) String() string {
	switch o.Kind {
	case FromFile:
		if o.Line == 0 {
			return o.Name
		}
		return fmt.Sprintf("%s:%d", o.Name, o.Line)
	case FromEnvironment:
		return "environment " + o.Name
	case FromFlag:
		return "flag --" + o.Name
	default:
		return string(FromDefault)
	}
}

// Error is one invalid setting, with its origin, key, value and allowed values.
type Error struct {
	Origin  Origin
	Key     string
	Value   string
	Problem string // set if the fault is not in the value ("unknown key")
	Allowed string
}

// Error implements error.
func (e *Error) Error() string {
	var text strings.Builder
	if e.Origin.Kind != FromDefault {
		fmt.Fprintf(&text, "%s: ", e.Origin)
	}
	if e.Key != "" {
		fmt.Fprintf(&text, "%s: ", e.Key)
	}
	switch {
	case e.Problem != "":
		text.WriteString(e.Problem)
	case e.Value == "":
		text.WriteString("a value is required")
	default:
		fmt.Fprintf(&text, "%q is not allowed", e.Value)
	}
	if e.Allowed != "" {
		fmt.Fprintf(&text, "; allowed: %s", e.Allowed)
	}
	if e.Value == "" && e.Problem == "" && e.Key != "" {
		fmt.Fprintf(&text, "; set it in the file, by %s or by --%s", Field{Key: e.Key}.Environment(), e.Key)
	}
	return text.String()
}

const (
	maxSuggestionDistance = 3  // edit distance between a misspelled key and the suggested one
	maxListedKeys         = 16 // an error lists the known keys up to this number
)

// unknownKey returns the error for a key that the section does not have.
func unknownKey(origin Origin, key, name string, known []string) *Error {
	failure := &Error{Origin: origin, Key: key, Problem: "unknown key"}
	if nearest, ok := suggest(name, known); ok {
		failure.Problem = fmt.Sprintf("unknown key; did you mean %q?", nearest)
	}
	if len(known) <= maxListedKeys {
		failure.Allowed = strings.Join(known, ", ")
	}
	return failure
}

func suggest(name string, known []string) (string, bool) {
	best, found := maxSuggestionDistance+1, ""
	for _, candidate := range known {
		if distance := editDistance(name, candidate); distance < best {
			best, found = distance, candidate
		}
	}
	return found, found != "" && best < len(name)
}

// editDistance returns the Levenshtein distance.
func editDistance(a, b string) int {
	previous := make([]int, len(b)+1)
	for j := range previous {
		previous[j] = j
	}
	for i := range len(a) {
		current := make([]int, len(b)+1)
		current[0] = i + 1
		for j := range len(b) {
			substitute := previous[j]
			if a[i] != b[j] {
				substitute++
			}
			current[j+1] = min(substitute, previous[j+1]+1, current[j]+1)
		}
		previous = current
	}
	return previous[len(b)]
}
