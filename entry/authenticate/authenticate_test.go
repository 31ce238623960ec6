package authenticate

import (
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingospar.org/core/catalogue"
	"flamingospar.org/core/config"
	"flamingospar.org/core/key"
	"flamingospar.org/core/refusal"
	"flamingospar.org/entry/pipeline"
)

// fakeConfig is a configuration with one team, one key and one open route.
type fakeConfig struct{ state *config.State }

func (c fakeConfig) Current() *config.State { return c.state }

func newFakeConfig(t testing.TB, secret string) fakeConfig {
	t.Helper()
	document := &catalogue.Document{
		Teams:  []catalogue.Team{{Name: "claims", Weight: 1}},
		Routes: []catalogue.Route{{Name: "look", Path: "/look", Open: true}},
	}
	state, err := config.Empty().Apply(config.Change{Revision: 1, Catalogue: document})
	require.NoError(t, err)
	issued := config.Key{ID: "key-1", Team: "claims", Hash: config.HashKey(secret)}
	state, err = state.Apply(config.Change{Revision: 2, IssueKey: &issued})
	require.NoError(t, err)
	return fakeConfig{state: state}
}

func newRequest(authorization, target, name, value string) (*http.Request, bool) {
	parsed, err := url.ParseRequestURI(target)
	if err != nil {
		return nil, false
	}
	request := httptest.NewRequest(http.MethodPost, "/", nil)
	request.URL = parsed
	if authorization != "" {
		for headerValue := range strings.SplitSeq(authorization, "\n") {
			request.Header.Add("Authorization", headerValue)
		}
	}
	request.Header.Add(name, value)
	return request, true
}

// FuzzCredentials asserts that a request is accepted only with its own team's key
// or on an open route, and that no key or credential remains in it.
func FuzzCredentials(f *testing.F) {
	secret := key.Format(key.CallerPrefix, [key.RandomBytes]byte{1, 2, 3})
	filter := New(newFakeConfig(f, secret))
	for _, authorization := range []string{
		"", "Bearer " + secret, "bearer  " + secret + " ", "Bearer " + secret + "\nBearer " + secret, "Bearer " + secret + "," + secret,
		"Basic " + secret, "Bearer " + strings.ToUpper(secret), "Bearer fsk_", "Bearer " + secret + "a", "Bearer\t" + secret,
	} {
		f.Add(authorization, "/v1/models", "X-Note", "hello")
		f.Add(authorization, "/look", "X-Api-Key", "hello")
	}
	f.Add("Bearer "+secret, "/look?key="+secret, "Cookie", "a="+secret)
	f.Add("Bearer "+secret, "/look?key=%66sk%5f"+secret[4:], "Cookie", "")
	f.Add("", "/look/"+secret, "x-NOTE", secret)
	f.Fuzz(func(t *testing.T, authorization, target, name, value string) {
		request, ok := newRequest(authorization, target, name, value)
		if !ok {
			return
		}
		x := &pipeline.Exchange{Writer: httptest.NewRecorder(), Request: request}
		refused := filter.Request(t.Context(), x)
		if refused != nil {
			require.Equal(t, refusal.NotRun, refused.Outcome)
			require.Equal(t, http.StatusUnauthorized, refused.Reason().Status)
			require.NotContains(t, refused.Error(), secret)
			return
		}
		requireNoCredentials(t, x)
		if x.Team == "" {
			require.True(t, isOpenRoute(x))
			return
		}
		require.Equal(t, "claims", x.Team)
		require.Contains(t, authorization, secret)
		require.Equal(t, 1, strings.Count(authorization, secret))
	})
}

func requireNoCredentials(t *testing.T, x *pipeline.Exchange) {
	t.Helper()
	for _, name := range credentialHeaders {
		require.Empty(t, x.Request.Header.Values(name))
	}
	remaining := x.Request.URL.String()
	for name, values := range x.Request.Header {
		remaining += name + strings.Join(values, "")
	}
	require.False(t, key.ContainsCallerKey([]byte(remaining)))
	decoded, err := url.QueryUnescape(x.Request.URL.RawQuery)
	require.False(t, err == nil && key.ContainsCallerKey([]byte(decoded)))
}
