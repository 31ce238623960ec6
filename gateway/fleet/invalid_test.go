package fleet_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/base/logging"
	"flamingospar.org/gateway/fleet"
	"flamingospar.org/platform/site/sitetest"
)

const (
	// largeRowBytes is the size of the largest value that the store accepts.
	largeRowBytes = 64 << 10
	// maxExchangeBytes is what a process accepts from another in one exchange.
	maxExchangeBytes = 8 << 20
)

// withModels returns a row with a list of models that makes it as large as rows may be.
func withModels(row []byte) []byte {
	text := strings.TrimSuffix(string(row), "}")
	filler := "[]" + strings.Repeat(",[]", (largeRowBytes-len(text))/3-10)
	return []byte(text + `,"models":[` + filler + `]}`)
}

// Guards against: rows of the largest size that another writer left made the rows of a
// process too large for an exchange, and processes without the store got none.
func TestLargeRowsFitIntoAnExchange(t *testing.T) {
	const rows = 100
	first, second := fleet.New(time.Now), fleet.New(time.Now)
	changes := fleet.Changes{Version: 2 * rows, Snapshot: true}
	for i := range rows {
		odd := []byte(strings.Repeat("[", largeRowBytes))
		whole := withModels(sitetest.EndpointRow(1, 1, false))
		changes.Rows = append(changes.Rows, fleet.Row{Key: fmt.Sprint("odd", i), Version: int64(i + 1), Value: odd}, fleet.Row{Key: fmt.Sprint("e", i), Version: int64(rows + i + 1), Value: whole})
	}
	first.Apply(changes)
	sent := 0
	for _, row := range first.ChangesSince(second.Position()).Rows {
		sent += len(row.Key) + len(row.Value)
	}
	require.Less(t, sent, maxExchangeBytes)
	sendChanges(first, second)
	require.Equal(t, rows, first.InvalidRows())
	require.Equal(t, rows, second.InvalidRows())
	known, ok := first.Get("e7")
	require.True(t, ok)
	passedOn, ok := second.Get("e7")
	require.True(t, ok)
	require.Equal(t, known, passedOn)
}

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
	apply("", false)
	require.Equal(t, 1, f.InvalidRows())
	apply("nonsense", false)
	require.Equal(t, 2, lines)
	apply("", true)
	require.Zero(t, f.InvalidRows())
}
