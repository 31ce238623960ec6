package config_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/config"
	"flamingospar.org/platform/site/sitetest"
)

// Services of former configurations may have begun streams that are taken up.
func TestFormerServicesOfARoute(t *testing.T) {
	h := &config.Holder{}
	manifest := func(version int, service string) []byte {
		return sitetest.Manifest(version, []string{"key"}, sitetest.Route{Name: "r", Kind: "stream", Service: service})
	}
	h.UpdateIfNewer(manifest(1, "plain"), "test")
	require.Empty(t, h.FormerServices("h.example", "/r/x"))
	h.UpdateIfNewer(manifest(2, "model"), "test")
	require.Equal(t, []string{"plain"}, h.FormerServices("h.example", "/r/x"))
	require.Empty(t, h.FormerServices("h.example", "/other/x"))
	h.UpdateIfNewer(manifest(3, "plain"), "test")
	require.Equal(t, []string{"model", "plain"}, h.FormerServices("h.example", "/r/x"))
}
