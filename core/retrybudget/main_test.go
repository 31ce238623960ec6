package retrybudget_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the drawn cases unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}
