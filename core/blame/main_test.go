package blame_test

import (
	"os"
	"testing"

	"flamingospar.org/core/propertytest"
)

// TestMain fixes the seed of the property tests unless -rapid.seed sets another.
func TestMain(m *testing.M) {
	propertytest.Set(propertytest.Defaults{Seed: 1})
	os.Exit(m.Run())
}
