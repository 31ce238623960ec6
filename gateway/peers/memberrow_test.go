package peers

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// Guards against: an odd row of the list took the place of a process that is listed, or
// counted as one more.
func TestOddRowsOfTheListDescribeNoProcess(t *testing.T) {
	store := sitetest.NewStore(t)
	c := New(member("a", "1"), nil, site.NewStore(store.Address, http.DefaultClient), &fakeState{})
	applyChange(t, c, member("b", "1"))
	require.Equal(t, 2, c.Size())
	row := func(vm, address, instance string) string {
		return fmt.Sprintf(`{"vm":%q,"address":%q,"data_centre":"dc-1","instance":%q}`, vm, address, instance)
	}
	for _, value := range []string{
		"", "null", "[]", "\x00\xff", strings.Repeat("[", 64<<10), row("b", "127.0.0.1:2", "b/2"), row("a", "127.0.0.1:2", "a/2"), row("", "127.0.0.1:2", "x"),
		row("odd", "127.0.0.1:70000", "odd/1"), row("odd", "127.0.0.1:0", "odd/1"), row("odd", "host", "odd/1"), row("odd", "", "odd/1"), row("odd", "127.0.0.1:2", ""),
		row("odd", "127.0.0.1:2", strings.Repeat("x", 201)), `{"vm":"odd","address":7,"instance":"odd/1"}`,
	} {
		c.ApplyList(site.Page{Era: 2, Rows: []site.Row{{Key: "odd", Value: []byte(value)}}}, false)
		require.Equal(t, 2, c.Size(), "%.60q", value)
		require.Equal(t, member("b", "1"), c.members["b"].Member, "%.60q", value)
	}
	applyChange(t, c, member("odd", "1"))
	require.Equal(t, 3, c.Size())
}
