// Package seedtest has property tests draw the same values at every run, so
// that a commit's verdict is the same on every machine. Test files of packages
// that use rapid import it for this effect alone. Other values are drawn by
// `make search`, whose flag goes before the seed set here.
package seedtest

import (
	"flag"

	_ "pgregory.net/rapid" // defines the flag
)

const (
	flagName = "rapid.seed"
	seed     = "20261202"
)

func init() {
	if err := flag.Set(flagName, seed); err != nil {
		panic("seedtest: rapid has no flag " + flagName + ": " + err.Error())
	}
}
