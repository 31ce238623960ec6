// Package authenticate identifies the team by the request's key and removes all
// credentials from the request, so that none is forwarded.
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

// Config provides the current configuration.
type Config interface {
	// Current returns nil while the configuration may be stale; requests are then
	// refused.
	Current() *config.State
}

// Filter is the authenticate filter.
type Filter struct {
	config Config
}

// New returns the filter.
func New(c Config) *Filter { return &Filter{config: c} }

func (f *Filter) Name() string { return "authenticate" }

// Request sets the state, team and key ID of the exchange, or refuses the request.
func (f *Filter) Request(_ context.Context, x *pipeline.Exchange) *refusal.Refusal {
	x.State = f.config.Current()
	if x.State == nil {
		return refusal.New(refusal.ConfigStale, "the entry has no current configuration").WithRetryAfter(staleRetryAfter)
	}
	if refused := misplacedKey(x.Request); refused != nil {
		return refused
	}
	if !isOpenRoute(x) {
		found, refused := activeKey(x)
		if refused != nil {
			return refused
		}
		x.Team = found.Team
		x.KeyID = found.ID
	}
	stripCredentials(x.Request.Header)
	return nil
}

// Response does nothing.
func (f *Filter) Response(context.Context, *pipeline.Exchange) {}

func isOpenRoute(x *pipeline.Exchange) bool {
	path := x.Request.URL.Path
	if catalogue.IsBuiltIn(path) {
		return false
	}
	route, ok := x.State.Catalogue.FindRoute(path)
	return ok && route.Open
}

func activeKey(x *pipeline.Exchange) (config.Key, *refusal.Refusal) {
	given, refused := bearerKey(x.Request.Header)
	if refused != nil {
		return config.Key{}, refused
	}
	hash := config.HashKey(given)
	found, ok := x.State.KeyByHash(hash)
	if !ok || subtle.ConstantTimeCompare([]byte(found.Hash), []byte(hash)) != 1 {
		return config.Key{}, refusal.New(refusal.KeyUnknown, "the key is unknown or withdrawn")
	}
	return found, nil
}

func bearerKey(header http.Header) (string, *refusal.Refusal) {
	values := header.Values(headerAuthorization)
	if len(values) == 0 {
		return "", refusal.New(refusal.KeyMissing, "the request has no Authorization header")
	}
	if len(values) > 1 {
		return "", refusal.New(refusal.KeyMalformed, "the request has %d Authorization headers", len(values))
	}
	if len(values[0]) < len(bearerScheme) || !strings.EqualFold(values[0][:len(bearerScheme)], bearerScheme) {
		return "", refusal.New(refusal.KeyMalformed, "the scheme of the Authorization header is not Bearer")
	}
	given := strings.TrimSpace(values[0][len(bearerScheme):])
	if !key.IsValid(key.CallerPrefix, given) {
		return "", refusal.New(refusal.KeyMalformed, "the key does not have the format of an issued key")
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
		return refusal.New(refusal.KeyMisplaced, "the URL contains a key")
	}
	for name, values := range r.Header {
		if name == headerAuthorization {
			continue
		}
		for _, value := range values {
			if key.ContainsCallerKey([]byte(value)) {
				return refusal.New(refusal.KeyMisplaced, "the header %s contains a key", name)
			}
		}
	}
	return nil
}

// credentialHeaders are removed before a request is sent to an agent.
var credentialHeaders = []string{headerAuthorization, "Proxy-Authorization", "Cookie", "X-Api-Key", "Api-Key"}

func stripCredentials(header http.Header) {
	for _, name := range credentialHeaders {
		header.Del(name)
	}
}
