// Package authenticate finds the team whose key came with a request and strips
// every credential, so that none travels on.
package authenticate

import (
	"context"
	"net/http"
	"net/url"
	"strings"

	"flamingospar.org/core/config"
	"flamingospar.org/core/refusal"
	"flamingospar.org/entry/pipeline"
)

// KeyPrefix begins every issued key.
const KeyPrefix = "fsk_"

const bearerScheme = "bearer "

// Config is the source of the configuration in force.
type Config interface {
	// Current returns nil while this process may not authenticate.
	Current() *config.State
}

// Filter is the authenticate filter.
type Filter struct {
	config Config
}

// New returns the filter.
func New(c Config) *Filter { return &Filter{config: c} }

// Name implements pipeline.Filter.
func (f *Filter) Name() string { return "authenticate" }

// Request implements pipeline.Filter.
func (f *Filter) Request(_ context.Context, x *pipeline.Exchange) *refusal.Refusal {
	x.State = f.config.Current()
	if x.State == nil {
		return refusal.New(refusal.ConfigStale, "no current configuration is held")
	}
	if isOpen(x) {
		stripCredentials(x.Request)
		return nil
	}
	key, refused := keyOf(x.Request)
	if refused != nil {
		return refused
	}
	found, ok := x.State.KeyByHash(config.HashKey(key))
	if !ok {
		return refusal.New(refusal.KeyUnknown, "the key is not in force")
	}
	x.Team = found.Team
	x.KeyID = found.ID
	stripCredentials(x.Request)
	return nil
}

// Response implements pipeline.Filter.
func (f *Filter) Response(context.Context, *pipeline.Exchange) {}

func isOpen(x *pipeline.Exchange) bool {
	route, ok := x.State.Catalogue.FindRoute(x.Request.URL.Path)
	return ok && route.Open
}

func keyOf(r *http.Request) (string, *refusal.Refusal) {
	values := r.Header.Values("Authorization")
	if len(values) == 0 {
		return "", refusal.New(refusal.KeyMissing, "the request has no Authorization header")
	}
	if len(values) > 1 {
		return "", refusal.New(refusal.KeyMalformed, "the request has %d Authorization headers", len(values))
	}
	if len(values[0]) < len(bearerScheme) || !strings.EqualFold(values[0][:len(bearerScheme)], bearerScheme) {
		return "", refusal.New(refusal.KeyMalformed, "the Authorization header has another scheme than Bearer")
	}
	key := strings.TrimSpace(values[0][len(bearerScheme):])
	if !strings.HasPrefix(key, KeyPrefix) {
		return "", refusal.New(refusal.KeyMalformed, "the key does not begin with %s", KeyPrefix)
	}
	return key, nil
}

// credentialHeaders never travel to an agent.
var credentialHeaders = []string{"Authorization", "Proxy-Authorization", "Cookie", "X-Api-Key", "Api-Key"}

func stripCredentials(r *http.Request) {
	for _, name := range credentialHeaders {
		r.Header.Del(name)
	}
	r.URL.RawQuery = stripQuery(r.URL.RawQuery)
}

// stripQuery drops parameters that hold a key under any name.
func stripQuery(raw string) string {
	if !strings.Contains(raw, KeyPrefix) {
		return raw
	}
	values, err := url.ParseQuery(raw)
	if err != nil {
		return ""
	}
	for name, list := range values {
		for _, value := range list {
			if strings.Contains(value, KeyPrefix) {
				values.Del(name)
			}
		}
	}
	return values.Encode()
}
