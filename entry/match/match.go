// Package match looks up the route of a request in the catalogue and validates
// the body of model requests.
package match

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"flamingospar.org/core/catalogue"
	"flamingospar.org/core/refusal"
	"flamingospar.org/entry/pipeline"
)

// The paths of the built-in model routes.
const (
	PathChat       = "/v1/chat/completions"
	PathCompletion = "/v1/completions"
)

// ModelKind is the kind of the endpoints that run models.
const ModelKind = catalogue.ModelKind

// Filter is the pipeline filter that sets the route, kind, model and deadline of an
// exchange.
type Filter struct {
	defaultDeadline time.Duration
}

// New returns a filter. defaultDeadline applies to routes that don't set their own.
func New(defaultDeadline time.Duration) *Filter { return &Filter{defaultDeadline: defaultDeadline} }

func (f *Filter) Name() string { return "match" }

// Request matches the request and refuses it if no route or model fits.
func (f *Filter) Request(_ context.Context, x *pipeline.Exchange) *refusal.Refusal {
	x.Deadline = x.ArrivedAt.Add(f.defaultDeadline)
	switch x.Request.URL.Path {
	case PathChat, PathCompletion:
		return matchModel(x)
	default:
		return matchRoute(x)
	}
}

// Response does nothing.
func (f *Filter) Response(context.Context, *pipeline.Exchange) {}

func matchRoute(x *pipeline.Exchange) *refusal.Refusal {
	path := x.Request.URL.Path
	route, ok := x.State.Catalogue.FindRoute(path)
	if !ok || catalogue.IsBuiltIn(path) {
		return refusal.New(refusal.RouteUnknown, "no route has the path %s", path)
	}
	if isAmbiguous(x.Request) {
		return refusal.New(refusal.RouteUnknown, "the path has dot segments, empty segments, or encoded separators or NUL bytes")
	}
	if len(route.Methods) > 0 && !slices.Contains(route.Methods, x.Request.Method) {
		return refuseMethod(x, route.Methods...)
	}
	x.Route = route.Name
	x.Kind = route.Service
	x.Repeatable = route.Repeatable
	x.Open = route.Open
	if route.Deadline > 0 {
		x.Deadline = x.ArrivedAt.Add(time.Duration(route.Deadline))
	}
	return nil
}

// isAmbiguous reports whether a service could interpret the path as that of another
// route, because it contains dot segments, empty segments, or encoded
// separators or NUL bytes.
func isAmbiguous(r *http.Request) bool {
	for segment := range strings.SplitSeq(strings.TrimPrefix(r.URL.Path, "/"), "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	encoded := strings.ToLower(r.URL.EscapedPath())
	return strings.Contains(r.URL.Path, "//") ||
		strings.Contains(encoded, "%2f") || strings.Contains(encoded, "%5c") || strings.Contains(encoded, "%00")
}

func refuseMethod(x *pipeline.Exchange, allowed ...string) *refusal.Refusal {
	x.Writer.Header().Set("Allow", strings.Join(allowed, ", "))
	return refusal.New(refusal.MethodNotAllowed, "%s does not allow the method %s", x.Request.URL.Path, x.Request.Method)
}

func matchModel(x *pipeline.Exchange) *refusal.Refusal {
	if x.Request.Method != http.MethodPost {
		return refuseMethod(x, http.MethodPost)
	}
	fields, refused := decodeFields(x.Body)
	if refused != nil {
		return refused
	}
	if refused := checkFields(fields, x.Request.URL.Path); refused != nil {
		return refused
	}
	request := requestOf(fields)
	model, ok := x.State.Catalogue.FindModel(request.Model)
	if !ok {
		return refusal.New(refusal.ModelUnknown, "no model has the name %q", truncate(request.Model)).WithParam("model")
	}
	x.Route = x.Request.URL.Path
	x.Kind = ModelKind
	x.Model = model.Name
	x.Repeatable = true
	return nil
}
