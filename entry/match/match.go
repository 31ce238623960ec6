// Package match finds the route of a request in the catalogue and checks the
// body of model requests.
package match

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"time"

	"flamingospar.org/core/refusal"
	"flamingospar.org/entry/pipeline"
)

// Paths of the built-in model routes.
const (
	PathChat       = "/v1/chat/completions"
	PathCompletion = "/v1/completions"
)

// ModelKind is the kind of endpoints that run models.
const ModelKind = "model"

// Filter is the match filter.
type Filter struct {
	deadline time.Duration
}

// New returns the filter. deadline holds for routes without one of their own.
func New(deadline time.Duration) *Filter { return &Filter{deadline: deadline} }

// Name implements pipeline.Filter.
func (f *Filter) Name() string { return "match" }

// Request implements pipeline.Filter.
func (f *Filter) Request(_ context.Context, x *pipeline.Exchange) *refusal.Refusal {
	x.Deadline = x.Arrived.Add(f.deadline)
	switch x.Request.URL.Path {
	case PathChat, PathCompletion:
		return matchModel(x)
	default:
		return matchService(x)
	}
}

// Response implements pipeline.Filter.
func (f *Filter) Response(context.Context, *pipeline.Exchange) {}

func matchService(x *pipeline.Exchange) *refusal.Refusal {
	route, ok := x.State.Catalogue.FindRoute(x.Request.URL.Path)
	if !ok {
		return refusal.New(refusal.RouteUnknown, "no route has the path %s", x.Request.URL.Path)
	}
	if len(route.Methods) > 0 && !slices.Contains(route.Methods, x.Request.Method) {
		return refusal.New(refusal.RouteUnknown, "route %s does not take the method %s", route.Name, x.Request.Method)
	}
	x.Route = route.Name
	x.Kind = route.Service
	x.Repeatable = route.Repeatable
	x.Open = route.Open
	if route.Deadline > 0 {
		x.Deadline = x.Arrived.Add(time.Duration(route.Deadline))
	}
	return nil
}

// ModelRequest is the part of a model request's body that the entry reads.
type ModelRequest struct {
	Model         string `json:"model"`
	Stream        bool   `json:"stream"`
	N             *int   `json:"n"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// Decode reads a model request's body.
func Decode(body []byte) (ModelRequest, error) {
	var request ModelRequest
	err := json.NewDecoder(bytes.NewReader(body)).Decode(&request)
	return request, err
}

func matchModel(x *pipeline.Exchange) *refusal.Refusal {
	request, err := Decode(x.Body)
	if err != nil {
		return refusal.New(refusal.BodyInvalid, "the body is no JSON object: %v", err)
	}
	if request.N != nil && *request.N != 1 {
		return refusal.New(refusal.BodyInvalid, "n must be 1")
	}
	model, ok := x.State.Catalogue.FindModel(request.Model)
	if !ok {
		return refusal.New(refusal.ModelUnknown, "no model has the name %q", request.Model)
	}
	x.Route = x.Request.URL.Path
	x.Kind = ModelKind
	x.Model = model.Name
	x.Repeatable = true
	return nil
}
