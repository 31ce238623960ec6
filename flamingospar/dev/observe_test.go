package dev

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/base/invariant"
	"flamingospar.org/base/netx"
	"flamingospar.org/entry/observe"
	"flamingospar.org/standin/memnet"
)

// TestAnyEntryExplainsAndReconciles sends requests through one entry and
// queries another, which must explain and reconcile them too.
func TestAnyEntryExplainsAndReconciles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		invariant.SetPanicOnViolation(true)
		network := memnet.New(testLatency)
		ctx, cancel := context.WithCancel(t.Context())
		system, err := Start(ctx, Options{
			Fleet:          "shedline",
			Listen:         "entry:80",
			OperatorListen: "entry:81",
			Entries:        2,
			Network:        devNetwork{network.Host("dev")},
			UsageWindow:    10 * time.Second,
		})
		require.NoError(t, err)
		client := netx.HTTP1Client(network.Host("client"))
		defer func() {
			client.CloseIdleConnections()
			cancel()
			system.Wait()
			time.Sleep(5 * time.Minute)
		}()

		body := `{"model":"assessment","max_tokens":8,"messages":[{"role":"user","content":"hello"}]}`
		response := post(t, client, system.Entries[0].URL+"/v1/chat/completions", system.Keys[0].Key, body)
		response.Body.Close()
		id := response.Header.Get("X-Request-Id")
		unknown := post(t, client, system.Entries[0].URL+"/v1/chat/completions", system.Keys[1].Key, `{"model":"none","messages":[{"role":"user","content":"x"}]}`)
		unknown.Body.Close()

		var explained observe.Explanation
		get(t, client, system.Entries[1].OperatorURL+"/v1/explain?request="+id, &explained)
		require.Empty(t, explained.Unreachable)
		var parts []string
		for _, event := range explained.Events {
			parts = append(parts, event.Part)
		}
		require.Subset(t, parts, []string{"entry/choose", "entry/dispatch", "entry/pipeline", "agent/pipeline"})

		get(t, client, system.Entries[1].OperatorURL+"/v1/explain?team="+system.Keys[1].Team, &explained)
		require.Equal(t, "model_unknown", explained.Events[len(explained.Events)-1].Code)

		time.Sleep(40 * time.Second)
		var reconciliation observe.Reconciliation
		get(t, client, system.Entries[1].OperatorURL+"/v1/usage/reconcile", &reconciliation)
		require.Len(t, reconciliation.Lines, 1)
		line := reconciliation.Lines[0]
		require.Empty(t, line.Explanations)
		require.Equal(t, int64(8), line.Agents.OutputTokens)
		require.Equal(t, line.Agents, line.Entries)
		require.Equal(t, line.Agents, line.Sealed)
		require.Equal(t, line.Agents, line.Reported)

		var status observe.Status
		get(t, client, system.Entries[1].OperatorURL+"/v1/status", &status)
		require.Len(t, status.Entries, 2)
		require.Empty(t, status.Problems)
	})
}

func get(t *testing.T, client *http.Client, url string, into any) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	require.NoError(t, err)
	response, err := client.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.NoError(t, json.NewDecoder(response.Body).Decode(into))
}
