package command_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingospar.org/flamingospar/command"
	"flamingospar.org/platform/site/sitetest"
)

// A settings file is checked without starting anything: what is wrong is named
// with its file and field.
func TestGatewayChecksItsSettings(t *testing.T) {
	vm := sitetest.NewVM(t, "vm-1", "dc-1", "127.0.0.1:1", "127.0.0.1:2")
	var out, errs bytes.Buffer
	require.Zero(t, command.Run([]string{"gateway", "--check", "--settings", vm.Settings}, &out, &errs), errs.String())
	require.Contains(t, out.String(), "vm-1")

	text, err := os.ReadFile(vm.Settings)
	require.NoError(t, err)
	broken := filepath.Join(t.TempDir(), "broken.toml")
	require.NoError(t, os.WriteFile(broken, bytes.Replace(text, []byte("ready"), []byte("unready"), 1), 0o600))
	require.NotZero(t, command.Run([]string{"gateway", "--check", "--settings", broken}, &out, &errs))
	require.Contains(t, errs.String(), broken)
	require.Contains(t, errs.String(), "listen.ready")
}
