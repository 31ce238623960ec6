// Package propertytest runs a package's property tests with the same cases each
// time. It is for tests only.
package propertytest

import (
	"flag"
	"strconv"
)

// Defaults are what holds unless the flags -rapid.seed, -rapid.checks and
// -rapid.steps say otherwise. 0 leaves the library's own.
type Defaults struct {
	Seed   int
	Checks int // Cases a property.
	Steps  int // Most actions a case of a state machine.
}

// Set sets the defaults. It must be called before the flags are parsed, first in
// TestMain, and panics when the test does not link the property tests.
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
