// Package models answers GET /v1/models and GET /v1/models/{name}.
package models

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"flamingospar.org/core/catalogue"
	"flamingospar.org/core/refusal"
	"flamingospar.org/entry/pipeline"
)

// Path is the list's path; a model's own path lies below it.
const Path = "/v1/models"

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

// Filter is the last filter of the chain of these paths.
type Filter struct{}

// New returns the filter.
func New() *Filter { return &Filter{} }

// Name implements pipeline.Filter.
func (f *Filter) Name() string { return "models" }

// Response implements pipeline.Filter.
func (f *Filter) Response(context.Context, *pipeline.Exchange) {}

// Request implements pipeline.Filter.
func (f *Filter) Request(_ context.Context, x *pipeline.Exchange) *refusal.Refusal {
	if x.Request.Method != http.MethodGet && x.Request.Method != http.MethodHead {
		x.Writer.Header().Set("Allow", "GET, HEAD")
		return refusal.New(refusal.MethodNotAllowed, "%s does not take the method %s", Path, x.Request.Method)
	}
	name := strings.TrimPrefix(strings.TrimPrefix(x.Request.URL.Path, Path), "/")
	if name == "" {
		answer(x, listOf(x.State.Catalogue))
		return nil
	}
	model, ok := x.State.Catalogue.FindModel(name)
	if !ok {
		return refusal.New(refusal.ModelUnknown, "no model has the name in the path").WithParam("model")
	}
	answer(x, entryOf(model))
	return nil
}

func listOf(document *catalogue.Document) modelList {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, model := range document.Models {
		list.Data = append(list.Data, entryOf(model))
	}
	return list
}

func entryOf(model catalogue.Model) modelEntry {
	return modelEntry{ID: model.Name, Object: "model", OwnedBy: model.Owner}
}

func answer(x *pipeline.Exchange, body any) {
	x.AnswerBegun = true
	x.Writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(x.Writer).Encode(body)
}
