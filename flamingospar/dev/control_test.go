package dev

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/core/catalogue"
	"flamingospar.org/core/orders"
	"flamingospar.org/standin/engine"
)

func callOperator(t *testing.T, client *http.Client, method, url string, body, into any) int {
	t.Helper()
	data, err := json.Marshal(body)
	require.NoError(t, err)
	request, err := http.NewRequestWithContext(t.Context(), method, url, bytes.NewReader(data))
	require.NoError(t, err)
	response, err := client.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	if into != nil {
		require.NoError(t, json.NewDecoder(response.Body).Decode(into))
	}
	return response.StatusCode
}

// TestVersionChangeInterruptsNoRequest rolls out a new model version under load.
// Engines that don't check fencing and one that crashes while it applies its
// order must not cause a refused or interrupted request.
func TestVersionChangeInterruptsNoRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		system, client := startTestSystem(t, "shedline")
		var engines []*engine.Engine
		for _, endpoint := range system.Standins.Endpoints {
			if endpoint.Model == "assessment" {
				engines = append(engines, endpoint.Engine)
			}
		}
		engines[0].Control.Configure(engine.ControlConfig{OrderDuration: 20 * time.Second, CrashOnOrder: 1, Downtime: 15 * time.Second})
		engines[1].Control.Configure(engine.ControlConfig{OrderDuration: 20 * time.Second, ChecksFencing: true})

		var served atomic.Int64
		failures := make(chan string, 1000)
		sendLoad := func() {
			for t.Context().Err() == nil && served.Load() >= 0 {
				response := post(t, client, system.URL+"/v1/chat/completions", system.Keys[0].Key,
					`{"model":"assessment","max_tokens":12,"messages":[{"role":"user","content":"hello"}]}`)
				if response.StatusCode == http.StatusOK {
					served.Add(1)
				} else {
					detail, _ := io.ReadAll(response.Body)
					failures <- string(detail)
				}
				response.Body.Close()
				time.Sleep(5 * time.Second)
			}
		}
		for range 3 {
			go sendLoad()
		}
		time.Sleep(20 * time.Second)

		var shown struct {
			Revision  int64               `json:"revision"`
			Catalogue *catalogue.Document `json:"catalogue"`
		}
		require.Equal(t, http.StatusOK, callOperator(t, client, http.MethodGet, system.OperatorURL+"/v1/catalogue", nil, &shown))
		for i := range shown.Catalogue.Models {
			if shown.Catalogue.Models[i].Name == "assessment" {
				shown.Catalogue.Models[i].Version = "2"
			}
		}
		change := map[string]any{"base": shown.Revision, "operator": "test", "catalogue": shown.Catalogue}
		var accepted struct {
			InForce bool `json:"in_force"`
		}
		require.Equal(t, http.StatusOK, callOperator(t, client, http.MethodPut, system.OperatorURL+"/v1/catalogue", change, &accepted))
		require.True(t, accepted.InForce)
		time.Sleep(7 * time.Minute)
		for i, e := range engines {
			state := e.Control.State()
			require.Equal(t, orders.State{Instance: state.Instance, Role: "mixed", Model: "assessment", Version: "2", LastOrder: state.LastOrder}, state, "engine %d", i)
			require.Empty(t, e.Control.Violations())
		}
		if len(failures) > 0 {
			t.Fatalf("%d requests refused or interrupted, first: %s", len(failures), <-failures)
		}
		require.Greater(t, served.Load(), int64(150))
		served.Store(-1 << 40)
		time.Sleep(time.Minute)
	})
}

// TestWithdrawnKeyIsRefused withdraws a key between two requests on the same
// connection; the second must be refused.
func TestWithdrawnKeyIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		system, client := startTestSystem(t, "shedline")
		body := `{"model":"assessment","max_tokens":2,"messages":[{"role":"user","content":"hello"}]}`
		before := post(t, client, system.URL+"/v1/chat/completions", system.Keys[0].Key, body)
		before.Body.Close()
		require.Equal(t, http.StatusOK, before.StatusCode)
		require.Equal(t, http.StatusOK, callOperator(t, client, http.MethodDelete, system.OperatorURL+"/v1/keys/key-dev-1?operator=test", nil, nil))
		after := post(t, client, system.URL+"/v1/chat/completions", system.Keys[0].Key, body)
		after.Body.Close()
		require.Equal(t, http.StatusUnauthorized, after.StatusCode)
		require.Equal(t, "not-run", after.Header.Get("Flamingospar-Outcome"))
		require.Equal(t, http.StatusNotFound, callOperator(t, client, http.MethodDelete, system.OperatorURL+"/v1/keys/key-dev-1?operator=test", nil, nil))
	})
}

// TestRequestsAreServedDuringStoreOutage checks that requests are served while the
// store is unavailable for several minutes.
func TestRequestsAreServedDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		system, client := startTestSystem(t, "trust")
		faults := system.Standins.Platform.CurrentFaults()
		faults.Outage = true
		system.Standins.Platform.SetFaults(faults)
		for range 4 {
			time.Sleep(time.Minute)
			response := post(t, client, system.URL+"/v1/chat/completions", system.Keys[0].Key,
				`{"model":"notice","max_tokens":2,"messages":[{"role":"user","content":"hello"}]}`)
			detail, err := io.ReadAll(response.Body)
			response.Body.Close()
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, response.StatusCode, "%s", detail)
		}
	})
}

// TestRoleFollowsNewestDecision checks that a target of an older epoch is rejected
// and that roles are applied during a store outage.
func TestRoleFollowsNewestDecision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		system, _ := startTestSystem(t, "shedline")
		plan := system.Entries[0].Entry.Plan
		endpoint := system.Standins.Endpoints[0]
		require.True(t, plan.Update(endpoint.ID, orders.Target{Epoch: 2, Sequence: 1, Role: "prefill"}))
		require.False(t, plan.Update(endpoint.ID, orders.Target{Epoch: 1, Sequence: 9, Role: "output"}))
		faults := system.Standins.Platform.CurrentFaults()
		time.Sleep(5 * time.Second)
		faults.Outage = true
		system.Standins.Platform.SetFaults(faults)
		time.Sleep(time.Minute)
		require.Equal(t, "prefill", endpoint.Engine.Control.State().Role)
		require.Equal(t, 1, endpoint.Engine.Control.OrderCount())
		require.True(t, plan.Update(endpoint.ID, orders.Target{Epoch: 2, Sequence: 2, Role: "mixed"}))
		time.Sleep(time.Minute)
		require.Equal(t, "mixed", endpoint.Engine.Control.State().Role)
		require.Empty(t, endpoint.Engine.Control.Violations())
	})
}
