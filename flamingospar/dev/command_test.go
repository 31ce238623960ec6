package dev_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/core/catalogue"
	"flamingospar.org/core/config"
	"flamingospar.org/entry/observe"
	"flamingospar.org/entry/operator"
	"flamingospar.org/flamingospar/command"
	"flamingospar.org/flamingospar/dev"
	"flamingospar.org/standin/memnet"
)

// commandLine runs operator commands against one system.
type commandLine struct {
	t       *testing.T
	network *memnet.Network
	system  *dev.System
}

func (s commandLine) run(args ...string) (int, string, string) {
	s.t.Helper()
	var stdout, stderr bytes.Buffer
	if args[0] != "version" && !(args[0] == "catalogue" && args[1] == "check") {
		args = append(args, "--operator", s.system.OperatorURL)
	}
	code := command.RunOn(s.t.Context(), s.network.Host("operator"), args, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

func (s commandLine) mustRun(args ...string) string {
	s.t.Helper()
	code, stdout, stderr := s.run(args...)
	require.Zero(s.t, code, "%v: %s", args, stderr)
	return stdout
}

func TestOperatorCommandLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(dev.TestLatency)
		system, client := dev.StartTestSystemOn(t, network, "trust")
		sh := commandLine{t: t, network: network, system: system}
		file := filepath.Join(t.TempDir(), "catalogue.toml")
		write := func(text string) { require.NoError(t, os.WriteFile(file, []byte(text), 0o600)) }

		shown := sh.mustRun("catalogue", "show")
		write(shown)
		sh.mustRun("catalogue", "check", file)
		require.Equal(t, 1, strings.Count(sh.mustRun("catalogue", "diff", file), "\n"), "shown catalogue differs from the current one")

		write(strings.Replace(shown, "weight = 4.0", "weight = 5.0", 1))
		var differences []catalogue.Difference
		require.NoError(t, json.Unmarshal([]byte(sh.mustRun("catalogue", "diff", file, "--output", "json")), &differences))
		require.Equal(t, []catalogue.Difference{{Section: "teams", Entry: "notices", Field: "weight", Old: "4", New: "5"}}, differences)

		var applied operator.RevisionResponse
		require.NoError(t, json.Unmarshal([]byte(sh.mustRun("catalogue", "apply", file, "--base", "9", "-o", "json")), &applied))
		require.Equal(t, config.Revision(10), applied.Revision)
		code, _, stderr := sh.run("catalogue", "apply", file, "--base", "9")
		require.Equal(t, 1, code)
		require.Contains(t, stderr, "another change was accepted first")

		write(strings.Replace(shown, `owner = 'claims'`, `owner = 'nobody'`, 1))
		code, _, stderr = sh.run("catalogue", "apply", file)
		require.Equal(t, 1, code)
		require.Contains(t, stderr, "is no team")
		sh.mustRun("catalogue", "rollback", "--to", "1")
		require.Contains(t, sh.mustRun("catalogue", "show"), "weight = 4.0")
		require.Equal(t, 12, strings.Count(sh.mustRun("catalogue", "history"), "\n"))
		requireKeyLifecycle(t, sh, client)

		code, _, _ = sh.run("catalogue", "check", filepath.Join(t.TempDir(), "missing.toml"))
		require.Equal(t, 2, code)
		var status observe.Status
		require.NoError(t, json.Unmarshal([]byte(sh.mustRun("status", "-o", "json")), &status))
		require.True(t, status.Entries[0].Ready)
		endpoints := 0
		for _, group := range status.DataCentres {
			endpoints += group.Ready
		}
		require.Equal(t, 30, endpoints)
		require.Contains(t, sh.mustRun("version"), command.Version)
	})
}

// requireKeyLifecycle issues a key, uses it, withdraws it and checks that it is then
// refused.
func requireKeyLifecycle(t *testing.T, sh commandLine, client *http.Client) {
	t.Helper()
	var issued operator.KeyResponse
	require.NoError(t, json.Unmarshal([]byte(sh.mustRun("key", "issue", "parents", "-o", "json")), &issued))
	code, _, stderr := sh.run("key", "issue", "strangers")
	require.Equal(t, 1, code)
	require.Contains(t, stderr, "no team")
	list := sh.mustRun("key", "list")
	require.Contains(t, list, issued.ID)
	require.NotContains(t, list+sh.mustRun("catalogue", "history", "-o", "json"), string(config.HashKey(issued.Key)))
	require.NotContains(t, list, issued.Key)
	require.Equal(t, http.StatusOK, modelsStatus(t, sh, client, issued.Key))
	sh.mustRun("key", "withdraw", issued.ID)
	time.Sleep(3 * time.Second)
	require.Equal(t, http.StatusUnauthorized, modelsStatus(t, sh, client, issued.Key))
	code, _, _ = sh.run("key", "withdraw", issued.ID)
	require.Equal(t, 1, code)
}

func modelsStatus(t *testing.T, sh commandLine, client *http.Client, key string) int {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, sh.system.URL+"/v1/models", nil)
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := client.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	return response.StatusCode
}
