package duties

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against: a row with an odd key among the sealed windows kept usage from being
// reported, and odd counts made the sum of a window wrong.
func TestOddRowsDoNotEndTheReports(t *testing.T) {
	f := newFixture(t)
	r := f.reporter("a")
	window := windowAt(f.now, windowLength)
	f.writeCounts(t, "a/1", window, 5)
	for _, key := range []string{"", "odd", "99999999999999999999", windowKey(window) + "/odd", "1"} {
		f.fakeStore.PutRaw(tableSealed, key, []byte("odd"))
	}
	for key, value := range map[string]string{"/odd-1": "", "/odd-2": `{"began":{"team":-7}}`, "/odd-3": `{"began":{"team":1e30}}`, "/odd-4": `{"began":7}`, "/odd-5": `null`} {
		f.fakeStore.PutRaw(tableCounts, windowKey(window)+key, []byte(value))
	}
	f.now = f.now.Add(windowLength + sealDelay)
	r.Lease.Step(t.Context())
	f.reportDue(r)
	reports := f.reportsFor(window)
	require.Len(t, reports, 1)
	require.Equal(t, map[string]int64{"team": 5}, reports[0].Counts)
}
