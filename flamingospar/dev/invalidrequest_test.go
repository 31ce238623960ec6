package dev

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/core/refusal"
	"flamingospar.org/standin/memnet"
)

const validChat = `{"model":"assessment","max_tokens":4,"messages":[{"role":"user","content":"hello"}]}`

// invalidRequest is a request that must be refused before anything runs.
type invalidRequest struct {
	name   string
	method string
	path   string
	header http.Header
	body   string
	status int
	code   refusal.Code
}

func invalidRequests(key string) []invalidRequest {
	bearer := func(values ...string) http.Header { return http.Header{"Authorization": values} }
	valid := bearer("Bearer " + key)
	with := func(name, value string) http.Header {
		header := valid.Clone()
		header[name] = []string{value}
		return header
	}
	chat := "/v1/chat/completions"
	body := func(name, body string, code refusal.Code) invalidRequest {
		return invalidRequest{name, "POST", chat, valid, body, refusal.Reasons[code].Status, code}
	}
	field := func(field string, code refusal.Code) invalidRequest {
		return body(field, strings.Replace(validChat, `"max_tokens":4`, field, 1), code)
	}
	return []invalidRequest{
		{"no key", "POST", chat, nil, validChat, 401, refusal.KeyMissing},
		{"no key for models", "GET", "/v1/models", nil, "", 401, refusal.KeyMissing},
		{"other scheme", "POST", chat, bearer("Basic " + key), validChat, 401, refusal.KeyMalformed},
		{"short key", "POST", chat, bearer("Bearer fsk_x"), validChat, 401, refusal.KeyMalformed},
		{"two keys", "POST", chat, bearer("Bearer "+key, "Bearer "+key), validChat, 401, refusal.KeyMalformed},
		{"joined keys", "POST", chat, bearer("Bearer " + key + ", Bearer " + key), validChat, 401, refusal.KeyMalformed},
		{"unknown key", "POST", chat, bearer("Bearer fsk_" + strings.Repeat("a", 32)), validChat, 401, refusal.KeyUnknown},
		{"key in the query", "POST", chat + "?api_key=" + key, valid, validChat, 401, refusal.KeyMisplaced},
		{"escaped key in the query", "POST", chat + "?k=%66" + key[1:], valid, validChat, 401, refusal.KeyMisplaced},
		{"key in the query alone", "GET", "/status/7?key=" + key, nil, "", 401, refusal.KeyMisplaced},
		{"key in a header", "POST", "/lodgements", with("X-Note", key), "{}", 401, refusal.KeyMisplaced},
		{"key in the body", "POST", "/lodgements", valid, `{"note":"` + key + `"}`, 401, refusal.KeyMisplaced},
		{"underscore header", "POST", "/lodgements", with("X_run_id", "1"), "{}", 422, refusal.HeaderInvalid},
		{"reserved header", "POST", "/lodgements", with("X-Run-Id", "1"), "{}", 422, refusal.HeaderInvalid},
		{"connection names a header", "POST", "/lodgements", with("Connection", "authorization"), "{}", 422, refusal.HeaderInvalid},
		{"unknown path", "POST", "/nothing", valid, "{}", 404, refusal.RouteUnknown},
		{"unknown built-in path", "POST", "/v1/embeddings", valid, "{}", 404, refusal.RouteUnknown},
		{"escaped separator", "POST", "/lodgements/%2f..", valid, "{}", 404, refusal.RouteUnknown},
		{"dot segments", "POST", "/lodgements/../status", valid, "{}", 404, refusal.RouteUnknown},
		{"wrong method", "DELETE", "/lodgements", valid, "", 405, refusal.MethodNotAllowed},
		{"wrong model method", "GET", chat, valid, "", 405, refusal.MethodNotAllowed},
		{"wrong models method", "POST", "/v1/models", valid, "", 405, refusal.MethodNotAllowed},
		{"unknown model in the path", "GET", "/v1/models/none", valid, "", 404, refusal.ModelUnknown},
		{"unknown method", "BREW", "/v1/models", valid, "", 405, refusal.MethodNotAllowed},
		{"large body", "POST", "/lodgements", valid, strings.Repeat("x", 9<<20), 413, refusal.BodyTooLarge},
		body("no body", "", refusal.BodyInvalid),
		body("broken JSON", validChat[:20], refusal.BodyInvalid),
		body("two objects", validChat+validChat, refusal.BodyInvalid),
		body("null", "null", refusal.BodyInvalid),
		body("no model", `{"messages":[{"role":"user","content":"x"}]}`, refusal.BodyInvalid),
		body("model in capitals", strings.Replace(validChat, "model", "Model", 1), refusal.BodyInvalid),
		body("model twice in other cases", strings.Replace(strings.Replace(validChat, "assessment", "other", 1), "{", `{"MODEL":"assessment","Model":"assessment",`, 1), refusal.ModelUnknown),
		body("unknown model", strings.Replace(validChat, "assessment", "other", 1), refusal.ModelUnknown),
		body("no messages", `{"model":"assessment","messages":[]}`, refusal.BodyInvalid),
		body("message without a role", `{"model":"assessment","messages":[{"content":"x"}]}`, refusal.BodyInvalid),
		field(`"max_tokens":0`, refusal.BodyInvalid),
		field(`"max_tokens":"4"`, refusal.BodyInvalid),
		field(`"stream":"yes"`, refusal.BodyInvalid),
		field(`"n":2`, refusal.FieldUnsupported),
		field(`"logprobs":true`, refusal.FieldUnsupported),
		field(`"tools":[{"type":"function"}]`, refusal.FieldUnsupported),
		field(`"modalities":["audio"]`, refusal.FieldUnsupported),
		{"list of prompts", "POST", "/v1/completions", valid, `{"model":"assessment","prompt":["a","b"]}`, 422, refusal.FieldUnsupported},
	}
}

func TestInvalidRequestsAreRefusedAndCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		system, client := startTestSystem(t, "shedline")
		counters := system.Entries[0].Meter
		for _, bad := range invalidRequests(system.Keys[0].Key) {
			before := counters.Counter("refused", string(bad.code))
			request, err := http.NewRequestWithContext(t.Context(), bad.method, system.URL+bad.path, strings.NewReader(bad.body))
			require.NoError(t, err)
			request.Header = bad.header.Clone()
			response, err := client.Do(request)
			require.NoError(t, err, bad.name)
			requireRefusal(t, response, bad.status, bad.code, bad.name)
			require.Equal(t, before+1, counters.Counter("refused", string(bad.code)), bad.name)
		}
		requireNothingRan(t, system)
		good := post(t, client, system.URL+"/v1/chat/completions", system.Keys[0].Key, validChat)
		defer good.Body.Close()
		require.Equal(t, http.StatusOK, good.StatusCode)
	})
}

func requireRefusal(t *testing.T, response *http.Response, status int, code refusal.Code, name string) {
	t.Helper()
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	require.NoError(t, err, name)
	require.Equal(t, status, response.StatusCode, "%s: %s", name, data)
	require.Equal(t, "not-run", response.Header.Get("Flamingospar-Outcome"), name)
	require.NotEmpty(t, response.Header.Get("X-Request-Id"), name)
	if response.Request != nil && response.Request.Method == http.MethodHead {
		return
	}
	var body struct {
		Error struct {
			Message, Type, Code string
			RequestID           string `json:"request_id"`
		}
	}
	require.NoError(t, json.Unmarshal(data, &body), "%s: %s", name, data)
	require.Equal(t, string(code), body.Error.Code, "%s: %s", name, body.Error.Message)
	require.NotEmpty(t, body.Error.Type)
	require.Contains(t, body.Error.Message, refusal.Reasons[code].Remedy)
	require.Equal(t, response.Header.Get("X-Request-Id"), body.Error.RequestID)
	require.NotContains(t, string(data), "fsk_")
}

func requireNothingRan(t *testing.T, system *System) {
	t.Helper()
	for _, endpoint := range system.Standins.Endpoints {
		if endpoint.Engine != nil {
			require.Empty(t, endpoint.Engine.StartCounts())
		} else {
			require.Empty(t, endpoint.Service.CallCounts())
		}
	}
}

// TestRawRequests guards against request smuggling. It sends malformed or
// ambiguous requests that HTTP clients don't produce; bytes after a body must
// never be read as a second request.
func TestRawRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(testLatency)
		system, _ := startTestSystemOn(t, network, "shedline")
		key := system.Keys[0].Key
		head := "POST /lodgements HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + key + "\r\n"
		smuggled := "POST /lodgements HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + key + "\r\nContent-Length: 0\r\n\r\n"
		cases := []struct {
			name, request string
			status        int
			runs          int
		}{
			{"two lengths", head + "Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}" + smuggled, 400, 0},
			{"coding that is not chunked", head + "Transfer-Encoding: xchunked\r\n\r\n{}" + smuggled, 501, 0},
			{"space before the colon", head + "Content-Length : 2\r\n\r\n{}" + smuggled, 400, 0},
			{"length beside chunks", head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled, 200, 1},
		}
		for _, c := range cases {
			before := serviceCalls(system)
			responses := sendRaw(t, network, system, c.request)
			require.Contains(t, responses, fmt.Sprintf("HTTP/1.1 %d", c.status), c.name)
			require.Equal(t, c.runs, serviceCalls(system)-before, c.name)
		}
	})
}

func serviceCalls(system *System) int {
	calls := 0
	for _, endpoint := range system.Standins.Endpoints {
		if endpoint.Service != nil {
			calls += len(endpoint.Service.CallCounts())
		}
	}
	return calls
}

func sendRaw(t *testing.T, network *memnet.Network, system *System, request string) string {
	t.Helper()
	conn, err := network.Host("raw").DialContext(t.Context(), "tcp", strings.TrimPrefix(system.URL, "http://"))
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, request)
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Minute)))
	responses, _ := io.ReadAll(bufio.NewReader(conn))
	return string(responses)
}

func TestSlowBodyIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(testLatency)
		system, _ := startTestSystemOn(t, network, "shedline")
		request := "POST /lodgements HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + system.Keys[0].Key + "\r\nContent-Length: 10\r\n\r\n{"
		response := sendRaw(t, network, system, request)
		require.Contains(t, response, "HTTP/1.1 408")
		require.Contains(t, response, string(refusal.BodySlow))
		require.Contains(t, response, "Flamingospar-Outcome: not-run")
		requireNothingRan(t, system)
	})
}
