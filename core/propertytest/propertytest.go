// Package propertytest sets defaults for a package's property tests, so that each
// run checks the same cases. It is for use in tests only.
package propertytest

import (
	"flag"
	"strconv"
)

// Defaults are the values of the flags -rapid.seed, -rapid.checks and
// -rapid.steps when the command line does not set them. 0 keeps the default of
// the rapid library.
type Defaults struct {
	Seed   int
	Checks int // Cases per property.
	Steps  int // Average number of actions per case of a state machine.
}

// Set sets the defaults. It must be called at the start of TestMain, before the
// flags are parsed. It panics if the test binary does not link the rapid library.
func Set(d Defaults) {
	set("rapid.seed", d.Seed)
	set("rapid.checks", d.Checks)
	set("rapid.steps", d.Steps)
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		panic(err)
	}
}

func set(name string, value int) {
	if value == 0 {
		return
	}
	if err := flag.Set(name, strconv.Itoa(value)); err != nil {
		panic(err)
	}
}
