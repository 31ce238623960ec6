package crash_test

import (
	"os"
	"testing"

	"flamingospar.org/core/propertytest"
)

// TestMain fixes the seed of the drawn cases unless one is given.
func TestMain(m *testing.M) {
	propertytest.Set(propertytest.Defaults{Seed: 1})
	os.Exit(m.Run())
}
