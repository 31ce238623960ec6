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

// Path is the path of the list of models and the prefix of the paths of single
// models.
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

// Filter is the last pipeline filter for the paths of models. It answers the
// request itself.
type Filter struct{}

// New returns the filter.
func New() *Filter { return &Filter{} }

func (f *Filter) Name() string { return "models" }

func (f *Filter) Response(context.Context, *pipeline.Exchange) {}

// Request answers with the list of models or with the model in the path.
func (f *Filter) Request(_ context.Context, x *pipeline.Exchange) *refusal.Refusal {
	if x.Request.Method != http.MethodGet && x.Request.Method != http.MethodHead {
		x.Writer.Header().Set("Allow", "GET, HEAD")
		return refusal.New(refusal.MethodNotAllowed, "%s does not allow the method %s", Path, x.Request.Method)
	}
	name := strings.TrimPrefix(strings.TrimPrefix(x.Request.URL.Path, Path), "/")
	if name == "" {
		writeJSON(x, newModelList(x.State.Catalogue))
		return nil
	}
	model, ok := x.State.Catalogue.FindModel(name)
	if !ok {
		return refusal.New(refusal.ModelUnknown, "no model has the name in the path").WithParam("model")
	}
	writeJSON(x, newModelEntry(model))
	return nil
}

func newModelList(document *catalogue.Document) modelList {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, model := range document.Models {
		list.Data = append(list.Data, newModelEntry(model))
	}
	return list
}

func newModelEntry(model catalogue.Model) modelEntry {
	return modelEntry{ID: model.Name, Object: "model", OwnedBy: model.Owner}
}

func writeJSON(x *pipeline.Exchange, body any) {
	x.ResponseStarted = true
	x.Writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(x.Writer).Encode(body)
}
