package config_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingospar.org/base/logging"
	"flamingospar.org/gateway/config"
	"flamingospar.org/platform/site/sitetest"
)

// Guards against: a configuration that is odd in the same way in each of its versions wrote
// a line for each, with values of any size.
func TestInvalidConfigurationIsLoggedOnceAReason(t *testing.T) {
	lines := 0
	logging.SetSink(func(_, message string, err error, _ []any) {
		if err != nil {
			lines++
			require.Less(t, len(err.Error()), 300, message)
		}
	})
	defer logging.SetSink(func(string, string, error, []any) {})
	var h config.Holder
	h.UpdateIfNewer(sitetest.Manifest(1, []string{"key"}, sitetest.Route{Name: "plain", Kind: "idempotent", Service: "plain"}), "the store")
	for i := range 50 {
		h.UpdateIfNewer(fmt.Appendf(nil, `{"version":1%s%d}`, strings.Repeat("0", 60_000), i), "the store")
	}
	require.Equal(t, 1, lines)
	require.EqualValues(t, 1, h.Version())
}
