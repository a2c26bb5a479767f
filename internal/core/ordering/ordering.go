// Package ordering holds comparisons that the standard library's package cmp
// lacks. It owns no state.
package ordering

// FalseFirst compares two booleans like cmp.Compare, with false before true.
func FalseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
