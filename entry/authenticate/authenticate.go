// Package authenticate finds the team whose key came with a request and strips
// every credential, so that none travels on.
package authenticate

import (
	"context"
	"crypto/subtle"
	"net/http"
	"net/url"
	"strings"
	"time"

	"flamingospar.org/core/catalogue"
	"flamingospar.org/core/config"
	"flamingospar.org/core/key"
	"flamingospar.org/core/refusal"
	"flamingospar.org/entry/pipeline"
)

const (
	headerAuthorization = "Authorization"
	bearerScheme        = "bearer "
	staleRetryAfter     = 2 * time.Second
)

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
		return refusal.New(refusal.ConfigStale, "no current configuration is held").WithRetryAfter(staleRetryAfter)
	}
	if refused := misplacedKey(x.Request); refused != nil {
		return refused
	}
	if !isOpen(x) {
		found, refused := keyInForce(x)
		if refused != nil {
			return refused
		}
		x.Team = found.Team
		x.KeyID = found.ID
	}
	stripCredentials(x.Request.Header)
	return nil
}

// Response implements pipeline.Filter.
func (f *Filter) Response(context.Context, *pipeline.Exchange) {}

func isOpen(x *pipeline.Exchange) bool {
	path := x.Request.URL.Path
	if catalogue.IsBuiltIn(path) {
		return false
	}
	route, ok := x.State.Catalogue.FindRoute(path)
	return ok && route.Open
}

func keyInForce(x *pipeline.Exchange) (config.Key, *refusal.Refusal) {
	given, refused := keyOf(x.Request.Header)
	if refused != nil {
		return config.Key{}, refused
	}
	hash := config.HashKey(given)
	found, ok := x.State.KeyByHash(hash)
	if !ok || subtle.ConstantTimeCompare([]byte(found.Hash), []byte(hash)) != 1 {
		return config.Key{}, refusal.New(refusal.KeyUnknown, "the key is not in force")
	}
	return found, nil
}

func keyOf(header http.Header) (string, *refusal.Refusal) {
	values := header.Values(headerAuthorization)
	if len(values) == 0 {
		return "", refusal.New(refusal.KeyMissing, "the request has no Authorization header")
	}
	if len(values) > 1 {
		return "", refusal.New(refusal.KeyMalformed, "the request has %d Authorization headers", len(values))
	}
	if len(values[0]) < len(bearerScheme) || !strings.EqualFold(values[0][:len(bearerScheme)], bearerScheme) {
		return "", refusal.New(refusal.KeyMalformed, "the Authorization header has another scheme than Bearer")
	}
	given := strings.TrimSpace(values[0][len(bearerScheme):])
	if !key.IsValid(key.CallerPrefix, given) {
		return "", refusal.New(refusal.KeyMalformed, "the key has another form than the issued ones")
	}
	return given, nil
}

// misplacedKey refuses a key in the path, the query or another header.
func misplacedKey(r *http.Request) *refusal.Refusal {
	query, err := url.QueryUnescape(r.URL.RawQuery)
	if err != nil {
		query = r.URL.RawQuery
	}
	if key.ContainsCallerKey([]byte(r.URL.Path)) || key.ContainsCallerKey([]byte(query)) || key.ContainsCallerKey([]byte(r.URL.RawQuery)) {
		return refusal.New(refusal.KeyMisplaced, "the URL holds a key")
	}
	for name, values := range r.Header {
		if name == headerAuthorization {
			continue
		}
		for _, value := range values {
			if key.ContainsCallerKey([]byte(value)) {
				return refusal.New(refusal.KeyMisplaced, "the header %s holds a key", name)
			}
		}
	}
	return nil
}

// credentialHeaders never travel to an agent.
var credentialHeaders = []string{headerAuthorization, "Proxy-Authorization", "Cookie", "X-Api-Key", "Api-Key"}

func stripCredentials(header http.Header) {
	for _, name := range credentialHeaders {
		header.Del(name)
	}
}
