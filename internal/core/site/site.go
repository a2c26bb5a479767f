// Package site decides at which of the two sites a request runs, by a threshold
// on a stable hash of the request's key. It does no I/O and keeps no state.
package site

import "github.com/cespare/xxhash/v2"

// Site is one of the two sites, as seen from this one.
type Site uint8

// The sites. The zero value is this site, so that work without a site runs here.
const (
	Here  Site = iota // the new site, which this node belongs to
	Other             // the old site
)

// String returns the label used in records, logs and metrics.
func (s Site) String() string {
	if s == Other {
		return "other"
	}
	return "here"
}

// Choose returns the site of a key when share (0 to 1) of the keys run here. The
// result depends on nothing else, so it is the same on every node. Raising the share
// from a to b moves exactly the keys whose position lies in [a, b).
func Choose(key string, share float64) Site {
	if Position(key) < share {
		return Here
	}
	return Other
}

// Position returns the key's fixed position in [0, 1).
func Position(key string) float64 {
	const bits = 53 // a float64 holds this many exactly
	return float64(xxhash.Sum64String(key)>>(64-bits)) / (1 << bits)
}
