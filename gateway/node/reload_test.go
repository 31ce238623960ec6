package node_test

import (
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// reloadRepeatedly sends SIGHUP several times, each after a change. The processes of all tests
// that run receive it.
func reloadRepeatedly(t *testing.T, change func(n int)) {
	// Keeps the signal from ending the test while no process runs that expects it.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for n := range 6 {
		change(n)
		require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		time.Sleep(silence / 5)
	}
}

// A reload of the settings must end nothing, also while endpoints are silent, and whether
// the settings have changed or can't be read.
func TestReloadsUnderLoadEndNoRequest(t *testing.T) {
	h := newHarness(t)
	h.registerSilent()
	h.run()
	h.waitUntilKnown(plainPath)
	settings, err := os.ReadFile(h.vm.SettingsPath)
	require.NoError(t, err)
	check := h.startEveryKind(t)
	later := make(chan func(), 1)
	reloadRepeatedly(t, func(n int) {
		switch n {
		case 1:
			h.vm.SetBound(t, "retry_slack", 0)
		case 2:
			require.NoError(t, os.WriteFile(h.vm.SettingsPath, []byte("no settings"), 0o600))
			later <- h.startEveryKind(t)
		case 4:
			require.NoError(t, os.WriteFile(h.vm.SettingsPath, settings, 0o600))
		}
	})
	check()
	(<-later)()
}
