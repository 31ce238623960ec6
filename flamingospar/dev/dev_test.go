package dev

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/base/invariant"
	"flamingospar.org/base/netx"
	"flamingospar.org/standin/engine"
	"flamingospar.org/standin/memnet"
)

const testLatency = 500 * time.Microsecond

func startTestSystem(t *testing.T, fleetName string) (*System, *http.Client) {
	t.Helper()
	return startTestSystemOn(t, memnet.New(testLatency), fleetName)
}

func startTestSystemOn(t *testing.T, network *memnet.Network, fleetName string) (*System, *http.Client) {
	t.Helper()
	return startTestSystemWith(t, network, Options{Fleet: fleetName})
}

// startTestSystemWith starts a system with the options common to all tests.
func startTestSystemWith(t *testing.T, network *memnet.Network, options Options) (*System, *http.Client) {
	t.Helper()
	invariant.SetPanicOnViolation(true)
	options.Listen = "entry:80"
	options.OperatorListen = "entry:81"
	options.Network = devNetwork{network.Host("dev")}
	options.UsageWindow = 10 * time.Second
	ctx, cancel := context.WithCancel(t.Context())
	system, err := Start(ctx, options)
	require.NoError(t, err)
	client := netx.HTTP1Client(network.Host("client"))
	t.Cleanup(func() {
		client.CloseIdleConnections()
		cancel()
		system.Wait()
		time.Sleep(5 * time.Minute)
	})
	return system, client
}

func post(t *testing.T, client *http.Client, url, key, body string) *http.Response {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := client.Do(request)
	require.NoError(t, err)
	return response
}

func TestWholeAndStreamedChatsAreBilledOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		system, client := startTestSystem(t, "shedline")
		want := engine.Text("hello", 8)

		whole := post(t, client, system.URL+"/v1/chat/completions", system.Keys[0].Key,
			`{"model":"assessment","max_tokens":8,"messages":[{"role":"user","content":"hello"}]}`)
		var body struct {
			Choices []struct {
				Message struct{ Content string }
			}
			Usage struct {
				CompletionTokens int `json:"completion_tokens"`
			}
		}
		require.Equal(t, http.StatusOK, whole.StatusCode)
		require.NoError(t, json.NewDecoder(whole.Body).Decode(&body))
		whole.Body.Close()
		require.Equal(t, want, body.Choices[0].Message.Content)
		require.Equal(t, 8, body.Usage.CompletionTokens)
		require.NotEmpty(t, whole.Header.Get("X-Request-Id"))

		streamed := post(t, client, system.URL+"/v1/chat/completions", system.Keys[0].Key,
			`{"model":"assessment","max_tokens":8,"stream":true,"messages":[{"role":"user","content":"hello"}]}`)
		require.Equal(t, want, streamText(t, streamed.Body))
		streamed.Body.Close()

		time.Sleep(40 * time.Second)
		output := int64(0)
		for _, report := range system.Standins.Platform.Reports() {
			require.Equal(t, system.Keys[0].Team, report.Team)
			output += report.Figures.OutputTokens
		}
		require.Equal(t, int64(16), output)
	})
}

func streamText(t *testing.T, body io.Reader) string {
	t.Helper()
	text := ""
	done := false
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var event struct {
			Choices []struct {
				Delta struct{ Content string }
			}
		}
		require.NoError(t, json.Unmarshal([]byte(data), &event))
		if len(event.Choices) > 0 {
			text += event.Choices[0].Delta.Content
		}
	}
	require.True(t, done, "stream did not end with [DONE]")
	return text
}

func TestKeysAreCheckedAndNotForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		system, client := startTestSystem(t, "trust")
		refused := post(t, client, system.URL+"/claims", "fsk_wrong", "{}")
		defer refused.Body.Close()
		require.Equal(t, http.StatusUnauthorized, refused.StatusCode)
		require.Equal(t, "not-run", refused.Header.Get("Flamingospar-Outcome"))

		accepted := post(t, client, system.URL+"/claims", system.Keys[0].Key, `{"serial":"7"}`)
		defer accepted.Body.Close()
		require.Equal(t, http.StatusOK, accepted.StatusCode)
		body, err := io.ReadAll(accepted.Body)
		require.NoError(t, err)
		require.NotContains(t, string(body), "fsk_")
	})
}
