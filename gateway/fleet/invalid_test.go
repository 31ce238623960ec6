package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/base/logging"
	"flamingospar.org/gateway/fleet"
)

// Guards against: a row that is odd in the same way in each of its versions wrote a line a
// second.
func TestInvalidRowIsLoggedOnceAReason(t *testing.T) {
	lines := 0
	logging.SetSink(func(_, message string, _ error, _ []any) {
		if message == "An invalid endpoint row was ignored." {
			lines++
		}
	})
	defer logging.SetSink(func(string, string, error, []any) {})
	f := fleet.New(time.Now)
	version := int64(0)
	apply := func(value string, deleted bool) {
		version++
		f.Apply(fleet.Changes{Rows: []fleet.Row{{Key: "odd", Version: version, Value: []byte(value), Deleted: deleted}}, Version: version})
	}
	for i := range 50 {
		apply(fmt.Sprintf(`{"service":"s","addr":"10.1.0.9:%d"}`, 70_000+i), false)
	}
	require.Equal(t, 1, lines)
	apply("nonsense", false)
	require.Equal(t, 2, lines)
	require.Equal(t, 1, f.InvalidRows())
	apply("", true)
	require.Zero(t, f.InvalidRows())
}
